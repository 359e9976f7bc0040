"""Tests of the rate limits that targets state."""

import unittest

from fuchsiacourse.front import target_limit


class TargetLimitTest(unittest.TestCase):
    """The limit must be the one that the target stated last."""

    def setUp(self) -> None:
        self.limit = target_limit.TargetLimit()

    def test_limit_ends_with_an_answer_without_it(self):
        """Guards against a limit that outlives the target's need."""
        self.assertTrue(self.limit.observe(2.0, 10.0, took_s=0.2))
        self.assertTrue(self.limit.observe(None, 12.0, took_s=0.2))
        self.assertIsNone(self.limit.rate_per_s)

    def test_older_answer_does_not_end_the_limit(self):
        """Guards against a limit lost to an answer that overtook another."""
        self.limit.observe(2.0, 10.0, took_s=0.2)
        self.assertFalse(self.limit.observe(None, 10.1, took_s=0.5))
        self.assertEqual(2.0, self.limit.rate_per_s)
