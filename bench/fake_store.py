"""In-memory store with the platform's rate limits and faults."""

from __future__ import annotations

import collections
import contextlib
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import platform_model
from fuchsiacourse import store
from fuchsiacourse import timers as timer_services

Result = typing.TypeVar("Result")


class FakeStore(store.Store):
    """One process's connection to the platform model.

    A call takes ``latency_s`` in each direction, with jitter, plus the
    delay injected at the platform before it takes effect. A call that
    exceeds the timeout fails at the client, but a write still takes effect
    later.

    Args:
        platform: Model that all processes of a run share.
        clock: Source of time.
        timers: Runs writes whose client has timed out.
        rng: Source of the latency's jitter.
        latency_s: Mean one-way latency in seconds.
        timeout_s: Seconds after which a call fails.
    """

    def __init__(
        self,
        *,
        platform: platform_model.PlatformModel,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        latency_s: float = 0.001,
        timeout_s: float = 2.0,
    ) -> None:
        self.platform = platform
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self.latency_s = latency_s
        self.timeout_s = timeout_s
        # Loss of messages in one direction between process and platform.
        self.loses_requests = False
        self.loses_replies = False
        self.calls_by_name: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> store.StoredObject | None:
        """Returns an object, or None if there is none."""
        return await self._read("get", lambda: self.platform.table.get(key))

    async def list(self, prefix: str) -> list[store.StoredObject]:
        """Returns all objects whose key starts with a prefix."""
        return await self._read(
            "list", lambda: self.platform.table.list(prefix)
        )

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version."""
        return await self._write(
            "put",
            lambda: self.platform.table.put(key, value, if_version=if_version),
        )

    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if there is none."""
        await self._write(
            "delete",
            lambda: self.platform.table.delete(key, if_version=if_version),
        )

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> store.WatchBatch:
        """Waits for changes after a revision."""
        await self._send("watch", timeout_s=timeout_s + self.timeout_s)
        self.platform.admit("watch", is_write=False)
        if self.platform.faults.hang_watches:
            await self._clock.sleep(timeout_s + self.timeout_s)
            raise errors.StoreUnavailable("watch: no reply in time")
        batch = await self.platform.wait_for_change(
            prefix, after_revision=after_revision, timeout_s=timeout_s
        )
        await self._receive("watch")
        return batch

    async def hosts(self) -> list[store.HostRecord]:
        """Returns the platform's list of live and leaving hosts; it lags."""
        return await self._read("hosts", self.platform.hosts)

    async def _read(
        self, name: str, operation: typing.Callable[[], Result]
    ) -> Result:
        await self._send(name, timeout_s=self.timeout_s)
        self.platform.admit(name, is_write=False)
        result = operation()
        await self._receive(name)
        return result

    async def _write(
        self, name: str, operation: typing.Callable[[], Result]
    ) -> Result:
        self._count(name)
        delay_s = self._latency() + self.platform.faults.delay_s
        if self.loses_requests:
            await self._clock.sleep(self.timeout_s)
            raise errors.StoreOutcomeUnknown(f"{name}: no reply in time")
        if delay_s > self.timeout_s:
            self._timers.spawn(self._late_write(name, delay_s, operation))
            await self._clock.sleep(self.timeout_s)
            raise errors.StoreOutcomeUnknown(f"{name}: no reply in time")
        await self._clock.sleep(delay_s)
        self.platform.admit(name, is_write=True)
        if self.platform.consume_reply_loss() or self.loses_replies:
            with contextlib.suppress(errors.StoreError):
                operation()
            await self._clock.sleep(self.timeout_s - delay_s)
            raise errors.StoreOutcomeUnknown(f"{name}: no reply in time")
        result = operation()
        await self._clock.sleep(self._latency())
        return result

    async def _late_write(
        self,
        name: str,
        delay_s: float,
        operation: typing.Callable[[], typing.Any],
    ) -> None:
        await self._clock.sleep(delay_s)
        with contextlib.suppress(errors.StoreError):
            self.platform.admit(name, is_write=True)
            operation()

    async def _send(self, name: str, *, timeout_s: float) -> None:
        self._count(name)
        delay_s = self._latency() + self.platform.faults.delay_s
        if self.loses_requests or delay_s > timeout_s:
            await self._clock.sleep(timeout_s)
            raise errors.StoreUnavailable(f"{name}: no reply in time")
        await self._clock.sleep(delay_s)

    async def _receive(self, name: str) -> None:
        if self.loses_replies:
            await self._clock.sleep(self.timeout_s)
            raise errors.StoreUnavailable(f"{name}: no reply in time")
        await self._clock.sleep(self._latency())

    def _count(self, name: str) -> None:
        self.calls_by_name[name] += 1

    def _latency(self) -> float:
        return self.latency_s * self._rng.uniform(0.5, 1.5)
