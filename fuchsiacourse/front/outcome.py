"""How the sending of a request to a target ended."""

from __future__ import annotations

import enum


class Outcome(enum.IntEnum):
    """Outcome of one sending; the values are used between fronts."""

    # A complete answer that is not a server error.
    ANSWERED = 1
    # A complete answer with a server error.
    FAILED = 2
    # The connection ended without an answer; the request may have run.
    LOST = 3
    # The answer is cut off, unsigned or not an answer.
    BAD_ANSWER = 4
    # The target states that it has not run the request.
    DECLINED = 5
    # Nothing was sent.
    UNREACHED = 6
    # Another target has the address; it has not run the request.
    MISDIRECTED = 7
    # The time was over while the target was at work.
    TIMED_OUT = 8
    # The front broke the sending off.
    CANCELLED = 9
    # Still running, for longer than the service's requests usually take.
    LATE = 10

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly has not run."""
        return self in _NOT_RUN

    @property
    def may_have_arrived(self) -> bool:
        """Whether the request may have reached a target."""
        return self is not Outcome.UNREACHED


_NOT_RUN = frozenset(
    (Outcome.DECLINED, Outcome.UNREACHED, Outcome.MISDIRECTED)
)
