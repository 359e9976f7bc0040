"""Tests of the rate limits that targets state."""

import unittest

from bench import front_fakes
from fuchsiacourse.front import outcome
from fuchsiacourse.front import target_limit

UNLIMITED = target_limit.UNLIMITED


class StatedLimitTest(unittest.TestCase):
    """Only what the target itself has answered may change its limit."""

    def test_limit_that_an_attempt_tells(self):
        """Guards against the limit of another target, or one lost early."""
        for kind, stated, expected in (
            (outcome.Outcome.ANSWERED, 2.0, 2.0),
            (outcome.Outcome.ANSWERED, None, UNLIMITED),
            (outcome.Outcome.FAILED, 2.0, 2.0),
            (outcome.Outcome.FAILED, None, None),
            (outcome.Outcome.DECLINED, 0.0, 0.0),
            (outcome.Outcome.DECLINED, None, None),
            (outcome.Outcome.MISDIRECTED, 2.0, None),
            (outcome.Outcome.BAD_ANSWER, 2.0, None),
        ):
            found = front_fakes.stating(front_fakes.result(kind, 200), stated)
            self.assertEqual(expected, found.rate_limit, (kind, stated))
        lost = front_fakes.result(outcome.Outcome.LOST)
        self.assertIsNone(lost.rate_limit)


class TargetLimitTest(unittest.TestCase):
    """The limit must be the one that the target stated last."""

    def setUp(self) -> None:
        self.limit = target_limit.TargetLimit()

    def test_limit_ends_with_an_answer_without_it(self):
        """Guards against a limit that outlives the target's need."""
        self.assertTrue(self.limit.observe(2.0, 10.0, took_s=0.2))
        self.assertTrue(self.limit.observe(UNLIMITED, 12.0, took_s=0.2))
        self.assertFalse(self.limit.is_stated)

    def test_older_answer_does_not_end_the_limit(self):
        """Guards against a limit lost to an answer that overtook another."""
        self.limit.observe(2.0, 10.0, took_s=0.2)
        self.assertFalse(self.limit.observe(UNLIMITED, 10.1, took_s=0.5))
        self.assertEqual(2.0, self.limit.rate_per_s)

    def starts_in(self, for_s: float, *, share: float = 1.0) -> int:
        """Returns how many starts the limit allows to eager fronts."""
        now_s, starts = 10.0, 0
        while now_s < 10.0 + for_s:
            if now_s >= self.limit.opens_at_s:
                self.limit.record_start(now_s, share=share)
                starts += 1
            now_s += 0.01
        return starts

    def test_starts_are_spaced_by_the_limit(self):
        """Guards against more starts than a target takes, or far fewer."""
        for rate_per_s in (1.0, 2.1, 20.0):
            self.setUp()
            self.limit.observe(rate_per_s, 10.0, took_s=0.2)
            starts = self.starts_in(10.0)
            self.assertLessEqual(starts, 10.0 * rate_per_s * 1.05 + 2)
            self.assertGreaterEqual(starts, 10.0 * rate_per_s * 0.9)

    def test_share_of_the_limit(self):
        """Guards against partitioned fronts that each use the whole limit."""
        self.limit.observe(4.0, 10.0, took_s=0.2)
        self.assertLessEqual(self.starts_in(10.0, share=0.5), 22)

    def test_limit_of_zero_is_asked_again(self):
        """Guards against a target that is never used again."""
        self.limit.observe(0.0, 10.0, took_s=0.2)
        self.assertEqual(2, self.starts_in(15.0))

    def test_starts_of_others_do_not_delay_without_end(self):
        """Guards against a target closed for long by starts in excess."""
        self.limit.observe(1.0, 10.0, took_s=0.2)
        for _ in range(100):
            self.limit.record_start(10.0, share=1.0)
        self.assertLessEqual(self.limit.opens_at_s, 14.0)
