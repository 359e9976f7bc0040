"""Watch on the manifest that a few processes of each region hold."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import manifest as manifests
from fuchsiacourse import members as member_table
from fuchsiacourse import rendezvous
from fuchsiacourse import retry_backoff
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_service

WATCHERS_PER_REGION = 3
WATCH_S = 30.0
POLL_S = 10.0
_POLL_JITTER = 0.2
# A watcher must see a publish soon after an outage; the few watchers can
# afford short waits.
_BACKOFF_MAX_S = 2.0
# Gossip needs this long to show a new process the others; until then it
# would take itself for the only watcher.
START_DELAY_S = 1.5

OnManifest = typing.Callable[[manifests.Manifest], None]


class ConfigWatch:
    """Watches and polls the manifest while this process is a watcher.

    The poll finds a change that a hung watch does not show.

    Args:
        clock: Source of time.
        timers: Runs the watch and the poll.
        rng: Source of jitter.
        members: Table of the fleet's members.
        store: Object API.
        on_manifest: Called with each manifest that is read.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        members: member_table.Members,
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
        self._handles: list[timer_service.TimerHandle] = []

    @property
    def is_watcher(self) -> bool:
        """Whether this process holds a watch for its region.

        Entries watch only where no dispatch process is alive.
        """
        own = self._members.self
        rows = self._members.alive(
            member_table.DISPATCH, region=own.region
        ) or self._members.alive(member_table.ENTRY, region=own.region)
        ids = {row.id for row in rows} or {own.id}
        order = rendezvous.ranked(f"manifest/{own.region}", ids)
        return own.id in order[:WATCHERS_PER_REGION]

    def start(self) -> None:
        """Starts to watch and to poll when this process is a watcher."""
        self._handles = [
            self._timers.spawn(self._watch()),
            self._timers.every(POLL_S, self._poll, jitter=_POLL_JITTER),
        ]

    def close(self) -> None:
        """Ends the watch and the poll."""
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
        if not self.is_watcher:
            return
        try:
            found = await self._store.get(manifests.KEY)
        except errors.StoreError as error:
            self._log_failed("poll", error)
            return
        if found is not None:
            self._on_object(found)

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
