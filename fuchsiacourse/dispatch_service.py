"""Serves the calls of entries: runs requests at the targets of shards."""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import config_table
from fuchsiacourse import dispatch_metrics
from fuchsiacourse import execute_replies
from fuchsiacourse import fleet_pb2
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import request_events
from fuchsiacourse import request_row
from fuchsiacourse import request_tombstones
from fuchsiacourse import service_file
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import shard_maintenance
from fuchsiacourse import shard_owners
from fuchsiacourse import shard_runner
from fuchsiacourse import store as stores
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service
from fuchsiacourse import verdict as verdicts

# Outcomes of a withdrawal.
WITHDRAWN = "withdrawn"
STARTED = "started"
# Proves neither that the request was started nor that it won't be; the entry
# treats it like STARTED.
UNKNOWN = "unknown"

# Bound on each table of request ids.
_MAX_IDS = 100_000
# A new process knows too little of the requests of its predecessor until the
# longest deadline and this time, in seconds, have passed. The time allows for
# delays between processes.
_PREDECESSOR_MARGIN_S = 5.0
# Seconds between ticks of the shards with requests.
_TICK_S = 0.02
# Seconds between updates of the targets' health. It is short compared with
# the bound on failure detection; these ticks also detect pauses of an idle
# process.
_HEALTH_TICK_S = 0.1
# Seconds between updates of the metrics and removals of unused shards.
_MAINTENANCE_INTERVAL_S = 1.0

Refusal = execute_replies.Refusal
ShardKey = tuple[str, str]
HealthFactory = collections.abc.Callable[[shards.Shard], typing.Any]


class DispatchService:
    """Runs requests of the shards that this process owns.

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
        metrics: Metrics of the process, by default none.
        health_factory: Creates the health of a shard, by default
            ``health.Health``.
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
        metrics: metric_tables.Metrics | None = None,
        health_factory: HealthFactory | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._timers = timers
        self._members = members
        self._config = config
        self._target_client = target_client
        self._invariants = invariants
        self._log = log
        self._metrics = dispatch_metrics.DispatchMetrics(
            metrics=metrics, config=config
        )
        self._maintenance = shard_maintenance.ShardMaintenance(
            settings=settings,
            clock=clock,
            timers=timers,
            rng=rng,
            members=members,
            config=config,
            target_client=target_client,
            store=store,
            invariants=invariants,
            log=log,
            health_factory=health_factory,
        )
        self._runners_by_key: dict[ShardKey, shard_runner.ShardRunner] = {}
        self._owners = shard_owners.ShardOwners(members=members)
        self._tombstones = request_tombstones.RequestTombstones(
            max_ids=_MAX_IDS
        )
        self._shard_keys_by_request: dict[str, ShardKey] = {}
        self._sequence = itertools.count(1)
        self._is_draining = False
        self._started_s: float | None = None
        self._last_check_s = 0.0
        self._ticks: timer_service.TimerHandle | None = None
        members.subscribe(self._on_member_changed)
        config.subscribe(self._on_config_changed)

    @property
    def runners(self) -> list[shard_runner.ShardRunner]:
        """Runners of all shards of this process."""
        return list(self._runners_by_key.values())

    @property
    def is_draining(self) -> bool:
        """Whether the service is draining."""
        return self._is_draining

    def start(self) -> None:
        """Starts the timers, unless they run.

        The first Execute or Withdraw call does the same.
        """
        if self._started_s is not None:
            return
        self._started_s = self._last_check_s = self._clock.now()
        self._timers.on_pause(lambda _: self._check_pause(self._clock.now()))
        self._timers.every(_HEALTH_TICK_S, self._tick_health)
        self._timers.every(_MAINTENANCE_INTERVAL_S, self._drop_idle)
        self._timers.every(
            _MAINTENANCE_INTERVAL_S,
            lambda: self._metrics.update_load_gauges(self.runners),
        )
        self._maintenance.start(self._served_runners)

    async def execute(
        self, request: fleet_pb2.ExecuteRequest
    ) -> fleet_pb2.ExecuteReply:
        """Runs a request or refuses it.

        Args:
            request: The request.

        Returns:
            The target's answer or a refusal.
        """
        self.start()
        now = self._clock.now()
        self._check_pause(now)
        reply = self._refusal(request, now)
        if reply is None:
            reply = await self._run(request, now)
        self._metrics.count(request.service, reply)
        if reply.refusal:
            is_known = request.service in self._config.services_by_name
            request_events.dispatch_refused(
                self._log, request, reply, is_known=is_known
            )
        return reply

    def _refusal(
        self, request: fleet_pb2.ExecuteRequest, now: float
    ) -> fleet_pb2.ExecuteReply | None:
        """Returns the refusal of a new request, None to run it."""
        id = request.request_id
        if id in self._shard_keys_by_request or self._tombstones.was_sent(
            id, now
        ):
            return execute_replies.refused(
                id,
                Refusal.DUPLICATE,
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if self._tombstones.was_withdrawn(id, now):
            return execute_replies.refused(id, Refusal.WITHDRAWN)
        if self._is_draining:
            return execute_replies.refused(id, Refusal.DRAINING)
        if self._tombstones.is_full(now):
            return execute_replies.refused(
                id, Refusal.OVERLOAD, retry_after_s=1.0
            )
        service = self._config.services_by_name.get(request.service)
        if service is None or request.kind not in service.kinds_by_name:
            return execute_replies.refused(id, Refusal.UNKNOWN_SERVICE)
        if self._maintenance.is_quarantined(
            request.service, request.fingerprint
        ):
            return execute_replies.refused(id, Refusal.QUARANTINED)
        return self._owners.redirect(request)

    async def _run(
        self, request: fleet_pb2.ExecuteRequest, now: float
    ) -> fleet_pb2.ExecuteReply:
        service = self._config.services_by_name[request.service]
        key = request.service, request.region
        runner = self._runner(service, request.region)
        row = request_row.RequestRow(
            request=request,
            kind=service.kinds_by_name[request.kind],
            sequence=next(self._sequence),
            arrived_s=now,
            deadline_s=now + request.deadline_ms / 1000.0,
            reply=asyncio.get_running_loop().create_future(),
        )
        self._shard_keys_by_request[row.id] = key
        try:
            if self._ticks is None:
                self._ticks = self._timers.every(_TICK_S, self._tick)
            runner.submit(row, now)
            return await row.reply
        except asyncio.CancelledError:
            self._on_call_cancelled(runner, row)
            raise
        finally:
            del self._shard_keys_by_request[row.id]
            if row.attempts_made:
                self._tombstones.add_sent(
                    row.id, row.kind.idempotent, self._clock.now()
                )

    def _on_call_cancelled(
        self, runner: shard_runner.ShardRunner, row: request_row.RequestRow
    ) -> None:
        """Ends a request whose Execute call was cancelled.

        A running attempt of a request that is not idempotent goes on,
        because cancelling it halfway has no use.
        """
        if row.state is request_row.RequestState.DONE:
            return
        if row.runs_by_id and not row.kind.idempotent:
            return
        runner.abandon(row, Refusal.WITHDRAWN, target_row.Outcome.CANCELLED)

    async def withdraw(
        self, request: fleet_pb2.WithdrawRequest
    ) -> fleet_pb2.WithdrawReply:
        """Withdraws a request that has not been sent to a target.

        Args:
            request: Names the request.

        Returns:
            Reply with the outcome WITHDRAWN, STARTED or UNKNOWN.
        """
        self.start()
        return fleet_pb2.WithdrawReply(
            request_id=request.request_id,
            outcome=self._withdraw(request, self._clock.now()),
        )

    def _withdraw(self, request: fleet_pb2.WithdrawRequest, now: float) -> str:
        id = request.request_id
        if self._tombstones.was_sent(id, now):
            return STARTED
        key = self._shard_keys_by_request.get(id)
        if key is not None:
            return self._withdraw_live(self._runners_by_key[key], id, now)
        if self._may_be_from_predecessor(now):
            return UNKNOWN
        return WITHDRAWN if self._tombstones.withdraw(id, now) else UNKNOWN

    def _withdraw_live(
        self, runner: shard_runner.ShardRunner, id: str, now: float
    ) -> str:
        row = runner.requests.get(id)
        if row is None or row.may_have_run:
            return STARTED
        is_recorded = self._tombstones.withdraw_queued(id, now)
        runner.refuse(row, Refusal.WITHDRAWN)
        return WITHDRAWN if is_recorded else UNKNOWN

    def _may_be_from_predecessor(self, now: float) -> bool:
        """Returns whether an earlier process may have run a request.

        After a restart, a withdrawal can arrive for a request that the
        previous process at the same address has sent to a target.
        """
        age_s = now - self._started_s
        return age_s < self._config.longest_deadline_s + _PREDECESSOR_MARGIN_S

    async def drain(self) -> None:
        """Refuses the queued requests and waits for the running ones.

        It waits for ``drain_max_s`` of the settings at most.
        """
        self.start()
        self._is_draining = True
        for runner in self.runners:
            runner.is_draining = True
            for row in runner.requests.queued():
                runner.refuse(row, Refusal.DRAINING)
        deadline_s = self._clock.now() + self._settings.drain_max_s
        while self._is_busy() and self._clock.now() < deadline_s:
            await self._clock.sleep(_TICK_S)
        self._invariants.check(
            invariant_checks.InvariantId.GRACEFUL_STOP,
            not self._is_busy(),
            requests=sum(len(runner.requests) for runner in self.runners),
        )
        logs.event(self._log, "dispatch_drained")

    def _is_busy(self) -> bool:
        # Requests that are not idempotent are finished even if their entry
        # is gone.
        return any(not runner.is_idle for runner in self.runners)

    def _runner(
        self, service: service_file.ServiceFile, region: str
    ) -> shard_runner.ShardRunner:
        key = service.service, region
        runner = self._runners_by_key.get(key)
        if runner is not None:
            return runner
        shard = shards.Shard(service=service, region=region)
        runner = shard_runner.ShardRunner(
            shard=shard,
            health=self._maintenance.create_health(shard),
            settings=self._settings,
            clock=self._clock,
            timers=self._timers,
            target_client=self._target_client,
            owner_address=self._members.self.rpc_address,
            invariants=self._invariants,
            log=self._log,
            before_attempts=self._check_pause,
            on_ended=self._maintenance.attempt_ended,
        )
        self._runners_by_key[key] = runner
        self._maintenance.add_shard(runner)
        return runner

    def _served_runners(self) -> list[shard_runner.ShardRunner]:
        """Returns the runners of shards that are owned or have requests here.

        The last hop of a request may be a process that is not the owner;
        it must know the state of the targets too.
        """
        return [
            runner
            for key, runner in self._runners_by_key.items()
            if self._owners.owns(key) or not runner.is_idle
        ]

    def _on_member_changed(self, row: member_rows.Member) -> None:
        if row.role == member_tables.DISPATCH:
            self._recheck_owners()

    def _recheck_owners(self) -> None:
        """Redirects queued requests of shards that have another owner now."""
        for key, runner in self._runners_by_key.items():
            if not self._owners.owns(key):
                self._redirect_queued(runner)

    def _redirect_queued(self, runner: shard_runner.ShardRunner) -> None:
        for row in runner.requests.queued():
            reply = self._owners.redirect(row.request)
            if reply is None or row.may_have_run:
                continue
            runner.refuse(row, Refusal.NOT_OWNER, owner=reply.owner)

    def _on_config_changed(self) -> None:
        for key, runner in self._runners_by_key.items():
            service = self._config.services_by_name.get(key[0])
            if service is not None:
                runner.replace(service)
                continue
            for row in runner.requests.queued():
                runner.refuse(row, Refusal.UNKNOWN_SERVICE)

    def _tick(self) -> None:
        """Ticks the shards with requests; stops its timer without any."""
        now = self._clock.now()
        self._check_pause(now)
        for runner in self._runners_by_key.values():
            if not runner.is_idle:
                runner.tick(now)
        if not self._is_busy():
            self._ticks.cancel()
            self._ticks = None

    def _tick_health(self) -> None:
        now = self._clock.now()
        self._check_pause(now)
        for runner in self._runners_by_key.values():
            runner.health.tick(now)

    def _check_pause(self, now: float) -> None:
        """Rechecks deadlines, owners and targets after a pause.

        It runs before any request is sent, so that no outdated state is
        used.
        """
        pause_s = now - self._last_check_s
        self._last_check_s = now
        if pause_s <= timer_service.PAUSE_THRESHOLD_S:
            return
        logs.warning(self._log, "process_paused", seconds=round(pause_s, 3))
        for runner in self._runners_by_key.values():
            runner.expire(now)
        self._recheck_owners()
        self._maintenance.refresh_targets(self.runners)

    def _drop_idle(self) -> None:
        """Removes idle shards that are not configured or not owned here."""
        for key, runner in list(self._runners_by_key.items()):
            is_configured = key[0] in self._config.services_by_name
            if runner.is_idle and not (
                is_configured and self._owners.owns(key)
            ):
                del self._runners_by_key[key]
                services = {other[0] for other in self._runners_by_key}
                self._maintenance.remove_shard(
                    runner, is_last=key[0] not in services
                )
