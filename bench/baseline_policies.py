"""Baseline load-balancing policies of entries without a shard owner.

Dispatch is compared with them. Each of 40 entries chooses targets by its
own observations, and the targets queue requests beyond their slots.
"""

from __future__ import annotations

import abc
import asyncio
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import service_file
from fuchsiacourse import target_client

ENTRIES = 40
_MAX_ATTEMPTS = 3
_ATTEMPT_TIME_SHARE = 0.5
_EJECT_AFTER_ERRORS = 5
_EJECT_S = 10.0
_FIRST_ERROR_STATUS = 500


class BaselineResult:
    """Outcome of one request.

    Args:
        is_served: Whether a target answered without an error.
    """

    __slots__ = ("is_served",)

    def __init__(self, *, is_served: bool) -> None:
        self.is_served = is_served


class BaselineEntry(abc.ABC):
    """An entry that sends requests to targets without a shard owner.

    Args:
        targets: Targets of the service.
        client: Client to the targets.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        targets: list[service_file.Target],
        client: target_client.TargetClient,
        clock: clocks.Clock,
    ) -> None:
        self.targets = targets
        self._client = client
        self._clock = clock

    @abc.abstractmethod
    def choose(self, now: float) -> service_file.Target:
        """Returns the target of the next attempt."""

    def started(self, target: service_file.Target) -> None:
        """Called at the start of an attempt; does nothing by default."""

    def ended(
        self, target: service_file.Target, is_good: bool, now: float
    ) -> None:
        """Called at the end of an attempt; does nothing by default."""

    async def run(
        self,
        request_id: str,
        kind: service_file.RequestKind,
        path: str,
    ) -> BaselineResult:
        """Runs a request with timeouts and retries it if idempotent."""
        deadline_s = self._clock.now() + kind.deadline_ms / 1000.0
        attempts = _MAX_ATTEMPTS if kind.idempotent else 1
        for number in range(attempts):
            left_s = deadline_s - self._clock.now()
            if left_s <= 0:
                break
            is_last = number == attempts - 1
            limit_s = left_s if is_last else left_s * _ATTEMPT_TIME_SHARE
            if await self._attempt(request_id, kind, path, limit_s):
                return BaselineResult(is_served=True)
        return BaselineResult(is_served=False)

    async def _attempt(
        self,
        request_id: str,
        kind: service_file.RequestKind,
        path: str,
        limit_s: float,
    ) -> bool:
        target = self.choose(self._clock.now())
        self.started(target)
        is_good = False
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._client.send(
                    target_client.TargetCall(
                        target_id=target.id,
                        address=target.address,
                        request_id=request_id,
                        method=kind.method,
                        path=path,
                        headers=[],
                        body=b"",
                        deadline_s=limit_s,
                    )
                )
            is_good = answer.status < _FIRST_ERROR_STATUS
        except (TimeoutError, errors.TargetError):
            is_good = False
        self.ended(target, is_good, self._clock.now())
        return is_good


class RoundRobin(BaselineEntry):
    """Chooses the targets in turn.

    Args:
        rng: Chooses the first target.
        **options: Options of the base class.
    """

    def __init__(self, *, rng: random.Random, **options: typing.Any) -> None:
        super().__init__(**options)
        self._next = rng.randrange(len(self.targets))

    def choose(self, now: float) -> service_file.Target:
        """Returns the next target."""
        self._next = (self._next + 1) % len(self.targets)
        return self.targets[self._next]


class LeastOutstanding(BaselineEntry):
    """Chooses the target with the fewest outstanding requests of this entry.

    After 5 consecutive errors a target is ejected for 10 s.

    Args:
        rng: Breaks ties.
        **options: Options of the base class.
    """

    def __init__(self, *, rng: random.Random, **options: typing.Any) -> None:
        super().__init__(**options)
        self._rng = rng
        self._outstanding_by_id = {item.id: 0 for item in self.targets}
        self._errors_by_id = {item.id: 0 for item in self.targets}
        self._ejected_until_by_id = {item.id: 0.0 for item in self.targets}

    def choose(self, now: float) -> service_file.Target:
        """Returns the target with the fewest outstanding requests."""
        usable = [
            item
            for item in self.targets
            if self._ejected_until_by_id[item.id] <= now
        ]
        return min(
            usable or self.targets,
            key=lambda item: (
                self._outstanding_by_id[item.id],
                self._rng.random(),
            ),
        )

    def started(self, target: service_file.Target) -> None:
        """Counts the attempt."""
        self._outstanding_by_id[target.id] += 1

    def ended(
        self, target: service_file.Target, is_good: bool, now: float
    ) -> None:
        """Counts consecutive errors and ejects the target at the limit."""
        self._outstanding_by_id[target.id] -= 1
        if is_good:
            self._errors_by_id[target.id] = 0
            return
        self._errors_by_id[target.id] += 1
        if self._errors_by_id[target.id] >= _EJECT_AFTER_ERRORS:
            self._errors_by_id[target.id] = 0
            self._ejected_until_by_id[target.id] = now + _EJECT_S


BASELINES: dict[str, type[BaselineEntry]] = {
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
}
