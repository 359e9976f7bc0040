"""In-memory targets that record the requests they execute."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from bench import process_gate
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import target_client

# One-way network delay between dispatch and a target in seconds.
NETWORK_S = 0.0005
PROBE_S = 0.025

RunTime = collections.abc.Callable[
    [target_client.TargetCall, random.Random], float
]


class RunRecord:
    """One execution of a request, as recorded by the target."""

    __slots__ = (
        "request_id",
        "target_id",
        "address",
        "method",
        "path",
        "started_s",
        "ended_s",
        "is_complete",
        "is_straggler",
    )

    def __init__(
        self,
        *,
        call: target_client.TargetCall,
        started_s: float,
        is_straggler: bool,
    ) -> None:
        self.request_id = call.request_id
        self.target_id = call.target_id
        self.address = call.address
        self.method = call.method
        self.path = call.path
        self.started_s = started_s
        self.ended_s: float | None = None
        self.is_complete = False
        self.is_straggler = is_straggler


class FakeTarget:
    """State and injected faults of one target.

    The attributes may be changed at any time during a run.

    Args:
        address: Address of the target.
        slots: Requests that it runs concurrently.
    """

    def __init__(self, *, address: str, slots: int) -> None:
        self.address = address
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.most_in_flight = 0
        self.incarnation = f"{address}/1"
        # Gray failures, each a share of the requests or a factor.
        self.slow_factor = 1.0
        self.wrong_share = 0.0
        self.truncated_share = 0.0
        self.error_share = 0.0
        # Share of requests that run but lose the connection before the answer.
        self.lost_share = 0.0
        self.shed_share = 0.0
        self.is_unreachable = False
        # Accepts requests and never answers.
        self.is_hung = False
        self.is_healthy_to_probes = True
        self.probes_fail = False
        self.is_draining = False
        # Whether answers and probe reports show the draining.
        self.reports_draining = True
        self.cold_until_s = 0.0
        self.cold_factor = 3.0
        # A request whose body contains these bytes crashes the target.
        self.crash_mark: bytes | None = None
        self.restart_s = 1.0
        self.starts = 1
        self.crash_waiters: set[asyncio.Future[None]] = set()

    def is_cold(self, now: float) -> bool:
        """Whether the target is in its cold start."""
        return now < self.cold_until_s


class FakeTargets(target_client.TargetClient):
    """Target client that runs the requests at in-memory targets.

    Args:
        clock: Source of time.
        rng: Source of run times and faults.
        run_time: Returns the run time of a request in seconds.
        straggler_share: Share of the requests that run much longer.
        straggler_factor: Factor by which their run time grows.
        queues: Whether a target queues requests beyond its slots in order
            of arrival instead of shedding them.
        gate: Running state of the process that the client belongs to.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        run_time: RunTime,
        straggler_share: float = 0.0,
        straggler_factor: float = 30.0,
        queues: bool = False,
        gate: process_gate.ProcessGate | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._run_time = run_time
        self._straggler_share = straggler_share
        self._straggler_factor = straggler_factor
        self._queues = queues
        self._gate = gate or process_gate.ProcessGate()
        self.targets_by_address: dict[str, FakeTarget] = {}
        self.records: list[RunRecord] = []
        self.records_by_request: dict[str, list[RunRecord]] = {}
        self.shed_count = 0
        self.probe_count = 0
        # Switched off in long runs to bound the memory.
        self.is_recording = True

    def add(self, address: str, *, slots: int) -> FakeTarget:
        """Adds a target."""
        target = FakeTarget(address=address, slots=slots)
        self.targets_by_address[address] = target
        return target

    def clear_records(self) -> None:
        """Clears all execution records and resets the peaks in flight."""
        self.records.clear()
        self.records_by_request.clear()
        for target in self.targets_by_address.values():
            target.most_in_flight = target.in_flight

    def runs_of(self, request_id: str) -> list[RunRecord]:
        """Returns the executions of a request."""
        return self.records_by_request.get(request_id, [])

    async def send(
        self, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        """Runs a request at a fake target."""
        try:
            return await self._send(call)
        finally:
            # A paused process gets the outcome after it resumes.
            await self._gate.wait_until_running()

    async def _send(
        self, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        target = self.targets_by_address.get(call.address)
        await self._clock.sleep(NETWORK_S)
        if target is None or target.is_unreachable:
            raise errors.TargetUnreachable(call.address)
        if self._queues:
            async with target.free_slots:
                return await self._execute(target, call)
        if (
            target.in_flight >= target.slots
            or self._rng.random() < target.shed_share
        ):
            self.shed_count += 1
            await self._clock.sleep(NETWORK_S)
            return self._answer(target, call, status=503)
        return await self._execute(target, call)

    async def _execute(
        self, target: FakeTarget, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        is_straggler = self._rng.random() < self._straggler_share
        record = RunRecord(
            call=call, started_s=self._clock.now(), is_straggler=is_straggler
        )
        if self.is_recording:
            self.records.append(record)
            self.records_by_request.setdefault(call.request_id, []).append(
                record
            )
        target.in_flight += 1
        target.most_in_flight = max(target.most_in_flight, target.in_flight)
        try:
            await self._work(target, call, is_straggler)
            record.is_complete = True
        finally:
            record.ended_s = self._clock.now()
            target.in_flight -= 1
        await self._clock.sleep(NETWORK_S)
        return self._outcome(target, call)

    async def _work(
        self,
        target: FakeTarget,
        call: target_client.TargetCall,
        is_straggler: bool,
    ) -> None:
        run_s = self._run_time(call, self._rng) * target.slow_factor
        if is_straggler:
            run_s *= self._straggler_factor
        if target.is_cold(self._clock.now()):
            run_s *= target.cold_factor
        if target.crash_mark and target.crash_mark in call.body:
            self._crash(target)
        if target.is_unreachable:
            raise errors.TargetOutcomeUnknown("target crashed")
        crash = asyncio.get_running_loop().create_future()
        target.crash_waiters.add(crash)
        work = asyncio.ensure_future(
            self._clock.sleep(1e6 if target.is_hung else run_s)
        )
        try:
            await asyncio.wait(
                (work, crash), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            work.cancel()
            target.crash_waiters.discard(crash)
        if crash.done():
            raise errors.TargetOutcomeUnknown("target crashed")

    def _crash(self, target: FakeTarget) -> None:
        target.is_unreachable = True
        for waiter in target.crash_waiters:
            if not waiter.done():
                waiter.set_result(None)
        asyncio.ensure_future(self._restart(target))

    async def _restart(self, target: FakeTarget) -> None:
        await self._clock.sleep(target.restart_s)
        target.starts += 1
        target.incarnation = f"{target.address}/{target.starts}"
        target.is_unreachable = False

    def _outcome(
        self, target: FakeTarget, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        draw = self._rng.random()
        if draw < target.lost_share:
            raise errors.TargetOutcomeUnknown("connection lost")
        draw -= target.lost_share
        if 0 <= draw < target.truncated_share:
            raise errors.TargetBadAnswer("truncated")
        draw -= target.truncated_share
        if 0 <= draw < target.wrong_share:
            return self._answer(target, call, request_id="another")
        draw -= target.wrong_share
        if 0 <= draw < target.error_share:
            return self._answer(target, call, status=500)
        return self._answer(target, call)

    def _answer(
        self,
        target: FakeTarget,
        call: target_client.TargetCall,
        *,
        status: int = 200,
        request_id: str | None = None,
    ) -> target_client.TargetAnswer:
        body = f'{{"request": "{call.request_id}"}}'.encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Target-Incarnation", target.incarnation),
        ]
        if target.is_draining and target.reports_draining:
            headers.append(("Target-State", "draining"))
        return target_client.TargetAnswer(
            request_id=call.request_id if request_id is None else request_id,
            status=status,
            headers=headers,
            body=body,
        )

    async def probe(
        self, address: str, *, path: str
    ) -> target_client.TargetReport:
        """Returns the probe report of a fake target.

        Raises:
            TargetUnreachable: No target runs at the address.
            TargetOutcomeUnknown: The target's probes fail.
        """
        self.probe_count += 1
        await self._clock.sleep(PROBE_S)
        target = self.targets_by_address.get(address)
        if target is None or target.is_unreachable:
            raise errors.TargetUnreachable(address)
        if target.probes_fail:
            raise errors.TargetOutcomeUnknown(address)
        return target_client.TargetReport(
            healthy=target.is_healthy_to_probes,
            draining=target.is_draining and target.reports_draining,
            load=target.in_flight,
            incarnation=target.incarnation,
            warming=target.is_cold(self._clock.now()),
        )


def exponential_by_prefix(
    mean_s_by_prefix: dict[str, float],
) -> RunTime:
    """Returns a function that draws exponential run times by path prefix."""

    def run_time(call: target_client.TargetCall, rng: random.Random) -> float:
        for prefix, mean_s in mean_s_by_prefix.items():
            if call.path.startswith(prefix):
                return rng.expovariate(1.0 / mean_s)
        raise ValueError(f"no run time for {call.path}")

    return run_time
