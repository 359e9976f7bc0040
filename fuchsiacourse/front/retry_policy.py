"""Decides what follows the end of a sending.

Load answered here: single sick targets at ordinary load, and sheds or
failures at many targets at once, when the budget limits the repeats.
"""

from __future__ import annotations

import enum

from fuchsiacourse.front import outcome as outcomes

# Sendings of one request beyond which it is given up; refused connections
# and sheds cost little, but each takes a crossing.
MAX_ATTEMPTS = 6
# Part of the usual time that must be left for another sending.
MIN_TIME_SHARE = 0.4


class Step(enum.Enum):
    """What follows a sending."""

    DELIVER = "deliver"
    # Send it to another target.
    RETRY = "repeat"
    # Send it again to a target that has declined it.
    RETRY_SAME = "repeat_same"
    # Send it to another target without drawing on the budget.
    REPLACE = "replace"
    GIVE_UP = "give_up"


class RetryState:
    """What a decision depends on.

    Args:
        is_idempotent: Whether the request may run again.
        sendings: Sendings so far.
        targets: Different targets that the request may have reached.
        max_targets: Most targets that the operator allows.
        left_s: Time until the request ends, in seconds.
        usual_s: Usual time of the service, in seconds.
        budget: Repeats that the service may have now.
    """

    __slots__ = (
        "is_idempotent",
        "sendings",
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
        sendings: int,
        targets: int,
        max_targets: int,
        left_s: float,
        usual_s: float,
        budget: float,
    ) -> None:
        self.is_idempotent = is_idempotent
        self.sendings = sendings
        self.targets = targets
        self.max_targets = max_targets
        self.left_s = left_s
        self.usual_s = usual_s
        self.budget = budget


def next_step(outcome: outcomes.Outcome, state: RetryState) -> Step:
    """Returns what follows a sending that has ended.

    Args:
        outcome: How the sending ended.
        state: State of the request.
    """
    if outcome is outcomes.Outcome.ANSWERED:
        return Step.DELIVER
    has_time = state.left_s > MIN_TIME_SHARE * state.usual_s
    if not has_time or state.sendings >= MAX_ATTEMPTS:
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
    """Returns whether a late request may also go to another target."""
    return (
        state.is_idempotent
        and state.targets < state.max_targets
        and state.sendings < MAX_ATTEMPTS
        and state.budget >= 1.0
        and state.left_s > MIN_TIME_SHARE * state.usual_s
    )
