"""Defines the state of a request in dispatch and of its attempts."""

from __future__ import annotations

import asyncio
import enum
import typing

from fuchsiacourse import fleet_pb2
from fuchsiacourse import service_file
from fuchsiacourse import target_client
from fuchsiacourse import target_row
from fuchsiacourse import timers
from fuchsiacourse import verdict


class RequestState(enum.Enum):
    """Stage of a request in dispatch."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


class AttemptRun:
    """Holds the task of one attempt at a target.

    Args:
        id: Identifier that is unique within the process.
        attempt: The attempt as it stands in the target's row.
        target: Row of the target; stays valid when the target is removed
            from the configuration.
    """

    __slots__ = (
        "id",
        "attempt",
        "target",
        "handle",
        "is_entered",
        "cancelled_as",
    )

    def __init__(
        self,
        *,
        id: str,
        attempt: target_row.Attempt,
        target: target_row.TargetRow,
    ) -> None:
        self.id = id
        self.attempt = attempt
        self.target = target
        self.handle: timers.TimerHandle | None = None
        self.is_entered = False
        # Outcome to report after a cancellation; None without one.
        self.cancelled_as: target_row.Outcome | None = None

    def cancel(self, outcome: target_row.Outcome) -> None:
        """Cancels the attempt, which frees its slot when it has ended.

        A task that is cancelled before its first step never runs its
        cleanup. A task that has not started is therefore not cancelled; it
        reads ``cancelled_as`` and ends by itself.

        Args:
            outcome: Outcome to report for the attempt.
        """
        if self.cancelled_as is not None:
            return
        self.cancelled_as = outcome
        if self.is_entered and self.handle is not None:
            self.handle.cancel()


class RequestRow:
    """Holds the state of one request, queued or running.

    Args:
        request: The request as the entry sent it.
        kind: Kind of the request.
        sequence: Order of arrival within the process.
        arrived_s: Monotonic time of arrival in seconds.
        deadline_s: Monotonic time of the deadline in seconds.
        reply: Future that receives the reply.
    """

    __slots__ = (
        "request",
        "kind",
        "sequence",
        "arrived_s",
        "deadline_s",
        "reply",
        "state",
        "runs_by_id",
        "attempts_made",
        "unproven_attempts",
        "is_uncertain",
        "tried_target_ids",
        "error_answer",
        "error_target_id",
        "is_late",
    )

    def __init__(
        self,
        *,
        request: fleet_pb2.ExecuteRequest,
        kind: service_file.RequestKind,
        sequence: int,
        arrived_s: float,
        deadline_s: float,
        reply: asyncio.Future[fleet_pb2.ExecuteReply],
    ) -> None:
        self.request = request
        self.kind = kind
        self.sequence = sequence
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.reply = reply
        self.state = RequestState.QUEUED
        self.runs_by_id: dict[str, AttemptRun] = {}
        self.attempts_made = 0
        # Number of attempts without proof that the target did not run the
        # request. Only the invariant checks read it; replies depend on
        # may_have_run.
        self.unproven_attempts = 0
        # Set once an attempt has ended without a usable answer and without
        # proof that the target did not run the request.
        self.is_uncertain = False
        self.tried_target_ids: set[str] = set()
        # Complete answer with an error status, which is returned if no
        # attempt succeeds.
        self.error_answer: target_client.TargetAnswer | None = None
        self.error_target_id = ""
        # Set when the request goes on after its deadline.
        self.is_late = False

    @property
    def id(self) -> str:
        """Identifier of the request."""
        return self.request.request_id

    @property
    def order(self) -> tuple[float, int]:
        """Sort key among the requests of its kind."""
        return self.deadline_s, self.sequence

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return (
            self.is_uncertain
            or self.error_answer is not None
            or bool(self.runs_by_id)
        )

    @property
    def verdict(self) -> verdict.Verdict:
        """Verdict of the reply if no answer is returned."""
        if self.may_have_run:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN

    def finish(self, reply: fleet_pb2.ExecuteReply) -> None:
        """Ends the request with a reply."""
        self.state = RequestState.DONE
        if not self.reply.done():
            self.reply.set_result(reply)

    def has_running(self, exclude: typing.Any = None) -> bool:
        """Returns whether an attempt is running and not cancelled.

        Args:
            exclude: Attempt to leave out, if any.
        """
        return any(
            run is not exclude and run.cancelled_as is None
            for run in self.runs_by_id.values()
        )
