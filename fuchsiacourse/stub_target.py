"""Model of a target with slots, run times and injected faults.

Does no I/O; stub_target_server serves it over HTTP.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing

import pydantic

from fuchsiacourse import service_file

# Number of the latest executions that are kept.
_MAX_RECORDS = 100_000
_STRAGGLER_FACTOR = 30.0


class StubFaults(pydantic.BaseModel):
    """Injected faults of a target, as set over ``/control``.

    Shares are between 0 and 1. With a flapping period, faults apply only
    during the first half of each period. A faulty target reports itself
    healthy to probes unless ``probes_healthy`` is false.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    wrong_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    truncated_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    error_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    lost_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    hangs: bool = False
    flapping_period_s: float = pydantic.Field(default=0.0, ge=0)
    probes_healthy: bool = True
    draining: bool = False
    leaving: bool = pydantic.Field(
        default=False, description="All answers say that the target leaves."
    )
    retry_after_s: float | None = pydantic.Field(
        default=None,
        ge=0,
        description="Requests get a 503 with this time to wait.",
    )
    cold_s: float = pydantic.Field(default=0.0, ge=0)
    cold_factor: float = pydantic.Field(default=3.0, gt=0)
    crash_mark: str = pydantic.Field(
        default="", description="A body with this text crashes the target."
    )
    restart_s: float = pydantic.Field(default=1.0, ge=0)


class StubRun:
    """Record of one execution of a request at a target.

    Args:
        request_id: Header Request-Id of the request.
        kind: Name of the request kind.
        booking: Number of the booking; 0 for an idempotent kind.
        body: Start of the request body.
    """

    __slots__ = ("request_id", "kind", "booking", "started_s", "end", "body")

    def __init__(
        self, *, request_id: str, kind: str, booking: int, body: str
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.booking = booking
        self.started_s = time.time()
        # "running", "complete", "deadline", or "cancelled", also by a crash.
        self.end = "running"
        self.body = body

    def as_json(self) -> dict[str, typing.Any]:
        """Returns the record for ``/record``."""
        return {name: getattr(self, name) for name in self.__slots__}


class StubTarget:
    """Simulates the slots, run times and faults of a target.

    Args:
        target: Target of the service file.
        service: Service of the target.
        rng: Source of run times and faults.
        straggler_share: Share of the requests that run 30 times longer.
        time_scale: Factor applied to every run time.
    """

    def __init__(
        self,
        *,
        target: service_file.Target,
        service: service_file.ServiceFile,
        rng: random.Random,
        straggler_share: float = 0.01,
        time_scale: float = 1.0,
    ) -> None:
        self.target = target
        self.service = service
        self.faults = StubFaults()
        self.runs: collections.deque[StubRun] = collections.deque(
            maxlen=_MAX_RECORDS
        )
        self.in_flight = 0
        self.most_in_flight = 0
        self.shed = 0
        self._rng = rng
        self._straggler_share = straggler_share
        self._time_scale = time_scale
        self._bookings = 0
        self._starts = 0
        self._faults_since_s = time.monotonic()
        self._started_s = time.monotonic()
        self.restart()

    @property
    def incarnation(self) -> str:
        """Identifier of the current start of the target."""
        return f"{self.target.id}/{self._starts}"

    @property
    def is_warming(self) -> bool:
        """Whether the target is still in its cold start."""
        return time.monotonic() - self._started_s < self.faults.cold_s

    @property
    def is_faulty(self) -> bool:
        """Whether the faults apply now, as flapping turns them on and off."""
        period_s = self.faults.flapping_period_s
        if not period_s:
            return True
        age_s = time.monotonic() - self._faults_since_s
        return age_s % period_s < period_s / 2

    def restart(self) -> None:
        """Starts a new incarnation, which neither drains nor leaves."""
        self._starts += 1
        self._started_s = time.monotonic()
        self.faults.draining = False
        self.faults.leaving = False

    def set_faults(self, faults: StubFaults) -> None:
        """Replaces the faults and begins the cold start, if there is one."""
        self.faults = faults
        self._faults_since_s = time.monotonic()
        if faults.cold_s:
            self._started_s = time.monotonic()

    def draws_fault(self, share: float) -> bool:
        """Draws whether a fault with this share affects a request."""
        return self.is_faulty and self._rng.random() < share

    def crashes(self, body: bytes) -> bool:
        """Returns whether a request with this body crashes the target."""
        mark = self.faults.crash_mark
        return bool(mark) and mark.encode() in body

    def find_kind(
        self, method: str, path: str
    ) -> service_file.RequestKind | None:
        """Returns the kind with the longest matching prefix, if any."""
        matching = [
            kind
            for kind in self.service.kinds
            if kind.method == method
            and f"{path}/".startswith(kind.route[1].rstrip("/") + "/")
        ]
        return max(matching, key=lambda kind: len(kind.route[1]), default=None)

    def try_start(
        self, *, request_id: str, kind: service_file.RequestKind, body: bytes
    ) -> StubRun | None:
        """Claims a slot and records the execution.

        Returns:
            The record, or None if all slots are in use and the request is
            shed.
        """
        if self.in_flight >= self.target.slots:
            self.shed += 1
            return None
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        if not kind.idempotent:
            self._bookings += 1
        run = StubRun(
            request_id=request_id,
            kind=kind.name,
            booking=0 if kind.idempotent else self._bookings,
            # Long enough for the bodies that the load generator sends, by
            # which executions are matched with calls.
            body=body[:64].decode(errors="replace"),
        )
        self.runs.append(run)
        return run

    async def execute(
        self,
        run: StubRun,
        kind: service_file.RequestKind,
        deadline_s: float,
    ) -> bool:
        """Simulates the run time of a request and releases its slot.

        Args:
            run: Record of the execution, whose end is set.
            kind: Request kind.
            deadline_s: Seconds until the deadline.

        Returns:
            Whether the request finished by its deadline.
        """
        run_s = self._run_s(kind)
        try:
            await asyncio.sleep(min(run_s, deadline_s))
            run.end = "complete" if run_s <= deadline_s else "deadline"
        except asyncio.CancelledError:
            run.end = "cancelled"
            raise
        finally:
            self.in_flight -= 1
        return run_s <= deadline_s

    def answer(
        self, run: StubRun, kind: service_file.RequestKind
    ) -> dict[str, typing.Any]:
        """Returns the JSON body of the answer to a request."""
        content: dict[str, typing.Any] = {
            name: f"{name} of {run.request_id}"
            for name in kind.answer_checks.json_fields
        }
        content["request"] = run.request_id
        content["target"] = self.target.id
        if run.booking:
            content["booking"] = f"{self.incarnation}/{run.booking}"
        return content

    def report(self) -> dict[str, typing.Any]:
        """Returns the JSON body of the answer to a health probe."""
        return {
            "healthy": self.faults.probes_healthy,
            "draining": self.faults.draining,
            "warming": self.is_warming,
            "load": self.in_flight,
            "incarnation": self.incarnation,
        }

    def _run_s(self, kind: service_file.RequestKind) -> float:
        if self.faults.hangs and self.is_faulty:
            # Longer than any deadline.
            return 1e6
        mean_s = kind.expected_ms / 1000.0 * self._time_scale
        run_s = self._rng.expovariate(1.0 / mean_s)
        if self._rng.random() < self._straggler_share:
            run_s *= _STRAGGLER_FACTOR
        if self.is_faulty:
            run_s *= self.faults.slow_factor
        return run_s * (self.faults.cold_factor if self.is_warming else 1.0)
