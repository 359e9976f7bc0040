"""Tests of the soak's check of what targets say of themselves."""

import unittest

from bench import fault_wishes


class WishCheckTest(unittest.TestCase):
    """The check must see what it is meant for, and nothing else."""

    def test_request_long_after_a_target_has_said_that_it_leaves(self):
        """Guards against a check that sees no breach."""
        check = fault_wishes.WishCheck(hold_s=None)
        self.assertEqual("", check.record_arrival("f1", 1.0))
        check.record_answer("f1", 1.0)
        check.record_answer("f1", 5.0)
        self.assertEqual("", check.record_arrival("f1", 4.9))
        self.assertIn("DRAIN", check.record_arrival("f1", 5.1))
        self.assertEqual("", check.record_arrival("f2", 9.0))
        check.forget("f1")
        self.assertEqual("", check.record_arrival("f1", 9.0))

    def test_third_request_in_the_time_to_wait(self):
        """Guards against a check that sees no breach."""
        check = fault_wishes.WishCheck(hold_s=3.0)
        check.record_answer("f1", 1.0)
        for at_s in (1.2, 1.6, 2.0):
            self.assertEqual("", check.record_arrival("f1", at_s))
        self.assertIn("BUDGET", check.record_arrival("f1", 2.5))
        self.assertEqual("", check.record_arrival("f1", 4.1))
