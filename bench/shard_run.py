"""Discrete-event simulation of one shard: health and a simple queue."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from bench import target_fault
from bench import workload
from fuchsiacourse import floor
from fuchsiacourse import health as healths
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import service_file
from fuchsiacourse import service_status
from fuchsiacourse import shard as shards
from fuchsiacourse import status_plan
from fuchsiacourse import target_client
from fuchsiacourse import target_row

TICK_S = 0.1
AGENT_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.5
WRITE_S = 0.01
MAX_QUEUE = 300

_EJECTED_STATES = (
    target_row.TargetState.EJECTED,
    target_row.TargetState.CANARY,
)


class Start:
    """The start of one attempt.

    Args:
        at_s: Virtual time of the start in seconds.
        target_id: Target of the attempt.
        kind: Name of the request kind.
        is_canary: Whether the attempt was a canary.
    """

    __slots__ = ("at_s", "target_id", "kind", "is_canary")

    def __init__(
        self, *, at_s: float, target_id: str, kind: str, is_canary: bool
    ) -> None:
        self.at_s = at_s
        self.target_id = target_id
        self.kind = kind
        self.is_canary = is_canary


class _Request:
    __slots__ = ("id", "kind", "due_s")

    def __init__(
        self, *, id: str, kind: service_file.RequestKind, due_s: float
    ) -> None:
        self.id = id
        self.kind = kind
        self.due_s = due_s


class ShardRun:
    """Simulates one shard under random load.

    The planner of the real ejection agent decides on ejections; the status
    object is kept in memory, without a platform.

    Args:
        service: Service file.
        region: Region of the shard.
        seed: Seed of all randomness.
        use: Returns the load as a share of the slots at a time in seconds.
        faults: Faults of targets.
        records: Whether to record all starts in ``starts``.
    """

    def __init__(
        self,
        *,
        service: service_file.ServiceFile,
        region: str,
        seed: int,
        use: typing.Callable[[float], float],
        faults: typing.Sequence[target_fault.TargetFault] = (),
        records: bool = True,
    ) -> None:
        self.service = service
        self.shard = shards.Shard(service=service, region=region)
        self.rng = random.Random(seed)
        self.invariants = invariant_checks.Invariants(log=logs.silent())
        self.health = healths.Health(
            shard=self.shard,
            rng=random.Random(seed + 1),
            false_ejections_per_target_s=1e-6,
            invariants=self.invariants,
            log=_NullLogger(),
        )
        self.status = service_status.ServiceStatus(
            service=service.service, config_number=1
        )
        self.starts: list[Start] = []
        # Time in seconds and target id of each ejection.
        self.ejections: list[tuple[float, str]] = []
        self.suspicions = 0
        self.finished = 0
        self.now = 0.0
        self._records = records
        self._use = use
        self._faults_by_target = {item.target_id: item for item in faults}
        self._slots = sum(
            row.target.slots for row in self.shard.targets_by_id.values()
        )
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._releases = 0
        self._queues = (
            collections.deque[_Request](),
            collections.deque[_Request](),
        )

    def run(self, seconds: float) -> None:
        """Runs the shard until a virtual time in seconds."""
        if not self._events:
            self._at(0.0, self._arrive)
            self._at(0.0, self._tick)
            self._at(0.0, self._probe)
            self._at(AGENT_INTERVAL_S / 2.0, self._run_agent)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = seconds

    def _at(self, when_s: float, event: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_s, next(self._order), event))

    def _arrive(self) -> None:
        rate = workload.rate_per_s(self._slots, self._use(self.now))
        self._at(self.now + self.rng.expovariate(rate), self._arrive)
        kind = workload.pick_kind(self.service, self.rng)
        request = _Request(
            id=str(next(self._ids)),
            kind=kind,
            due_s=self.now + kind.deadline_ms / 1000.0,
        )
        queue = self._queues[0 if kind.is_short else 1]
        if len(queue) >= MAX_QUEUE:
            return
        queue.append(request)
        # Behind other requests it waits for a free slot or the next tick.
        if len(queue) == 1:
            self._bind()

    def _bind(self) -> None:
        for queue in self._queues:
            while queue:
                if queue[0].due_s <= self.now + 0.2:
                    queue.popleft()
                    continue
                rows = self.health.candidates(queue[0].kind, self.now)
                if not rows:
                    return
                self._start(rows[0], queue.popleft())

    def _start(self, row: target_row.TargetRow, request: _Request) -> None:
        attempt = target_row.Attempt(
            request_id=request.id,
            kind=request.kind,
            fingerprint=request.id,
            target_id=row.id,
            started_s=self.now,
            is_canary=self.health.is_canary(row),
        )
        self.health.record_start(row, attempt, self.now)
        row.attempts_by_id[attempt.request_id] = attempt
        if self._records:
            self.starts.append(
                Start(
                    at_s=self.now,
                    target_id=row.id,
                    kind=request.kind.name,
                    is_canary=attempt.is_canary,
                )
            )
        run_s = workload.run_s(request.kind, self.rng)
        outcome = target_row.Outcome.OK
        fault = self._faults_by_target.get(row.id)
        if fault is not None:
            run_s, outcome = fault.apply(
                request.kind, run_s, self.now, self.rng
            )
        if self.now + run_s > request.due_s:
            run_s = request.due_s - self.now
            outcome = target_row.Outcome.TIMEOUT
        self._at(self.now + run_s, lambda: self._finish(row, attempt, outcome))

    def _finish(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
    ) -> None:
        del row.attempts_by_id[attempt.request_id]
        self.finished += 1
        self.health.record_finish(row, attempt, outcome, self.now)
        self._bind()

    def _tick(self) -> None:
        self._at(self.now + TICK_S, self._tick)
        self.health.tick(self.now)
        self.suspicions += sum(
            row.state is target_row.TargetState.SUSPECT
            for row in self.shard.targets_by_id.values()
        )
        self._bind()

    def _probe(self) -> None:
        self._at(self.now + PROBE_INTERVAL_S, self._probe)
        for row in self.shard.targets_by_id.values():
            report = target_client.TargetReport(
                healthy=True, load=row.in_flight
            )
            self.health.record_report(row, report, self.now)

    def _run_agent(self) -> None:
        self._at(self.now + AGENT_INTERVAL_S, self._run_agent)
        planner = status_plan.Planner(
            service=self.service,
            config_number=1,
            shard=self.shard,
            health=self.health,
            self_id="run",
            first_seen_s={},
            now=self.now,
            wall=self.now,
        )
        plan = planner.plan(self.status, next_release=self._releases)
        self._releases += len(plan.released)
        plan.status.released.clear()
        self.ejections.extend((self.now, id) for id in plan.ejected)
        self._at(self.now + WRITE_S, lambda: self._apply(plan.status))

    def _apply(self, status: service_status.ServiceStatus) -> None:
        self.status = status
        in_effect = floor.in_effect(
            self.service, status, self.health.unhealthy_ids(self.now)
        )
        self.health.apply(
            status,
            in_effect,
            valid_until_s=self.now + 20.0,
            now=self.now,
            wall=self.now,
        )


class _NullLogger:
    """Logger that drops all lines without formatting them."""

    def info(self, event: str, **fields: typing.Any) -> None:
        """Drops a line."""

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Drops a line."""
