"""Model of the platform's object API with its rate limits and faults.

Shared by the stub program and the benches' in-memory store, so that both
behave the same.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import object_table
from fuchsiacourse import store

# Rate limits of the platform: several hundred writes and about two thousand
# reads a second.
WRITES_PER_S = 300.0
READS_PER_S = 2_000.0
HOST_LAG_S = 2.0

HostKey = tuple[str, str]


class Faults:
    """Faults to inject.

    Args:
        outage: Whether every call is refused.
        delay_s: Seconds by which each call is delayed.
        lose_write_replies: Number of next writes that take effect but
            whose reply is lost.
        hang_watches: Whether watches hang until the client's timeout.
    """

    __slots__ = ("outage", "delay_s", "lose_write_replies", "hang_watches")

    def __init__(
        self,
        *,
        outage: bool = False,
        delay_s: float = 0.0,
        lose_write_replies: int = 0,
        hang_watches: bool = False,
    ) -> None:
        self.outage = outage
        self.delay_s = delay_s
        self.lose_write_replies = lose_write_replies
        self.hang_watches = hang_watches


class CallRateLimiter:
    """Token bucket with a capacity of one second's calls.

    Args:
        calls_per_s: Refill rate in calls per second.
    """

    __slots__ = ("calls_per_s", "_tokens", "_filled_s")

    def __init__(self, *, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._filled_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Takes a token for one call; returns False if there is none."""
        if self._filled_s is not None:
            gained = (now_s - self._filled_s) * self.calls_per_s
            self._tokens = min(self.calls_per_s, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PlatformModel:
    """Holds objects and hosts behind rate limits, with faults on demand.

    Args:
        clock: Source of time.
        writes_per_s: Limit on put and delete calls per second.
        reads_per_s: Limit on all other calls per second; a watch counts
            once.
        host_lag_s: Age of the returned host list in seconds.
        history_limit: Number of past changes that a watch can replay.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
        host_lag_s: float = HOST_LAG_S,
        history_limit: int = object_table.DEFAULT_HISTORY_LIMIT,
    ) -> None:
        self._clock = clock
        self.table = object_table.ObjectTable(history_limit=history_limit)
        self.faults = Faults()
        self.calls_by_name: collections.Counter[str] = collections.Counter()
        self.limited_calls = 0
        self._write_rate = CallRateLimiter(calls_per_s=writes_per_s)
        self._read_rate = CallRateLimiter(calls_per_s=reads_per_s)
        self._host_lag_s = host_lag_s
        self._hosts_by_key: dict[HostKey, store.HostRecord] = {}
        self._host_changes: collections.deque[
            tuple[float, HostKey, store.HostRecord | None]
        ] = collections.deque()

    def admit(self, name: str, *, is_write: bool) -> None:
        """Counts a call and checks it against the outage and rate limits.

        Args:
            name: Name of the call.
            is_write: Whether the write limit applies.

        Raises:
            StoreUnavailable: There is an outage.
            StoreRateLimited: The rate limit is exhausted.
        """
        self.calls_by_name[name] += 1
        if self.faults.outage:
            raise errors.StoreUnavailable("the platform has an outage")
        rate = self._write_rate if is_write else self._read_rate
        if not rate.take(self._clock.now()):
            self.limited_calls += 1
            raise errors.StoreRateLimited(
                f"{name}: above {rate.calls_per_s:g} calls per second"
            )

    def consume_reply_loss(self) -> bool:
        """Consumes one pending reply loss; returns whether there was one."""
        if self.faults.lose_write_replies <= 0:
            return False
        self.faults.lose_write_replies -= 1
        return True

    async def wait_for_change(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> store.WatchBatch:
        """Returns the changes after a revision once there are any.

        Args:
            prefix: Prefix of the keys to watch.
            after_revision: Last revision that the watcher has seen.
            timeout_s: Seconds after which an empty batch is returned.
        """
        batch = self.table.changes(prefix, after_revision)
        if batch.objects or timeout_s <= 0:
            return batch
        changed = asyncio.Event()
        waiter_id = self.table.add_waiter(prefix, changed.set)
        try:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), timeout_s)
        finally:
            self.table.remove_waiter(waiter_id)
        return self.table.changes(prefix, after_revision)

    def set_host(
        self, record: store.HostRecord, *, lag_s: float | None = None
    ) -> None:
        """Adds or replaces a host; the list shows it after the lag.

        Args:
            record: Item of the list, identified by host and address.
            lag_s: Seconds until it is visible; None for the default lag.
        """
        self._change_host((record.host, record.address), record, lag_s)

    def remove_host(self, host: str, address: str = "") -> None:
        """Removes a host from the list after the lag."""
        self._change_host((host, address), None, None)

    def hosts(self) -> list[store.HostRecord]:
        """Returns the host list as it was before the lag."""
        now_s = self._clock.now()
        while self._host_changes and self._host_changes[0][0] <= now_s:
            _, key, record = self._host_changes.popleft()
            self._hosts_by_key.pop(key, None)
            if record is not None:
                self._hosts_by_key[key] = record
        return list(self._hosts_by_key.values())

    def summary(self) -> dict[str, typing.Any]:
        """Returns the active faults and the call counts as JSON values."""
        return {
            "outage": self.faults.outage,
            "delay_s": self.faults.delay_s,
            "lose_write_replies": self.faults.lose_write_replies,
            "hang_watches": self.faults.hang_watches,
            "calls": dict(self.calls_by_name),
            "limited_calls": self.limited_calls,
            "revision": self.table.revision,
        }

    def _change_host(
        self,
        key: HostKey,
        record: store.HostRecord | None,
        lag_s: float | None,
    ) -> None:
        lag = self._host_lag_s if lag_s is None else lag_s
        due_s = self._clock.now() + lag
        if self._host_changes:
            due_s = max(due_s, self._host_changes[-1][0])
        if lag <= 0 and not self._host_changes:
            due_s = float("-inf")
        self._host_changes.append((due_s, key, record))
