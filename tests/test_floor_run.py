"""Tests of the random fault schedules for the floor."""

import unittest
from unittest import mock

from bench import floor_run
from fuchsiacourse import floor
from fuchsiacourse import status_plan


def breaches(seeds) -> list[str]:
    """Returns the breaches of the first schedule that has any."""
    for seed in seeds:
        broken = floor_run.FloorRun(seed=seed).run()
        if broken:
            return broken
    return []


class FloorRunTest(unittest.TestCase):
    """The run must find a breach where there is one, and none else."""

    def test_no_breach(self):
        """Guards against joint breaches by several deciders."""
        self.assertEqual([], breaches(range(3)))

    def test_finds_missing_floor_condition(self):
        """Guards against a run that passes without the condition."""
        with mock.patch.object(
            floor, "may_eject", autospec=True, return_value=True
        ):
            self.assertTrue(breaches(range(3)))

    def test_finds_missing_hold_of_releases(self):
        """Guards against a run that misses outdated ejections."""
        with mock.patch.object(status_plan, "RELEASE_HOLD_S", 0.0):
            self.assertTrue(breaches(range(20)))
