"""Simulates baselines without a shard owner: entries choose targets."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import heapq
import itertools
import random
import typing

from bench import shard_run
from bench import target_fault
from bench import workload
from fuchsiacourse import service_file
from fuchsiacourse import target_row

ENTRIES = 40
CONSECUTIVE_ERRORS = 5
EJECTION_S = 30.0


class _Server:
    """Target with slots and its own queue."""

    def __init__(self, *, target: service_file.Target) -> None:
        self.target = target
        self.busy = 0
        self.queue: collections.deque[_Call] = collections.deque()


class _Call:
    """Request that an entry sent to a target."""

    __slots__ = ("entry", "server", "kind", "due_s", "is_done")

    def __init__(
        self,
        *,
        entry: _Entry,
        server: _Server,
        kind: service_file.RequestKind,
        due_s: float,
    ) -> None:
        self.entry = entry
        self.server = server
        self.kind = kind
        self.due_s = due_s
        self.is_done = False


class _Entry:
    """One entry's outstanding requests, errors and ejections by target."""

    def __init__(self, *, first: int) -> None:
        self.next_index = first
        self.outstanding: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()
        self.ejected_until_s: dict[str, float] = {}


class BaselineRun:
    """Simulates one shard without an owner under random load.

    Args:
        service: Service file.
        region: Region of the targets.
        seed: Seed of all randomness.
        faults: Faults of targets.
        ejects: Whether to use least outstanding with ejection after
            consecutive errors instead of round robin with timeouts.
    """

    def __init__(
        self,
        *,
        service: service_file.ServiceFile,
        region: str,
        seed: int,
        faults: Sequence[target_fault.TargetFault],
        ejects: bool,
    ) -> None:
        self.service = service
        self.rng = random.Random(seed)
        self.starts: list[shard_run.Start] = []
        self.now = 0.0
        self._ejects = ejects
        self._faults_by_target = {item.target_id: item for item in faults}
        self._servers = [
            _Server(target=target)
            for target in service.targets
            if target.region == region
        ]
        slots = sum(item.target.slots for item in self._servers)
        self._rate = workload.rate_per_s(slots)
        self._entries = [_Entry(first=index) for index in range(ENTRIES)]
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()

    def run(self, seconds: float) -> None:
        """Runs until a virtual time in seconds."""
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _at(self, when_s: float, event: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_s, next(self._order), event))

    def _arrive(self) -> None:
        self._at(self.now + self.rng.expovariate(self._rate), self._arrive)
        entry = self.rng.choice(self._entries)
        server = self._choose(entry)
        kind = workload.pick_kind(self.service, self.rng)
        call = _Call(
            entry=entry,
            server=server,
            kind=kind,
            due_s=self.now + kind.deadline_ms / 1000.0,
        )
        entry.outstanding[server.target.id] += 1
        self.starts.append(
            shard_run.Start(
                at_s=self.now,
                target_id=server.target.id,
                kind=kind.name,
                is_canary=False,
            )
        )
        self._at(call.due_s, lambda: self._time_out(call))
        server.queue.append(call)
        self._serve(server)

    def _choose(self, entry: _Entry) -> _Server:
        if not self._ejects:
            entry.next_index += 1
            return self._servers[entry.next_index % len(self._servers)]
        usable = [
            item
            for item in self._servers
            if entry.ejected_until_s.get(item.target.id, 0.0) <= self.now
        ]
        return min(
            usable or self._servers,
            key=lambda item: (
                entry.outstanding[item.target.id],
                self.rng.random(),
            ),
        )

    def _serve(self, server: _Server) -> None:
        while server.queue and server.busy < server.target.slots:
            call = server.queue.popleft()
            if call.is_done:
                continue
            server.busy += 1
            run_s = workload.run_s(call.kind, self.rng)
            outcome = target_row.Outcome.OK
            fault = self._faults_by_target.get(server.target.id)
            if fault is not None:
                run_s, outcome = fault.apply(
                    call.kind, run_s, self.now, self.rng
                )
            # The target stops a request whose caller's deadline has passed.
            end_s = min(self.now + run_s, call.due_s)
            self._at(end_s, self._free(call, outcome))

    def _free(
        self, call: _Call, outcome: target_row.Outcome
    ) -> typing.Callable[[], None]:
        def end() -> None:
            call.server.busy -= 1
            self._end(call, outcome is target_row.Outcome.OK)
            self._serve(call.server)

        return end

    def _time_out(self, call: _Call) -> None:
        self._end(call, False)

    def _end(self, call: _Call, good: bool) -> None:
        if call.is_done:
            return
        call.is_done = True
        entry = call.entry
        id = call.server.target.id
        entry.outstanding[id] -= 1
        if good and self.now < call.due_s:
            entry.errors[id] = 0
            return
        entry.errors[id] += 1
        if entry.errors[id] >= CONSECUTIVE_ERRORS:
            entry.errors[id] = 0
            entry.ejected_until_s[id] = self.now + EJECTION_S
