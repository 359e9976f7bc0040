"""Follows the objects under a prefix of the platform's store.

The changes come from a watch of the store, or from a front of the zone that
watches.
"""

from __future__ import annotations

import abc
import asyncio
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import store_relay
from fuchsiacourse import logs
from fuchsiacourse import retry_backoff
from fuchsiacourse import store as stores

# Longest wait of a watch, in seconds; each watch is a priced call.
WATCH_S = 28.0
# Wait of a watch that only shows whether the store is back, in seconds.
CHECK_S = 0.001
# Changes that follow each other within this time are read by one call, in
# seconds. Targets must be left within two seconds.
GATHER_S = 0.8
# Waits after a store that is not reached, in seconds: a cut that has healed
# is noticed within the second that the fronts have for it.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 0.4
# Wait after a store that turns calls away, in seconds; each call costs.
REFUSED_RETRY_S = 1.0
# Least wait of a front that hears from others of its zone when the store is
# back, in seconds.
PATIENT_RETRY_S = 1.5


class StoreFollower(store_relay.CopyFollower):
    """Keeps a copy of the objects under a prefix.

    Args:
        clock: Source of time.
        rng: Source of jitter.
        store: The platform's store.
        prefix: Prefix of the keys.
        relay: Tells where the copy comes from.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        store: stores.Store,
        prefix: str,
        relay: store_relay.StoreRelay,
        log: typing.Any,
    ) -> None:
        self.clock = clock
        self.log = log
        self._store = store
        self.prefix = prefix
        self.copy = object_copy.ObjectCopy()
        self._relay = relay
        self._news = asyncio.Event()
        self._watching: asyncio.Task[stores.WatchBatch] | None = None
        self._backoff = retry_backoff.RetryBackoff(
            rng=rng, first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S
        )
        # Monotonic time at which the store was lost, None while it is
        # reached.
        self.lost_at_s: float | None = None
        self.has_snapshot = False
        # Whether the changes since the copy are no longer known.
        self._must_list = False
        # Monotonic time since which the copy may lack changes, None while
        # the store or a front in contact with it says that it has all.
        self._unsure_at_s: float | None = clock.now()
        # Monotonic time at which the present watch was opened, None without
        # one.
        self._watch_at_s: float | None = None
        # Set to give up the watch that is waiting.
        self._gives_up = False
        # Monotonic time since which the store is reached.
        self.reached_since_s = 0.0

    @property
    def is_following(self) -> bool:
        """Whether the copy follows the store now."""
        is_reached = self.lost_at_s is None and self._relay.has_store_contact
        return self.has_snapshot and (
            is_reached or self._relay.is_contact_confirmed
        )

    @property
    def is_up_to_date(self) -> bool:
        """Whether the copy is known to have all changes."""
        return (
            self.is_following
            and not self.stale_s
            and not self._relay.has_paused
        )

    @property
    def unreachable_s(self) -> float:
        """Seconds since the store was lost, 0 while it is reached."""
        if self.lost_at_s is None:
            return 0.0
        return max(self.clock.now() - self.lost_at_s, 1e-9)

    @property
    def stale_s(self) -> float:
        """Seconds since the copy may lack changes, 0 if it has all."""
        if self._unsure_at_s is None:
            return 0.0
        return max(self.clock.now() - self._unsure_at_s, 1e-9)

    @property
    def waited_s(self) -> float:
        """Seconds for which the present watch has waited, 0 without one."""
        if self._watch_at_s is None:
            return 0.0
        return self.clock.now() - self._watch_at_s

    @abc.abstractmethod
    def apply_snapshot(self, objects: list[stores.StoredObject]) -> None:
        """Takes over all objects."""

    @abc.abstractmethod
    def apply_change(self, item: stores.StoredObject) -> None:
        """Takes over one change."""

    def on_store_regained(self, away_s: float) -> None:
        """Called when the store is reached again.

        Args:
            away_s: Time for which it was not reached, in seconds.
        """

    def wake(self) -> None:
        """Looks for the source of the copy again."""
        self._news.set()

    def on_contact_confirmed(self) -> None:
        """Notes that a front of the zone vouches for the store."""
        if self.has_snapshot:
            self._reached()
            if self._relay.source_of(self) is None:
                self._unsure_at_s = None

    def mark_stale(self) -> None:
        """Gives up the watch; the copy may lack changes."""
        self._note_unsure()
        self._gives_up = True
        self.wake()

    def cancel_watch(self) -> None:
        """Gives up the watch that is waiting."""
        if self._watching is not None:
            self._watching.cancel()

    async def run(self) -> None:
        """Follows the store until the task is cancelled."""
        while True:
            self._news.clear()
            front = self._relay.source_of(self)
            if front is not None:
                await self._copy_from(front)
            elif self._relay.watches or not self.has_snapshot:
                await self._follow()
            else:
                await self._news.wait()

    async def _copy_from(self, front: str) -> None:
        part = await self._relay.fetch(front, self)
        if part is None:
            return
        if self._relay.is_contact_confirmed:
            # First, because registrations that have lapsed in an outage are
            # kept for a while after it.
            self._reached()
            self._unsure_at_s = None
        logs.event(
            self.log,
            "copy_taken",
            prefix=self.prefix,
            front=front,
            before=self.copy.revision,
            revision=part.revision,
            objects=len(part.objects),
            whole=part.is_snapshot,
        )
        if part.is_snapshot:
            self._take_all(part.revision, part.objects)
        else:
            self._take_changes(part.revision, part.objects)

    async def _follow(self) -> None:
        try:
            await self._step()
        except errors.StoreHistoryGone as error:
            logs.event(
                self.log,
                "store_history_gone",
                prefix=self.prefix,
                revision=self.copy.revision,
                error=str(error),
            )
            self._note_unsure()
            if not self._must_list:
                self._must_list = True
                return
            await self._wait(self._backoff.next())
        except errors.StoreRefused as error:
            self._lost(error)
            await self._wait(self._patient(REFUSED_RETRY_S))
        except errors.StoreError as error:
            self._lost(error)
            await self._wait(self._patient(self._backoff.next()))

    async def _step(self) -> None:
        after = 0 if self._must_list else self.copy.revision
        # A store that was lost is asked for its changes until now: a watch
        # without changes would not show for long that it is back, nor that
        # a list was old or that an answer was lost.
        is_lost = self.lost_at_s is not None
        is_check = is_lost or self._unsure_at_s is not None
        opened_s = self.clock.now()
        batch = await self._watch(after, CHECK_S if is_check else WATCH_S)
        if batch is None:
            return
        if batch.revision <= 0:
            # A watch could not go on from there, and a list is no wait.
            raise errors.StoreUnavailable("an answer without a revision")
        if is_lost:
            self._relay.on_store_regained()
        self._reached()
        if after == 0:
            self._must_list = False
            self._take_all(batch.revision, batch.objects)
            return
        if self._unsure_at_s is None or self._unsure_at_s <= opened_s:
            # The store has said so since the doubt.
            self._unsure_at_s = None
        self._take_changes(batch.revision, batch.objects)
        if batch.objects and not self.stale_s:
            await self.clock.sleep(GATHER_S)

    async def _watch(
        self, after: int, timeout_s: float
    ) -> stores.WatchBatch | None:
        """Returns changes; None if the watch was given up."""
        self._gives_up = False
        self._watch_at_s = self.clock.now()
        self._watching = asyncio.ensure_future(
            self._store.watch(
                self.prefix, after_revision=after, timeout_s=timeout_s
            )
        )
        if timeout_s > CHECK_S:
            self._relay.on_watch_opened()
        news = asyncio.ensure_future(self._turned_away())
        try:
            await asyncio.wait(
                (self._watching, news), return_when=asyncio.FIRST_COMPLETED
            )
            if self._watching.done() and self._watching.cancelled():
                raise errors.StoreUnavailable("the store is silent")
            return self._watching.result() if self._watching.done() else None
        finally:
            news.cancel()
            self._watching.cancel()
            self._watching = None
            self._watch_at_s = None

    async def _turned_away(self) -> None:
        """Returns when the watch is to be given up."""
        while (
            not self._gives_up
            and (not self.has_snapshot or self._relay.watches)
            and self._relay.source_of(self) is None
        ):
            await self._news.wait()
            self._news.clear()

    def _patient(self, delay_s: float) -> float:
        if (
            self._relay.is_recovery_prober
            or self.unreachable_s < PATIENT_RETRY_S
        ):
            return delay_s
        return PATIENT_RETRY_S + delay_s

    async def _wait(self, delay_s: float) -> None:
        """Waits for a time, or until the copy may come from elsewhere."""
        if not self._news.is_set():
            sleeping = asyncio.ensure_future(self.clock.sleep(delay_s))
            news = asyncio.ensure_future(self._news.wait())
            try:
                await asyncio.wait(
                    (sleeping, news), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                sleeping.cancel()
                news.cancel()

    def _take_all(
        self, revision: int, objects: list[stores.StoredObject]
    ) -> None:
        self.copy.replace(revision, objects)
        self.apply_snapshot(objects)
        self.has_snapshot = True
        self._relay.on_copy_changed()

    def _take_changes(
        self, revision: int, objects: list[stores.StoredObject]
    ) -> None:
        self.copy.update(revision, objects)
        for item in objects:
            self.apply_change(item)
        if objects:
            self._relay.on_copy_changed()

    def _note_unsure(self) -> None:
        if self._unsure_at_s is None:
            self._unsure_at_s = self.clock.now()

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
            prefix=self.prefix,
            away_s=round(away_s, 2),
        )
        self.on_store_regained(away_s)

    def _lost(self, error: errors.StoreError) -> None:
        if self.lost_at_s is not None:
            if self.unreachable_s > store_relay.MAX_CONTACT_GAP_S:
                self._relay.on_store_lost()
            return
        self.lost_at_s = self.clock.now()
        logs.warning(
            self.log,
            "store_lost",
            prefix=self.prefix,
            revision=self.copy.revision,
            error=str(error),
        )
