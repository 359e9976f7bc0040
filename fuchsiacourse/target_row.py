"""A target as the owner of its shard knows it."""

from __future__ import annotations

import enum
import typing

from fuchsiacourse import service_file
from fuchsiacourse import target_client


class TargetState(enum.Enum):
    """Health of a target in the eyes of the shard's owner."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    CANARY = "canary"
    COLD = "cold"


class Outcome(enum.Enum):
    """How one attempt at a target ended."""

    OK = "ok"
    ERROR_STATUS = "error_status"
    BAD_ANSWER = "bad_answer"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    SHED = "shed"
    CANCELLED = "cancelled"


class Attempt:
    """One request that holds a slot of a target.

    Args:
        request_id: Identifier of the request.
        kind: Request kind.
        fingerprint: Digest of method, path and body.
        target_id: Target that runs it.
        started_s: Monotonic time of the start in seconds.
        is_canary: Whether it tests an ejected target.
        is_hedge: Whether it duplicates a running attempt.
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
        # Set once its age alone has been counted as bad evidence.
        self.is_counted_late = False


class TargetRow:
    """Row of a shard's target table.

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
        # Sticky for the target's incarnation.
        self.leaving = False
        self.incarnation = ""
        self.attempts_by_id: dict[str, Attempt] = {}
        self.report: target_client.TargetReport | None = None
        # Filled and read by the detection system only.
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
        """Number of slots that can take a request."""
        limit = min(self.target.slots, self.target.connection_limit)
        return max(0, limit - self.in_flight)

    @property
    def counts_as_healthy(self) -> bool:
        """Whether the target counts towards the healthy capacity."""
        return not self.leaving and self.state in (
            TargetState.HEALTHY,
            TargetState.SUSPECT,
        )
