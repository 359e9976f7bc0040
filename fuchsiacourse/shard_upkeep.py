"""Periodic work on the shards: probes, host list and ejection."""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import prober
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import shard_runner
from fuchsiacourse import store as stores
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

_EJECTION_INTERVAL_S = 0.25
_QUARANTINE_INTERVAL_S = 1.0
_HOSTS_INTERVAL_S = 2.0

ShardKey = tuple[str, str]
Runners = collections.abc.Callable[[], list[shard_runner.ShardRunner]]


class ShardUpkeep:
    """Runs the timers of the shards that this process owns.

    Args:
        settings: Settings of dispatch.
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of the jitter.
        self_id: Own member identifier.
        target_client: Port to the targets.
        store: Port to the platform's object API.
        invariants: Receives the checks.
        log: Logger.
        new_health: Makes the health of a shard; if it is given, no
            ejection and no quarantine take place.
    """

    def __init__(
        self,
        *,
        settings: settings_files.DispatchSettings,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        self_id: str,
        target_client: target_clients.TargetClient,
        store: stores.Store,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        new_health: typing.Callable[[shards.Shard], typing.Any] | None,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._store = store
        self._log = log
        self._new_health = new_health
        self._quarantines_by_service: dict[str, typing.Any] = {}
        self._prober = prober.Prober(
            interval_s=settings.probe_interval_s,
            clock=clock,
            timers=timers,
            rng=rng,
            target_client=target_client,
            on_crash=self._crashed,
        )
        self._runners: Runners = list

    def start(self, runners: Runners) -> None:
        """Starts the timers.

        Args:
            runners: Returns the runners of the owned shards.
        """
        self._runners = runners
        self._timers.every(
            prober.TICK_S, lambda: self._prober.run_due(runners())
        )
        self._timers.every(_HOSTS_INTERVAL_S, self._read_hosts, jitter=0.1)

    def health_of(self, shard: shards.Shard) -> typing.Any:
        """Makes the health of a shard."""
        return self._new_health(shard)

    def added(self, runner: shard_runner.ShardRunner) -> None:
        """Takes over a shard."""

    def dropped(self, runner: shard_runner.ShardRunner) -> None:
        """Forgets a shard."""
        self._prober.forget(runner)

    def is_quarantined(self, service: str, fingerprint: str) -> bool:
        """Whether requests with a fingerprint are refused."""
        quarantine = self._quarantines_by_service.get(service)
        return quarantine is not None and quarantine.is_quarantined(
            fingerprint
        )

    def connection_lost(
        self,
        key: ShardKey,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
    ) -> None:
        """Notes an attempt whose connection was lost."""
        self._prober.connection_lost(key, row, attempt)

    def _crashed(self, service: str, fingerprint: str, target_id: str) -> None:
        quarantine = self._quarantines_by_service.get(service)
        if quarantine is not None:
            quarantine.crashed(fingerprint, target_id, self._clock.now())

    async def _read_hosts(self) -> None:
        runners = self._runners()
        if not runners:
            return
        try:
            hosts = await self._store.hosts()
        except errors.StoreError as error:
            logs.warning(self._log, "host_list_failed", error=str(error))
            return
        leaving = {host.address for host in hosts if host.leaving}
        now = self._clock.now()
        for runner in runners:
            for row in runner.shard.targets_by_id.values():
                if row.target.address in leaving:
                    runner.health.host_leaving(row, now)
                    runner.leaving.note(row, now, is_leaving=True)
