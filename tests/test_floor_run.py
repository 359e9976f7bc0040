"""Tests of the random fault schedules that check the floor."""

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
    """The run must detect each breach of the floor and report no other."""

    def test_no_breach(self):
        """Guards against a breach by several deciders together."""
        self.assertEqual([], breaches(range(3)))

    def test_finds_missing_floor_condition(self):
        """Guards against a run that passes without the floor's check."""
        with mock.patch.object(
            floor, "may_eject", autospec=True, return_value=True
        ):
            self.assertTrue(breaches(range(3)))

    def test_finds_missing_hold_of_releases(self):
        """Guards against a run that misses stale ejections."""
        with mock.patch.object(status_plan, "RELEASE_HOLD_S", 0.0):
            self.assertTrue(breaches(range(20)))
