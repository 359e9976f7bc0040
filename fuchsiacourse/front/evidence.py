"""What a front tells the others of one sending."""

from __future__ import annotations

import enum

from fuchsiacourse.front import outcome as outcomes


class AttemptKind(enum.IntEnum):
    """How a sending counts; the values are used between fronts."""

    FIRST = 0
    # Draws on the budget for repeats.
    REPEAT = 1
    # Takes the place of a sending that reached no target.
    REPLACEMENT = 2


class Evidence:
    """Start or end of a sending.

    Args:
        target_key: Incarnation of the target.
        outcome: How the sending ended, None for its start.
        kind: How the sending counts.
        in_flight: Requests that the front has at the target now.
        took_s: Time from the start to the end, in seconds.
        reported: Load that the target stated, None if it did not.
        fingerprint: Number of the request if the connection was lost under
            it, otherwise 0.
    """

    __slots__ = (
        "target_key",
        "outcome",
        "kind",
        "in_flight",
        "took_s",
        "reported",
        "fingerprint",
    )

    def __init__(
        self,
        *,
        target_key: int,
        outcome: outcomes.Outcome | None,
        kind: AttemptKind,
        in_flight: int,
        took_s: float = 0.0,
        reported: int | None = None,
        fingerprint: int = 0,
    ) -> None:
        self.target_key = target_key
        self.outcome = outcome
        self.kind = kind
        self.in_flight = in_flight
        self.took_s = took_s
        self.reported = reported
        self.fingerprint = fingerprint
