"""Keeps a copy of the objects under a prefix of the platform's store.

The changes come from a watch of the store, or from a peer of the zone that
watches it.
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

# Longest wait of a watch, in seconds. Each watch is a priced call.
WATCH_TIMEOUT_S = 28.0
# Wait of a watch that only polls for the changes so far, in seconds.
POLL_TIMEOUT_S = 0.001
# Delay between a change and the next watch, in seconds, so that one call reads
# several changes. It must stay well below two seconds, the time within which a
# leaving target must be out of use.
COALESCE_S = 0.8
# Back-off while the store is unreachable, in seconds. The fronts must notice
# within one second that it is reachable again.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 0.4
# Back-off while the store refuses calls, in seconds. Refused calls are priced
# too.
REFUSED_RETRY_S = 1.0
# Delay after an unexpected failure of the follower itself, in seconds.
FAILURE_RETRY_S = 0.5
# Additional back-off of a front that learns from its peers when the store is
# reachable again, in seconds. It applies once an outage has lasted this long.
NON_PROBER_RETRY_S = 1.5


class StoreFollower(store_relay.CopyFollower):
    """Keeps a copy of the objects under a prefix up to date.

    Attributes:
        copy: Copy of the objects.
        has_snapshot: Whether the copy was ever filled from a snapshot.
        reached_since_s: Monotonic time at which the store was last found
            reachable again, in seconds; 0 if it was never lost.
        failure_count: Number of unexpected failures of the follower.
        has_failed: Whether no copy was taken since the last of them.

    Args:
        clock: Source of time.
        rng: Random number generator for jitter.
        store: The platform's store.
        prefix: Prefix of the keys.
        relay: Decides whether the copy follows the store or a peer.
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
        # Set when the source of the copy may have changed.
        self._wakeup = asyncio.Event()
        self._watch_task: asyncio.Task[stores.WatchBatch] | None = None
        self._backoff = retry_backoff.RetryBackoff(
            rng=rng, first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S
        )
        # Monotonic time at which the store became unreachable, None while
        # it is reached.
        self.unreachable_since_s: float | None = None
        self.has_snapshot = False
        # Whether the store has dropped changes since the copy's revision.
        self._needs_snapshot = False
        # Monotonic time since which the copy may lack changes, None while the
        # store, or a peer in contact with it, confirms that the copy is up to
        # date.
        self._stale_since_s: float | None = clock.now()
        # Monotonic time at which the open watch started, None without one.
        self._watch_opened_s: float | None = None
        # Whether the open watch is to be given up without a result.
        self._gives_up_watch = False
        self.reached_since_s = 0.0
        self.failure_count = 0
        self.has_failed = False

    @property
    def is_following(self) -> bool:
        """Whether the copy follows the store, directly or through a peer."""
        is_reached = (
            self.unreachable_since_s is None and self._relay.has_store_contact
        )
        return self.has_snapshot and (
            is_reached or self._relay.has_proven_peer
        )

    @property
    def is_up_to_date(self) -> bool:
        """Whether the copy is known to have all changes of the store."""
        return (
            self.is_following
            and not self.stale_s
            and not self._relay.has_paused
        )

    @property
    def unreachable_s(self) -> float:
        """Seconds since the store became unreachable, 0 if it is reached."""
        if self.unreachable_since_s is None:
            return 0.0
        return max(self.clock.now() - self.unreachable_since_s, 1e-9)

    @property
    def stale_s(self) -> float:
        """Seconds for which the copy may be stale, 0 if it is up to date."""
        if self._stale_since_s is None:
            return 0.0
        return max(self.clock.now() - self._stale_since_s, 1e-9)

    @property
    def waited_s(self) -> float:
        """Seconds for which the open watch has waited, 0 without one."""
        if self._watch_opened_s is None:
            return 0.0
        return self.clock.now() - self._watch_opened_s

    @abc.abstractmethod
    def apply_snapshot(self, objects: list[stores.StoredObject]) -> None:
        """Applies a snapshot: all objects under the prefix."""

    @abc.abstractmethod
    def apply_change(self, item: stores.StoredObject) -> None:
        """Applies one changed or deleted object."""

    def on_store_regained(self, away_s: float) -> None:
        """Called when the store is reachable again.

        Args:
            away_s: Time for which it was unreachable, in seconds.
        """

    def on_store_restored(self) -> None:
        """Called before the first snapshot of another era is applied.

        Revisions that are known from before have no meaning any more.
        """

    def wake(self) -> None:
        """Makes the follower choose the source of its copy again."""
        self._wakeup.set()

    def on_contact_confirmed(self) -> None:
        """Records that a peer of the zone has contact with the store."""
        if self.has_snapshot:
            self._record_reached("peers")
            if self._relay.source_of(self) is None:
                self._stale_since_s = None

    def mark_stale(self) -> None:
        """Marks the copy as possibly stale and gives up the open watch."""
        self._record_stale()
        self._gives_up_watch = True
        self.wake()

    def cancel_watch(self) -> None:
        """Cancels the open watch because the store does not answer."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    def retry_now(self) -> None:
        """Calls a lost store again at once, in place of an open call.

        The store has answered another call, so one that it had not answered
        before may be lost.
        """
        if self.unreachable_since_s is None:
            return
        self._gives_up_watch = True
        self.wake()

    async def run(self) -> None:
        """Follows the store, or a peer, until the task is cancelled."""
        while True:
            self._wakeup.clear()
            try:
                await self._follow()
                if self.copy.revision:
                    self.has_failed = False
            except Exception as error:
                # A follower that has ended would leave the front with an old
                # copy for good.
                self.failure_count += 1
                self.has_failed = True
                logs.warning(
                    self.log,
                    "store_follower_failed",
                    prefix=self.prefix,
                    revision=self.copy.revision,
                    error=repr(error),
                    exc_info=True,
                )
                # Part of the changes may not have been applied, so the next
                # ones are a snapshot of the same history.
                era, self.copy = self.copy.era, object_copy.ObjectCopy()
                self.copy.era = era
                self._record_stale()
                await self.clock.sleep(FAILURE_RETRY_S)

    async def _follow(self) -> None:
        """Takes the next changes from the store or a peer, or waits."""
        peer_ip = self._relay.source_of(self)
        if peer_ip is not None:
            await self._copy_from(peer_ip)
        elif self._relay.watches or (
            not self.has_snapshot and self._relay.may_read_store
        ):
            await self._follow_store()
        else:
            await self._wakeup.wait()

    async def _copy_from(self, peer_ip: str) -> None:
        update = await self._relay.fetch(peer_ip, self)
        if update is None:
            return
        if self._relay.has_proven_peer:
            # This must precede the update, because it starts the grace time
            # in which registrations that lapsed in an outage are kept.
            self._record_reached(peer_ip)
            self._stale_since_s = None
        logs.event(
            self.log,
            "copy_taken",
            prefix=self.prefix,
            front=peer_ip,
            before=self.copy.revision,
            revision=update.revision,
            era=update.era,
            objects=len(update.objects),
            whole=update.is_snapshot,
        )
        if update.is_snapshot:
            self._replace_copy(update.revision, update.objects, update.era)
        else:
            self._update_copy(update.revision, update.objects)

    async def _follow_store(self) -> None:
        called_s = self.clock.now()
        try:
            await self._watch_once()
        except errors.StoreHistoryGone as error:
            logs.event(
                self.log,
                "store_history_gone",
                prefix=self.prefix,
                revision=self.copy.revision,
                error=str(error),
            )
            self._record_stale()
            if not self._needs_snapshot:
                self._needs_snapshot = True
                return
            await self._wait(self._backoff.next())
        except errors.StoreRefused as error:
            self._record_lost(error, called_s)
            await self._wait(self._retry_delay_s(REFUSED_RETRY_S))
        except errors.StoreError as error:
            self._record_lost(error, called_s)
            await self._wait(self._retry_delay_s(self._backoff.next()))

    async def _watch_once(self) -> None:
        is_other_era = self.copy.era < self._relay.store_era
        needs_snapshot = self._needs_snapshot or is_other_era
        after = 0 if needs_snapshot else self.copy.revision
        # If the store was unreachable or the copy may be stale, polls for the
        # changes so far. A watch without changes would take long to show that
        # the store is back, that a snapshot was old or that an answer was
        # lost.
        is_lost = self.unreachable_since_s is not None
        is_poll = is_lost or self._stale_since_s is not None
        opened_s = self.clock.now()
        batch = await self._watch(
            after, POLL_TIMEOUT_S if is_poll else WATCH_TIMEOUT_S
        )
        if batch is None:
            return
        self._relay.observe_era(batch.era)
        if batch.revision <= 0:
            # A watch can't continue from there, and reading a snapshot again
            # doesn't wait, so the loop would spin without a back-off.
            raise errors.StoreUnavailable(
                "the store answered a watch without a positive revision"
            )
        if batch.era < self.copy.era:
            raise errors.StoreUnavailable(
                f"answer of era {batch.era}, after era {self.copy.era}"
            )
        if after and batch.era != self.copy.era:
            # The revision that the watch started from belongs to a history
            # that the store has lost.
            self._record_stale()
            self._needs_snapshot = True
            return
        if is_lost:
            self._relay.on_store_regained()
        self._record_reached("store")
        if after == 0:
            self._needs_snapshot = False
            self._replace_copy(batch.revision, batch.objects, batch.era)
            return
        if self._stale_since_s is None or self._stale_since_s <= opened_s:
            # The store has answered a watch that was opened after the copy
            # was marked as stale.
            self._stale_since_s = None
        self._update_copy(batch.revision, batch.objects)
        if batch.objects and not self.stale_s:
            await self.clock.sleep(COALESCE_S)

    async def _watch(
        self, after: int, timeout_s: float
    ) -> stores.WatchBatch | None:
        """Watches the store once.

        Returns:
            The changes, None if the watch was given up.

        Raises:
            StoreUnavailable: The relay has cancelled the watch.
            StoreError: The watch failed.
        """
        self._gives_up_watch = False
        self._watch_opened_s = self.clock.now()
        self._watch_task = asyncio.ensure_future(
            self._store.watch(
                self.prefix, after_revision=after, timeout_s=timeout_s
            )
        )
        if timeout_s > POLL_TIMEOUT_S:
            self._relay.on_watch_opened()
        given_up = asyncio.ensure_future(self._until_given_up())
        try:
            await asyncio.wait(
                (self._watch_task, given_up),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._watch_task.done() and self._watch_task.cancelled():
                raise errors.StoreUnavailable(
                    "the watch was cancelled because the store did not answer"
                    " a ping"
                )
            return (
                self._watch_task.result() if self._watch_task.done() else None
            )
        finally:
            given_up.cancel()
            self._watch_task.cancel()
            self._watch_task = None
            self._watch_opened_s = None

    async def _until_given_up(self) -> None:
        """Returns when the open watch is to be given up."""
        while (
            not self._gives_up_watch
            and (not self.has_snapshot or self._relay.watches)
            and self._relay.source_of(self) is None
        ):
            await self._wakeup.wait()
            self._wakeup.clear()

    def _retry_delay_s(self, delay_s: float) -> float:
        if (
            self._relay.is_recovery_poller
            or self.unreachable_s < NON_PROBER_RETRY_S
        ):
            return delay_s
        return NON_PROBER_RETRY_S + delay_s

    async def _wait(self, delay_s: float) -> None:
        """Waits for a delay, or until the source of the copy may change."""
        if not self._wakeup.is_set():
            sleeping = asyncio.ensure_future(self.clock.sleep(delay_s))
            wakeup = asyncio.ensure_future(self._wakeup.wait())
            try:
                await asyncio.wait(
                    (sleeping, wakeup), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                sleeping.cancel()
                wakeup.cancel()

    def _replace_copy(
        self, revision: int, objects: list[stores.StoredObject], era: int
    ) -> None:
        is_restored = self.has_snapshot and era != self.copy.era
        self.copy.replace(revision, objects, era=era)
        if is_restored:
            self.on_store_restored()
        self.apply_snapshot(objects)
        self.has_snapshot = True
        self._relay.on_copy_changed()

    def _update_copy(
        self, revision: int, objects: list[stores.StoredObject]
    ) -> None:
        self.copy.update(revision, objects)
        for item in objects:
            self.apply_change(item)
        if objects:
            self._relay.on_copy_changed()

    def _record_stale(self) -> None:
        if self._stale_since_s is None:
            self._stale_since_s = self.clock.now()

    def _record_reached(self, source: str) -> None:
        """Records contact with the store.

        Args:
            source: Who has proven it, for the log: ``store``, ``peers`` or the
                IP address of a peer.
        """
        self._backoff.reset()
        if self.unreachable_since_s is None:
            return
        away_s = self.clock.now() - self.unreachable_since_s
        self.unreachable_since_s = None
        self.reached_since_s = self.clock.now()
        logs.event(
            self.log,
            "store_regained",
            prefix=self.prefix,
            away_s=round(away_s, 2),
            source=source,
        )
        self.on_store_regained(away_s)

    def _record_lost(self, error: errors.StoreError, called_s: float) -> None:
        if self.unreachable_since_s is not None:
            if self.unreachable_s > store_relay.MAX_CONTACT_GAP_S:
                self._relay.on_store_lost()
            return
        self.unreachable_since_s = self.clock.now()
        logs.warning(
            self.log,
            "store_lost",
            prefix=self.prefix,
            revision=self.copy.revision,
            waited_s=round(self.clock.now() - called_s, 2),
            error=str(error),
        )
