"""Periodic work on the shards: probes, host list, ejection, quarantine."""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import config_table
from fuchsiacourse import ejection_agent
from fuchsiacourse import errors
from fuchsiacourse import health as healths
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import prober
from fuchsiacourse import quarantine as quarantines
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import shard_runner
from fuchsiacourse import store as stores
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

_EJECTION_INTERVAL_S = 0.25
_QUARANTINE_INTERVAL_S = 0.25
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
        config: Configuration in force.
        target_client: Port to the targets.
        store: Port to the platform's object API.
        invariants: Receives the checks.
        log: Logger.
        new_health: Makes the health of a shard; if it is given, no
            ejection takes place.
    """

    def __init__(
        self,
        *,
        settings: settings_files.DispatchSettings,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        self_id: str,
        config: config_table.ConfigTable,
        target_client: target_clients.TargetClient,
        store: stores.Store,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        new_health: typing.Callable[[shards.Shard], typing.Any] | None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._self_id = self_id
        self._config = config
        self._store = store
        self._invariants = invariants
        self._log = log
        self._new_health = new_health
        self._quarantines_by_service: dict[str, quarantines.Quarantine] = {}
        self._agents_by_key: dict[ShardKey, ejection_agent.EjectionAgent] = {}
        self._healths_by_key: dict[ShardKey, typing.Any] = {}
        self._prober = prober.Prober(
            interval_s=settings.probe_interval_s,
            clock=clock,
            timers=timers,
            rng=rng,
            target_client=target_client,
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
        self._timers.every(_EJECTION_INTERVAL_S, self._run_agents, jitter=0.1)
        self._timers.every(
            _QUARANTINE_INTERVAL_S, self._run_quarantines, jitter=0.1
        )

    def health_of(self, shard: shards.Shard) -> typing.Any:
        """Makes the health of a shard."""
        if self._new_health is not None:
            return self._new_health(shard)
        return healths.Health(
            shard=shard,
            rng=self._rng,
            false_ejections_per_target_s=(
                self._settings.false_ejections_per_target_s
            ),
            invariants=self._invariants,
            log=self._log,
        )

    def added(self, runner: shard_runner.ShardRunner) -> None:
        """Takes over a shard."""
        key = runner.shard.key
        if key[0] not in self._quarantines_by_service:
            self._quarantines_by_service[key[0]] = quarantines.Quarantine(
                service=key[0],
                store=self._store,
                clock=self._clock,
                log=self._log,
            )
        if self._new_health is not None:
            return
        self._healths_by_key[key] = runner.health
        self._quarantines_by_service[key[0]].subscribe(
            runner.health.crash_explained
        )
        self._agents_by_key[key] = ejection_agent.EjectionAgent(
            shard=runner.shard,
            health=runner.health,
            store=self._store,
            clock=self._clock,
            config=self._config,
            self_id=self._self_id,
            log=self._log,
            invariants=self._invariants,
        )

    def dropped(self, runner: shard_runner.ShardRunner) -> None:
        """Forgets a shard."""
        key = runner.shard.key
        self._prober.forget(runner)
        self._agents_by_key.pop(key, None)
        self._healths_by_key.pop(key, None)
        if not any(other[0] == key[0] for other in self._healths_by_key):
            self._quarantines_by_service.pop(key[0], None)

    def is_quarantined(self, service: str, fingerprint: str) -> bool:
        """Whether requests with a fingerprint are refused."""
        quarantine = self._quarantines_by_service.get(service)
        return quarantine is not None and quarantine.is_quarantined(
            fingerprint
        )

    def attempt_ended(
        self,
        key: ShardKey,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
    ) -> None:
        """Notes the end of an attempt."""
        quarantine = self._quarantines_by_service.get(key[0])
        if outcome is target_row.Outcome.OK and quarantine is not None:
            quarantine.answered(attempt.fingerprint)
        if outcome is target_row.Outcome.CONNECTION_LOST:
            self._prober.probe_soon(key, row)
        if outcome in (
            target_row.Outcome.CONNECTION_LOST,
            target_row.Outcome.UNREACHABLE,
        ):
            self._report_crashes(key)

    def _report_crashes(self, key: ShardKey) -> None:
        health = self._healths_by_key.get(key)
        if health is None:
            return
        quarantine = self._quarantines_by_service[key[0]]
        now = self._clock.now()
        for crash in health.take_crashes():
            for fingerprint in crash.fingerprints:
                quarantine.crashed(fingerprint, crash.target_id, now)

    async def _run_agents(self) -> None:
        for runner in self._runners():
            agent = self._agents_by_key.get(runner.shard.key)
            if agent is not None:
                # A slow platform must not hold up the other shards.
                self._timers.spawn(agent.run_once())

    async def _run_quarantines(self) -> None:
        services = set()
        for runner in self._runners():
            self._report_crashes(runner.shard.key)
            services.add(runner.shard.key[0])
        for service in services:
            quarantine = self._quarantines_by_service[service]
            self._timers.spawn(quarantine.run_once())

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
