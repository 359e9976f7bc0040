"""Tests of the decision to retry, hedge or give up."""

import unittest

from fuchsiacourse.front import outcome
from fuchsiacourse.front import retry_policy

Outcome = outcome.Outcome
Step = retry_policy.Step


def state(**changes) -> retry_policy.RetryState:
    values = {
        "is_idempotent": True,
        "attempts": 1,
        "targets": 1,
        "max_targets": 2,
        "left_s": 1.0,
        "usual_s": 0.3,
        "budget": 10.0,
    }
    return retry_policy.RetryState(**{**values, **changes})


class RetryPolicyTest(unittest.TestCase):
    """Guards against retries of requests that may run only once."""

    def test_answer_is_delivered(self):
        """Guards against a retry after a successful answer."""
        self.assertIs(
            Step.DELIVER, retry_policy.next_step(Outcome.ANSWERED, state())
        )

    def test_non_idempotent_request_that_may_have_run_is_given_up(self):
        """Guards against a second run of a request that may run only once."""
        for item in (
            Outcome.FAILED,
            Outcome.LOST,
            Outcome.BAD_ANSWER,
            Outcome.TIMED_OUT,
        ):
            step = retry_policy.next_step(item, state(is_idempotent=False))
            self.assertIs(Step.GIVE_UP, step, item)

    def test_non_idempotent_request_that_has_not_run_is_retried(self):
        """Guards against giving up a request that certainly hasn't run."""
        non_idempotent = state(is_idempotent=False)
        for item in (Outcome.DECLINED, Outcome.MISDIRECTED):
            self.assertIs(
                Step.RETRY, retry_policy.next_step(item, non_idempotent)
            )
        self.assertIs(
            Step.REPLACE,
            retry_policy.next_step(Outcome.UNREACHED, non_idempotent),
        )

    def test_declined_request_may_be_retried_at_the_same_target(self):
        """Guards against giving up a declined request without new targets."""
        for is_idempotent in (True, False):
            tried = state(is_idempotent=is_idempotent, targets=2)
            self.assertIs(
                Step.RETRY_SAME,
                retry_policy.next_step(Outcome.DECLINED, tried),
            )
        spent = state(targets=2, budget=0.5)
        self.assertIs(
            Step.GIVE_UP, retry_policy.next_step(Outcome.DECLINED, spent)
        )

    def test_idempotent_request_is_retried_within_its_limits(self):
        """Guards against a retry beyond any of the request's limits."""
        self.assertIs(
            Step.RETRY, retry_policy.next_step(Outcome.FAILED, state())
        )
        for limit in (
            state(targets=2),
            state(budget=0.5),
            state(left_s=0.05),
            state(attempts=retry_policy.MAX_ATTEMPTS),
        ):
            step = retry_policy.next_step(Outcome.FAILED, limit)
            self.assertIs(Step.GIVE_UP, step)

    def test_refused_connection_does_not_draw_on_the_budget(self):
        """Guards against giving up an unsent request for lack of budget."""
        step = retry_policy.next_step(Outcome.UNREACHED, state(budget=0.0))
        self.assertIs(Step.REPLACE, step)

    def test_only_idempotent_requests_are_hedged(self):
        """Guards against a hedge that may run a request twice."""
        self.assertTrue(retry_policy.may_hedge(state()))
        self.assertFalse(retry_policy.may_hedge(state(is_idempotent=False)))
        self.assertFalse(retry_policy.may_hedge(state(targets=2)))
        self.assertFalse(retry_policy.may_hedge(state(budget=0.0)))
