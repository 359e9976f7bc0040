"""Tests of the health estimate."""

import unittest

from fuchsiacourse.front import health_estimate
from fuchsiacourse.front import outcome

ANSWERED = outcome.Outcome.ANSWERED
FAILED = outcome.Outcome.FAILED


class HealthEstimateTest(unittest.TestCase):
    """Guards against an estimate that ignores evidence or never decays."""

    def setUp(self) -> None:
        self.estimate = health_estimate.HealthEstimate(now_s=0.0)

    def test_failures_raise_and_answers_lower_it(self):
        """Guards against an estimate that ignores failures or answers."""
        self.estimate.observe(FAILED, 0.1)
        after_one = self.estimate.probability(0.1)
        self.estimate.observe(FAILED, 0.2)
        after_two = self.estimate.probability(0.2)
        self.estimate.observe(ANSWERED, 0.3, took_s=0.05)
        self.assertGreater(after_one, 0.5)
        self.assertGreater(after_two, 0.95)
        self.assertLess(self.estimate.probability(0.3), after_two)

    def test_old_evidence_decays_to_the_prior(self):
        """Guards against evidence that never decays."""
        self.estimate.observe(FAILED, 0.0)
        much_later_s = 20.0 * health_estimate.DECAY_S
        self.assertAlmostEqual(
            self.estimate.probability(much_later_s),
            health_estimate.UNHEALTHY_SHARE,
            places=3,
        )

    def test_answer_to_a_request_sent_before_the_failure_is_ignored(self):
        """Guards against trusting a target for work before its failure."""
        self.estimate.observe(FAILED, 1.0)
        suspected = self.estimate.probability(1.0)
        self.estimate.observe(ANSWERED, 1.1, took_s=0.3)
        self.assertGreater(self.estimate.probability(1.1), suspected - 0.02)

    def test_few_outcomes_can_reverse_the_estimate(self):
        """Guards against a long good record that hides new failures."""
        for step in range(50):
            self.estimate.observe(ANSWERED, step * 0.01)
        for step in range(3):
            self.estimate.observe(FAILED, 1.0 + step * 0.01)
        self.assertGreater(self.estimate.probability(1.1), 0.9)

    def test_cancelled_attempts_are_ignored(self):
        """Guards against blaming a target for a cancelled attempt."""
        before = self.estimate.probability(0.5)
        self.estimate.observe(outcome.Outcome.CANCELLED, 0.5)
        self.assertEqual(before, self.estimate.probability(0.5))

    def test_first_outcome_ends_the_untried_state(self):
        """Guards against a target that counts as untried for ever."""
        self.assertTrue(self.estimate.is_untried)
        self.estimate.observe(ANSWERED, 0.1)
        self.assertFalse(self.estimate.is_untried)
