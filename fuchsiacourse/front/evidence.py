"""Evidence of one attempt that a front shares with the others."""

from __future__ import annotations

import enum

from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target_limit


class AttemptKind(enum.IntEnum):
    """How an attempt counts; fronts exchange the values."""

    FIRST = 0
    # A retry or hedge, which draws on the retry budget.
    REPEAT = 1
    # Replaces an attempt that reached no target.
    REPLACEMENT = 2
    # A first attempt that counts at its end, as its start was not reported.
    FIRST_AT_END = 3
    # Start of a first attempt at a target with a rate limit; the attempt
    # counts at its end.
    FIRST_PACED = 4


class Evidence:
    """Start, lateness or end of an attempt.

    Args:
        target_key: Key of the target's incarnation, see target.key_of.
        outcome: How the attempt ended, LATE while it still runs, None for its
            start.
        kind: How the attempt counts against the retry budget.
        in_flight: Requests that the front has in flight at the target.
        took_s: Time from the start to the end, in seconds.
        reported_load: Load that the target has reported, in requests; None
            if it has reported none.
        fingerprint: Fingerprint of the request if its connection was lost,
            otherwise 0.
        rate_limit: Requests per second that the target states to take from
            all fronts, target_limit.UNLIMITED if it states no limit, None if
            the attempt doesn't tell.
        is_paced: Whether the target states a limit, so that the other fronts
            need to know of each start.
    """

    __slots__ = (
        "target_key",
        "outcome",
        "kind",
        "in_flight",
        "took_s",
        "reported_load",
        "fingerprint",
        "rate_limit",
        "is_paced",
    )

    def __init__(
        self,
        *,
        target_key: int,
        outcome: outcomes.Outcome | None,
        kind: AttemptKind,
        in_flight: int,
        took_s: float = 0.0,
        reported_load: int | None = None,
        fingerprint: int = 0,
        rate_limit: float | None = None,
        is_paced: bool = False,
    ) -> None:
        self.target_key = target_key
        self.outcome = outcome
        self.kind = kind
        self.in_flight = in_flight
        self.took_s = took_s
        self.reported_load = reported_load
        self.fingerprint = fingerprint
        self.rate_limit = rate_limit
        self.is_paced = is_paced

    @property
    def states_limit(self) -> bool:
        """Whether the target states a rate limit."""
        return (
            self.rate_limit is not None
            and self.rate_limit < target_limit.UNLIMITED
        )

    def set_unlimited(self) -> None:
        """Records that the target states no limit, if it has answered."""
        if self.outcome is outcomes.Outcome.ANSWERED:
            self.rate_limit = target_limit.UNLIMITED
