"""Targets of the soak test, whose answers callers can verify."""

from __future__ import annotations

import asyncio
import collections
import functools
import hashlib
import json
import math
import random
import typing

from bench import fake_targets
from bench import process_gate
from fuchsiacourse import target_client

# Seconds after which a leaving target must get no new work.
LEAVING_BOUND_S = 3.0

# Share of killed processes whose connections are closed, so that targets
# cancel their requests. The other kills model the loss of the host.
CLOSED_SHARE = 0.5

Start = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, typing.Any]
]

ANSWER_FIELDS = ("path", "digest")


class SoakTargets(fake_targets.FakeTargets):
    """Targets that count runs by path and return the path in answers."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.runs_by_path: collections.Counter[str] = collections.Counter()
        self.requests = 0
        # Executions that started too long after a target was known to leave.
        self.late_starts: list[str] = []
        # Monotonic seconds at which a source first reported it, by address.
        self.leaving_known_s: dict[str, float] = {}

    def crash(self, target: fake_targets.FakeTarget) -> None:
        """Crashes a target, which restarts after its ``restart_s``."""
        if not target.is_unreachable:
            self._crash(target)

    async def _execute(
        self,
        target: fake_targets.FakeTarget,
        call: target_client.TargetCall,
    ) -> target_client.TargetAnswer:
        now = self._clock.now()
        self.runs_by_path[call.path] += 1
        self.requests += 1
        known_s = self.leaving_known_s.get(target.address, math.inf)
        if now > known_s + LEAVING_BOUND_S:
            self.late_starts.append(
                f"{call.path} started at {target.address}"
                f" {now - known_s:.2f} s after it was known to leave"
            )
        return await super()._execute(target, call)

    def _answer(
        self,
        target: fake_targets.FakeTarget,
        call: target_client.TargetCall,
        *,
        status: int = 200,
        request_id: str | None = None,
    ) -> target_client.TargetAnswer:
        answer = super()._answer(
            target, call, status=status, request_id=request_id
        )
        is_wrong = request_id is not None
        answer.body = answer_body("/another" if is_wrong else call.path)
        if is_wrong and self._rng.random() < 0.5:
            answer.request_id = call.request_id
            answer.body = b'{"partial": true}'
        answer.headers = [
            (name, value)
            for name, value in answer.headers
            if name != "Content-Length"
        ]
        answer.headers.append(("Content-Length", str(len(answer.body))))
        return answer


class ProcessTargets(target_client.TargetClient):
    """Target client of one process that can be paused or killed.

    Args:
        targets: Targets that all processes share.
        gate: Running state of the process.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        targets: SoakTargets,
        gate: process_gate.ProcessGate,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._gate = gate
        self._rng = rng
        self._sent: dict[asyncio.Task[typing.Any], None] = {}

    async def send(
        self, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        """Sends a request; a paused process gets the answer on resuming."""
        return await self._run(functools.partial(self._targets.send, call))

    async def probe(
        self, address: str, *, path: str
    ) -> target_client.TargetReport:
        """Probes a target and returns its report."""
        return await self._run(
            functools.partial(self._targets.probe, address, path=path)
        )

    def kill(self) -> None:
        """Closes the connections in a ``CLOSED_SHARE`` of the kills."""
        if self._rng.random() < CLOSED_SHARE:
            for task in list(self._sent):
                task.cancel()

    async def _run(self, start: Start) -> typing.Any:
        await self._gate.wait_until_running()
        task = asyncio.ensure_future(start())
        self._sent[task] = None
        task.add_done_callback(self._ended)
        try:
            return await asyncio.shield(task)
        finally:
            await self._gate.wait_until_running()
            task.cancel()

    def _ended(self, task: asyncio.Task[typing.Any]) -> None:
        self._sent.pop(task, None)
        if not task.cancelled():
            task.exception()


def answer_body(path: str) -> bytes:
    """Returns the complete answer body for a request path."""
    digest = hashlib.sha256(path.encode()).hexdigest()
    return json.dumps({"path": path, "digest": digest * 4}).encode()
