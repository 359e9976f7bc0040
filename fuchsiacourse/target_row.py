"""Defines the row of a target in the tables of a shard, and its attempts."""

from __future__ import annotations

import enum
import typing

from fuchsiacourse import service_file
from fuchsiacourse import target_client


class TargetState(enum.Enum):
    """Health of a target as the owner of its shard sees it."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    CANARY = "canary"
    COLD = "cold"


class Outcome(enum.Enum):
    """Result of one attempt at a target."""

    OK = "ok"
    ERROR_STATUS = "error_status"
    BAD_ANSWER = "bad_answer"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    SHED = "shed"
    CANCELLED = "cancelled"


class Attempt:
    """Describes one attempt, which holds a slot of a target.

    Args:
        request_id: Identifier of the request.
        kind: Request kind.
        fingerprint: Digest of method, path and body.
        target_id: Target that runs the attempt.
        started_s: Monotonic time of the start in seconds.
        is_canary: Whether the attempt tests an ejected or suspect target.
        is_hedge: Whether the attempt is a hedge of a running one.
    """

    __slots__ = (
        "request_id",
        "kind",
        "fingerprint",
        "target_id",
        "started_s",
        "is_canary",
        "is_hedge",
        "is_counted_late",
    )

    def __init__(
        self,
        *,
        request_id: str,
        kind: service_file.RequestKind,
        fingerprint: str,
        target_id: str,
        started_s: float,
        is_canary: bool = False,
        is_hedge: bool = False,
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.fingerprint = fingerprint
        self.target_id = target_id
        self.started_s = started_s
        self.is_canary = is_canary
        self.is_hedge = is_hedge
        # Set once the age of the running attempt has passed a limit of
        # latency.
        self.is_counted_late = False


class TargetRow:
    """Holds the state of one target in a shard's target table.

    Args:
        target: The target as the service file describes it.
    """

    __slots__ = (
        "target",
        "state",
        "state_since_s",
        "leaving",
        "incarnation",
        "attempts_by_id",
        "report",
        "evidence_by_kind",
        "details",
    )

    def __init__(self, *, target: service_file.Target) -> None:
        self.target = target
        self.state = TargetState.HEALTHY
        self.state_since_s = 0.0
        # Stays set until the target has a new incarnation.
        self.leaving = False
        self.incarnation = ""
        self.attempts_by_id: dict[str, Attempt] = {}
        self.report: target_client.TargetReport | None = None
        # Written and read by failure detection only.
        self.evidence_by_kind: dict[str, typing.Any] = {}
        self.details: typing.Any = None

    @property
    def id(self) -> str:
        """Identifier of the target within its service."""
        return self.target.id

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return len(self.attempts_by_id)

    @property
    def free_slots(self) -> int:
        """Number of free slots, at most that of free connections."""
        limit = min(self.target.slots, self.target.connection_limit)
        return max(0, limit - self.in_flight)

    @property
    def counts_as_healthy(self) -> bool:
        """Whether the target counts towards the healthy capacity."""
        return not self.leaving and self.state in (
            TargetState.HEALTHY,
            TargetState.SUSPECT,
        )
