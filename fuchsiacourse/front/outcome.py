"""Outcomes of an attempt."""

from __future__ import annotations

import enum


class Outcome(enum.IntEnum):
    """Outcome of one attempt; fronts exchange the values."""

    # A complete answer that is not a server error.
    ANSWERED = 1
    # A complete answer with a server error.
    FAILED = 2
    # The connection ended without an answer; the request may have run.
    LOST = 3
    # The answer is truncated, unsigned or not an HTTP answer.
    BAD_ANSWER = 4
    # The target states that it has not run the request.
    DECLINED = 5
    # No part of the request was sent.
    UNREACHED = 6
    # Another target listens at the address; it has not run the request.
    MISDIRECTED = 7
    # The deadline passed while the target was working.
    TIMED_OUT = 8
    # The front cancelled the attempt.
    CANCELLED = 9
    # The attempt still runs, for longer than the service usually takes.
    LATE = 10

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly has not run."""
        return self in _NOT_RUN

    @property
    def may_have_arrived(self) -> bool:
        """Whether the request may have reached the target."""
        return self is not Outcome.UNREACHED


_NOT_RUN = frozenset(
    (Outcome.DECLINED, Outcome.UNREACHED, Outcome.MISDIRECTED)
)
