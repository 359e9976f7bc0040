"""Follows the objects under a prefix of the platform's store."""

from __future__ import annotations

import abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import retry_backoff
from fuchsiacourse import store as stores

# Longest wait of a watch, in seconds; each watch is a priced call.
WATCH_S = 28.0
# Changes that follow each other within this time are read by one call, in
# seconds. Targets must be left within two seconds.
GATHER_S = 0.8
# Waits after a store that is not reached, in seconds: a cut that has healed
# is noticed within the second that the fronts have for it.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 0.4
# Wait after a store that turns calls away, in seconds; each call costs.
REFUSED_RETRY_S = 1.0


class StoreFollower(abc.ABC):
    """Keeps a copy of the objects under a prefix.

    Args:
        clock: Source of time.
        rng: Source of jitter.
        store: The platform's store.
        prefix: Prefix of the keys.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        store: stores.Store,
        prefix: str,
        log: typing.Any,
    ) -> None:
        self.clock = clock
        self.log = log
        self._store = store
        self._prefix = prefix
        self._backoff = retry_backoff.RetryBackoff(
            rng=rng, first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S
        )
        self._revision = 0
        # Monotonic time at which the store was lost, None while it is
        # reached.
        self.lost_at_s: float | None = None
        self.has_listed = False
        # Monotonic time since which the store is reached.
        self.reached_since_s = 0.0

    @property
    def is_current(self) -> bool:
        """Whether the copy follows the store now."""
        return self.has_listed and self.lost_at_s is None

    @abc.abstractmethod
    def listed(self, objects: list[stores.StoredObject]) -> None:
        """Takes over all objects."""

    @abc.abstractmethod
    def changed(self, item: stores.StoredObject) -> None:
        """Takes over one change."""

    def regained(self, away_s: float) -> None:
        """Called when the store is reached again.

        Args:
            away_s: Time for which it was not reached, in seconds.
        """

    async def run(self) -> None:
        """Follows the store until the task is cancelled."""
        while True:
            try:
                await self._step()
            except errors.StoreHistoryGone as error:
                logs.event(
                    self.log,
                    "store_history_gone",
                    prefix=self._prefix,
                    revision=self._revision,
                    error=str(error),
                )
                if self._revision == 0:
                    await self.clock.sleep(self._backoff.next())
                self._revision = 0
            except errors.StoreRefused as error:
                self._lost(error)
                await self.clock.sleep(REFUSED_RETRY_S)
            except errors.StoreError as error:
                self._lost(error)
                await self.clock.sleep(self._backoff.next())

    async def _step(self) -> None:
        after = self._revision
        batch = await self._store.watch(
            self._prefix, after_revision=after, timeout_s=WATCH_S
        )
        if batch.revision <= 0:
            # A watch could not go on from there, and a list is no wait.
            raise errors.StoreUnavailable("an answer without a revision")
        self._reached()
        self._revision = batch.revision
        if after == 0:
            self.listed(batch.objects)
            self.has_listed = True
            return
        for item in batch.objects:
            self.changed(item)
        if batch.objects:
            await self.clock.sleep(GATHER_S)

    def _reached(self) -> None:
        self._backoff.reset()
        if self.lost_at_s is None:
            return
        away_s = self.clock.now() - self.lost_at_s
        self.lost_at_s = None
        self.reached_since_s = self.clock.now()
        logs.event(
            self.log,
            "store_regained",
            prefix=self._prefix,
            away_s=round(away_s, 2),
        )
        self.regained(away_s)

    def _lost(self, error: errors.StoreError) -> None:
        if self.lost_at_s is not None:
            return
        self.lost_at_s = self.clock.now()
        logs.warning(
            self.log,
            "store_lost",
            prefix=self._prefix,
            revision=self._revision,
            error=str(error),
        )
