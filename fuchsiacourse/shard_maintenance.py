"""Runs the periodic work on shards: probes, host list, ejection, quarantine.

It is apart from the dispatch service, which only handles requests.
"""

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
from fuchsiacourse import members as member_tables
from fuchsiacourse import prober
from fuchsiacourse import quarantine as quarantines
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import shard_runner
from fuchsiacourse import store as stores
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

# Seconds between checks whether status and quarantine objects are to be read
# or written.
_EXCHANGE_INTERVAL_S = 0.25
# Seconds between checks whether a read of the host list is due, and between
# the reads in a small fleet.
_HOSTS_TICK_S = 0.5
_HOSTS_INTERVAL_S = 2.0
# Bound on the reads of the host list by the whole fleet. The platform allows
# about 2,000 reads a second for all uses.
_HOSTS_READS_PER_S = 200.0

Runners = collections.abc.Callable[[], list[shard_runner.ShardRunner]]
HealthFactory = collections.abc.Callable[[shards.Shard], typing.Any]


class ShardMaintenance:
    """Runs the periodic tasks of the shards that this process serves.

    Args:
        settings: Settings of dispatch.
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of randomness.
        members: Members of the fleet.
        config: Configuration in force.
        target_client: Client of the targets.
        store: Client of the platform's object API.
        invariants: Receives the checks.
        log: Logger.
        health_factory: Creates the health of a shard, by default
            ``health.Health``. With any other one, no target is ejected.
    """

    def __init__(
        self,
        *,
        settings: settings_files.DispatchSettings,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        members: member_tables.Members,
        config: config_table.ConfigTable,
        target_client: target_clients.TargetClient,
        store: stores.Store,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        health_factory: HealthFactory | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._members = members
        self._hosts_due_s = 0.0
        self._config = config
        self._store = store
        self._invariants = invariants
        self._log = log
        self._health_factory = health_factory
        self._quarantines_by_service: dict[str, quarantines.Quarantine] = {}
        self._agents_by_key: dict[
            tuple[str, str], ejection_agent.EjectionAgent
        ] = {}
        self._runners: Runners = list
        self._prober = prober.Prober(
            interval_s=settings.probe_interval_s,
            clock=clock,
            timers=timers,
            rng=rng,
            target_client=target_client,
        )

    def start(self, runners: Runners) -> None:
        """Starts the timers.

        Args:
            runners: Returns the runners of the shards that are served.
        """
        self._runners = runners
        self._timers.every(
            prober.TICK_S, lambda: self._prober.run_due(runners())
        )
        self._timers.every(_HOSTS_TICK_S, self._read_hosts_if_due)
        self._timers.every(_EXCHANGE_INTERVAL_S, self._exchange)

    def create_health(self, shard: shards.Shard) -> typing.Any:
        """Returns a new health for a shard."""
        if self._health_factory is not None:
            return self._health_factory(shard)
        return healths.Health(
            shard=shard,
            rng=self._rng,
            false_ejections_per_target_s=(
                self._settings.false_ejections_per_target_s
            ),
            invariants=self._invariants,
            log=self._log,
        )

    def add_shard(self, runner: shard_runner.ShardRunner) -> None:
        """Adds a shard that has no requests yet.

        Args:
            runner: Runner of the shard.
        """
        service = runner.shard.service.service
        if service not in self._quarantines_by_service:
            quarantine = quarantines.Quarantine(
                service=service,
                store=self._store,
                clock=self._clock,
                log=self._log,
            )
            quarantine.subscribe(
                lambda target_ids: self._clear_crash_evidence(
                    service, target_ids
                )
            )
            self._quarantines_by_service[service] = quarantine
            self._timers.spawn(quarantine.run_once())
        if self._health_factory is None:
            self._agents_by_key[runner.shard.key] = (
                ejection_agent.EjectionAgent(
                    shard=runner.shard,
                    health=runner.health,
                    store=self._store,
                    clock=self._clock,
                    config=self._config,
                    self_id=self._members.self.id,
                    log=self._log,
                    invariants=self._invariants,
                )
            )
        self.refresh_targets([runner])

    def refresh_targets(self, runners: list[shard_runner.ShardRunner]) -> None:
        """Reads the host list and probes all targets of some shards.

        Until that is done, requests wait for the state of their targets.

        Args:
            runners: Runners of the shards.
        """
        for runner in runners:
            runner.freshness_gate.close(self._clock.now())
            self._prober.probe_all(runner)
        if runners:
            self._timers.spawn(self._read_hosts(runners))

    def remove_shard(
        self, runner: shard_runner.ShardRunner, *, is_last: bool
    ) -> None:
        """Removes a shard that is no longer served.

        Args:
            runner: Runner of the shard.
            is_last: Whether no other shard of its service is left.
        """
        self._prober.forget(runner)
        self._agents_by_key.pop(runner.shard.key, None)
        if is_last:
            del self._quarantines_by_service[runner.shard.service.service]

    def is_quarantined(self, service: str, fingerprint: str) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        quarantine = self._quarantines_by_service.get(service)
        return quarantine is not None and quarantine.is_quarantined(
            fingerprint
        )

    def attempt_ended(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
    ) -> None:
        """Records the end of an attempt.

        Args:
            runner: Runner of the shard.
            row: Target of the attempt.
            attempt: The attempt.
            outcome: How it ended.
        """
        quarantine = self._quarantines_by_service.get(
            runner.shard.service.service
        )
        if outcome is target_row.Outcome.OK and quarantine is not None:
            quarantine.answered(attempt.fingerprint)
        elif outcome is target_row.Outcome.CONNECTION_LOST:
            # An early probe tells a crash from a single broken connection.
            self._prober.expedite(runner, row)

    def _clear_crash_evidence(
        self, service: str, target_ids: list[str]
    ) -> None:
        for runner in self._runners():
            if runner.shard.service.service == service:
                runner.health.clear_crash_evidence(target_ids)

    def _exchange(self) -> None:
        runners = self._runners()
        for runner in runners:
            self._report_crashes(runner)
            agent = self._agents_by_key.get(runner.shard.key)
            if agent is not None:
                self._timers.spawn(agent.run_once())
        for service in {item.shard.service.service for item in runners}:
            quarantine = self._quarantines_by_service[service]
            quarantine.fleet_shards = self._config.shard_count
            if quarantine.is_due:
                self._timers.spawn(quarantine.run_once())

    def _report_crashes(self, runner: shard_runner.ShardRunner) -> None:
        quarantine = self._quarantines_by_service[runner.shard.service.service]
        now = self._clock.now()
        for crash in runner.health.pop_crashes():
            for fingerprint in crash.fingerprints:
                quarantine.record_crash(fingerprint, crash.target_id, now)

    async def _read_hosts_if_due(self) -> None:
        if self._clock.now() >= self._hosts_due_s and self._runners():
            await self._read_hosts([])

    def _apply_hosts(
        self, runner: shard_runner.ShardRunner, leaving: set[str], now: float
    ) -> None:
        for row in runner.shard.targets_by_id.values():
            if row.target.address in leaving:
                runner.health.host_leaving(row, now)
                runner.leaving.record(row, now, is_leaving=True)
            else:
                runner.health.host_staying(row, now)

    async def _read_hosts(self, added: list[shard_runner.ShardRunner]) -> None:
        """Reads the host list and applies it to the served shards.

        Args:
            added: Further shards to apply it to.
        """
        started_s = self._clock.now()
        readers = len(self._members.alive(member_tables.DISPATCH))
        self._hosts_due_s = started_s + max(
            _HOSTS_INTERVAL_S, readers / _HOSTS_READS_PER_S
        )
        leaving: set[str] | None = None
        try:
            hosts = await self._store.hosts()
            leaving = {host.address for host in hosts if host.leaving}
        except errors.StoreError as error:
            logs.warning(self._log, "host_list_failed", error=str(error))
        now = self._clock.now()
        served = self._runners()
        for runner in served + [item for item in added if item not in served]:
            if leaving is not None:
                self._apply_hosts(runner, leaving, now)
            runner.freshness_gate.record_host_list(started_s)
            runner.bind(now)
