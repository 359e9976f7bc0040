"""Decides whether an attempt is delivered, retried or given up.

Covers single unhealthy targets at ordinary load, and load shedding or
failures at many targets at once, when the retry budget limits the retries.
"""

from __future__ import annotations

import enum

from fuchsiacourse.front import outcome as outcomes

# Attempts after which a request is given up; refused connections and
# declined requests cost little, but each takes a network round trip.
MAX_ATTEMPTS = 6
# Part of the service's usual time that must be left for another attempt.
MIN_TIME_SHARE = 0.4


class Step(enum.Enum):
    """What follows an attempt."""

    DELIVER = "deliver"
    # Retry at another target.
    RETRY = "repeat"
    # Retry at a target that has declined the request.
    RETRY_SAME = "repeat_same"
    # Try another target without drawing on the retry budget.
    REPLACE = "replace"
    GIVE_UP = "give_up"


class RetryState:
    """State of a request on which the decision to retry depends.

    Args:
        is_idempotent: Whether the request may run more than once.
        attempts: Attempts so far.
        targets: Number of targets that the request may have reached.
        max_targets: Number of targets that the operator allows.
        left_s: Time until the request's deadline, in seconds.
        usual_s: Usual time of the service, in seconds.
        budget: Retries that the service's retry budget allows now.
    """

    __slots__ = (
        "is_idempotent",
        "attempts",
        "targets",
        "max_targets",
        "left_s",
        "usual_s",
        "budget",
    )

    def __init__(
        self,
        *,
        is_idempotent: bool,
        attempts: int,
        targets: int,
        max_targets: int,
        left_s: float,
        usual_s: float,
        budget: float,
    ) -> None:
        self.is_idempotent = is_idempotent
        self.attempts = attempts
        self.targets = targets
        self.max_targets = max_targets
        self.left_s = left_s
        self.usual_s = usual_s
        self.budget = budget


def next_step(outcome: outcomes.Outcome, state: RetryState) -> Step:
    """Returns what follows an attempt that has ended.

    Args:
        outcome: Outcome of the attempt.
        state: State of the request after it.
    """
    if outcome is outcomes.Outcome.ANSWERED:
        return Step.DELIVER
    has_time = state.left_s > MIN_TIME_SHARE * state.usual_s
    if not has_time or state.attempts >= MAX_ATTEMPTS:
        return Step.GIVE_UP
    if outcome is outcomes.Outcome.UNREACHED:
        return Step.REPLACE
    if state.budget < 1.0:
        return Step.GIVE_UP
    has_targets = state.targets < state.max_targets
    if outcome is outcomes.Outcome.DECLINED and not has_targets:
        return Step.RETRY_SAME
    if has_targets and (outcome.is_not_run or state.is_idempotent):
        return Step.RETRY
    return Step.GIVE_UP


def may_hedge(state: RetryState) -> bool:
    """Returns whether a late attempt may be hedged at another target."""
    return (
        state.is_idempotent
        and state.targets < state.max_targets
        and state.attempts < MAX_ATTEMPTS
        and state.budget >= 1.0
        and state.left_s > MIN_TIME_SHARE * state.usual_s
    )
