"""Tests of the decision whether callers are to use a front."""

import unittest

from fuchsiacourse.front import readiness


class ReadinessTest(unittest.TestCase):
    """Guards against callers at a front that can't serve them well."""

    def is_ready(self, *, has_ready_peer: bool = True, **changes) -> bool:
        state = {
            "has_config": True,
            "has_targets": True,
            "is_cut_off": False,
            "is_stopping": False,
            "has_failed_follower": False,
        }
        return readiness.Readiness(
            **{**state, **changes}, has_ready_peer=lambda: has_ready_peer
        ).is_ready

    def test_each_obstacle_is_enough(self):
        self.assertTrue(self.is_ready())
        for name, value in (
            ("has_config", False),
            ("has_targets", False),
            ("is_cut_off", True),
            ("is_stopping", True),
            ("has_failed_follower", True),
        ):
            with self.subTest(name=name):
                self.assertFalse(self.is_ready(**{name: value}))

    def test_fault_of_all_fronts_leaves_callers_an_address(self):
        """Guards against a fleet that a single odd object takes out."""
        self.assertTrue(
            self.is_ready(has_failed_follower=True, has_ready_peer=False)
        )
