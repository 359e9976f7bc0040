"""Watch and poll of the manifest by a few processes of each region."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import manifest as manifests
from fuchsiacourse import members as member_tables
from fuchsiacourse import rendezvous
from fuchsiacourse import retry_backoff
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

WATCHERS_PER_REGION = 3
WATCH_S = 30.0
POLL_S = 10.0
# Turns that are due within this many seconds are skipped.
_TURN_MIN_S = 0.5
# Longest back-off of the watch in seconds. Short, because watchers are few
# and must see a publish soon after an outage.
_BACKOFF_MAX_S = 2.0
# Seconds until gossip has told a new process of the other members; before
# that it would consider itself the only watcher. Also the interval at which
# the other processes check whether they have become watchers.
START_DELAY_S = 1.5

OnManifest = typing.Callable[[manifests.Manifest], None]


class ConfigWatch:
    """Watches and polls the manifest while this process is a watcher.

    The poll detects a change that a hung watch misses. The watchers of a
    region poll in turns by their wall clocks, so that a region reads the
    manifest every POLL_S / WATCHERS_PER_REGION seconds.

    Args:
        clock: Source of time.
        timers: Runs the watch and the poll.
        rng: Source of jitter.
        members: Table of the fleet's members.
        store: Client of the platform's object API.
        on_manifest: Called with each manifest read.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        store: stores.Store,
        on_manifest: OnManifest,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._members = members
        self._store = store
        self._on_manifest = on_manifest
        self._log = log
        # Turn of a watcher without others. It is random, because many
        # processes may be isolated at once and each considers itself the
        # only watcher.
        self._random_turn_s = rng.uniform(0.0, POLL_S)
        self._handles: list[timer_services.TimerHandle] = []

    @property
    def is_watcher(self) -> bool:
        """Whether this process is a watcher of its region.

        Entries are watchers only in regions without a dispatch process
        that is alive.
        """
        return self._members.self.id in self._watchers()

    def _watchers(self) -> list[str]:
        own = self._members.self
        rows = self._members.alive(
            member_tables.DISPATCH, region=own.region
        ) or self._members.alive(member_tables.ENTRY, region=own.region)
        ids = {row.id for row in rows} or {own.id}
        order = rendezvous.ranked(f"manifest/{own.region}", ids)
        return order[:WATCHERS_PER_REGION]

    def start(self) -> None:
        """Starts the watch and the poll; both idle while not a watcher."""
        self._handles = [
            self._timers.spawn(self._watch()),
            self._timers.spawn(self._poll()),
        ]

    def close(self) -> None:
        """Stops the watch and the poll."""
        for handle in self._handles:
            handle.cancel()
        self._handles = []

    async def _watch(self) -> None:
        backoff = retry_backoff.RetryBackoff(
            rng=self._rng, max_s=_BACKOFF_MAX_S
        )
        revision = 0
        await self._clock.sleep(START_DELAY_S * self._rng.uniform(0.5, 1.0))
        while True:
            if not self.is_watcher:
                await self._clock.sleep(START_DELAY_S)
                continue
            try:
                batch = await self._store.watch(
                    manifests.KEY, after_revision=revision, timeout_s=WATCH_S
                )
            except errors.StoreError as error:
                self._log_failed("watch", error)
                await self._clock.sleep(backoff.next())
                continue
            backoff.reset()
            revision = batch.revision
            for item in batch.objects:
                self._on_object(item)

    async def _poll(self) -> None:
        while True:
            await self._clock.sleep(self._poll_delay_s())
            if not self.is_watcher:
                continue
            try:
                found = await self._store.get(manifests.KEY)
            except errors.StoreError as error:
                self._log_failed("poll", error)
                continue
            if found is not None:
                self._on_object(found)

    def _poll_delay_s(self) -> float:
        """Returns the seconds until this process's next poll."""
        own_id = self._members.self.id
        watchers = self._watchers()
        turn_s = self._random_turn_s
        if own_id in watchers and len(watchers) > 1:
            turn_s = watchers.index(own_id) * POLL_S / WATCHERS_PER_REGION
        wait_s = (turn_s - self._clock.wall()) % POLL_S
        # A timer that fired just before the turn must not poll twice.
        return wait_s if wait_s > _TURN_MIN_S else wait_s + POLL_S

    def _on_object(self, item: stores.StoredObject) -> None:
        if item.key != manifests.KEY or item.deleted:
            return
        try:
            found = manifests.decode(item.value, source=manifests.KEY)
        except errors.ServiceFileError as error:
            self._log_failed("manifest", error)
            return
        self._on_manifest(found)

    def _log_failed(self, call: str, error: Exception) -> None:
        logs.event(
            self._log, "config_watch_failed", call=call, reason=str(error)
        )
