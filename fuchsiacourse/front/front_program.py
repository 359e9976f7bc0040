"""Builds, starts and stops the components of a front process."""

from __future__ import annotations

import asyncio
import random
import signal
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import config_follower
from fuchsiacourse.front import copy_exchange
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import directory as directories
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import evidence_collector
from fuchsiacourse.front import failure_share
from fuchsiacourse.front import floor_trials
from fuchsiacourse.front import forwarder as forwarders
from fuchsiacourse.front import front_adapter
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import front_status
from fuchsiacourse.front import http_request
from fuchsiacourse.front import log_sink
from fuchsiacourse.front import membership as memberships
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import peer_client
from fuchsiacourse.front import peer_endpoints
from fuchsiacourse.front import placement
from fuchsiacourse.front import pooled_sender
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import readiness
from fuchsiacourse.front import rejection_log
from fuchsiacourse.front import retry_budget
from fuchsiacourse.front import return_order
from fuchsiacourse.front import route_table
from fuchsiacourse.front import service_times
from fuchsiacourse.front import settings_watch
from fuchsiacourse.front import status_endpoints
from fuchsiacourse.front import stop_schedule
from fuchsiacourse.front import store_relay
from fuchsiacourse.front import suspect_copier
from fuchsiacourse.front import suspect_exchange
from fuchsiacourse.front import target_follower
from fuchsiacourse.front import target_table
from fuchsiacourse.front import work_share
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from fuchsiacourse import system_clock
from fuchsiacourse import timers as timer_services
from fuchsiacourse import udp_endpoint

# Interval at which a shutdown checks for requests in progress, in seconds.
_STOP_POLL_S = 0.05
# Largest link capacity that is advertised to peers, in Mbit/s: the field is
# one byte wide, so hosts with faster links count as equal.
MAX_CAPACITY_MBPS = 255
# Limit of the lines about requests that the end of a shutdown cuts off.
MAX_CUT_OFF_LINES = 50
# Limits on callers that no configuration has set yet.
DEFAULT_LIMITS = route_table.CallerLimits(
    max_head_bytes=16_384,
    max_body_bytes=67_108_864,
    head_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class FrontProgram:
    """Runs one front from its start until its graceful shutdown.

    Args:
        settings: Location, addresses and operator's bounds.
        adapter: Translates between the platform and the front.
        watch: Applies changes of the settings file.
        sink: Output of the logs.
        log: Logger.
    """

    def __init__(
        self,
        *,
        settings: front_settings.FrontSettings,
        adapter: front_adapter.FrontAdapter,
        watch: settings_watch.SettingsWatch,
        sink: log_sink.LogSink,
        log: typing.Any,
    ) -> None:
        self._settings = settings
        self._watch = watch
        self._sink = sink
        self._adapter = adapter
        self._log = log
        self._clock = system_clock.SystemClock()
        self._work = work_share.WorkShare(clock=self._clock)
        self._rng = random.Random()
        self._timers = timer_services.Timers(
            clock=self._clock, rng=self._rng, on_error=self._on_error
        )
        self._datagram = udp_endpoint.UdpEndpoint(
            address=f"{settings.ip}:{settings.peer_port}"
        )
        self._membership = memberships.Membership(
            clock=self._clock,
            timers=self._timers,
            rng=self._rng,
            datagram=self._datagram,
            settings=settings,
            incarnation=int(self._clock.wall()),
            status=self._status,
            log=log,
        )
        self._directory = directories.Directory(
            settings=settings,
            peers=self._membership.peers,
            is_serving=lambda: self.is_ready,
        )
        self._table = target_table.TargetTable(clock=self._clock, log=log)
        self._metrics = front_metrics.FrontMetrics(gauges=self._gauges)
        self._answer_limits = answer_limits.AnswerLimits(
            clock=self._clock,
            work=self._work,
            metrics=self._metrics,
            log=log,
        )
        self._sender = pooled_sender.PooledSender(
            clock=self._clock,
            protocol=adapter.protocol,
            limits=self._answer_limits,
            idle_limit=self._idle_limit,
        )
        self._rejections = rejection_log.RejectionLog(
            clock=self._clock,
            protocol=adapter.protocol,
            metrics=self._metrics,
            log=log,
        )
        self._stop_schedule = stop_schedule.StopSchedule(
            clock=self._clock, bounds=settings.bounds
        )
        self._forwarder = self._make_forwarder()
        self._peer_client = peer_client.PeerClient(
            port=settings.peer_port, limits=self._answer_limits
        )
        self._suspect_copier = suspect_copier.SuspectCopier(
            timers=self._timers,
            rng=self._rng,
            peers=self._membership.peers,
            source=suspect_exchange.HttpSuspectSource(
                client=self._peer_client
            ),
            suspects=self._forwarder.suspects,
            log=log,
        )
        store = adapter.store(settings, self._answer_limits)
        self._relay = self._make_relay(store)
        self._configs = self._make_config_follower(store)
        self._targets = self._make_target_follower(store)
        self._relay.add(self._configs)
        self._relay.add(self._targets)
        self._servers = self._make_servers()
        self._stopping = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the front can serve callers.

        It needs a configuration and a target list. False while it is cut off
        from all targets or, alone, fails to follow the store, and once a
        shutdown has begun.
        """
        return readiness.Readiness(
            has_config=self._forwarder.config is not None,
            has_targets=self._targets.has_snapshot,
            is_cut_off=self._forwarder.reach.is_cut_off,
            is_stopping=self._stopping.is_set(),
            has_failed_follower=(
                self._targets.has_failed or self._configs.has_failed
            ),
            has_ready_peer=self._membership.peers.has_ready,
        ).is_ready

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        SIGHUP reloads the settings file.

        Raises:
            SettingsError: A listening address can't be bound.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        await self._start()
        await self._stopping.wait()
        await self._stop()

    async def _start(self) -> None:
        try:
            await self._datagram.open()
            for server in self._servers:
                await server.start()
        except OSError as error:
            raise errors.SettingsError(
                f"can't bind a listening address: {error}"
            ) from error
        self._membership.start(self._apply_evidence)
        self._suspect_copier.start()
        self._relay.start()
        self._timers.spawn(self._configs.run())
        self._timers.spawn(self._targets.run())
        self._timers.every(caller_server.SWEEP_INTERVAL_S, self._sweep)
        self._timers.every(settings_watch.CHECK_INTERVAL_S, self._watch.check)
        logs.event(
            self._log,
            "started",
            availability_zone=self._settings.availability_zone,
            cores=self._settings.cores,
        )

    async def _stop(self) -> None:
        began_s = self._clock.now()
        schedule = self._stop_schedule
        schedule.begin()
        front_server = self._servers[0]
        front_server.is_stopping = True
        logs.event(self._log, "stop_started", busy=front_server.busy)
        self._membership.announce()
        while self._clock.now() < schedule.listens_until_s:
            self._end_late_uploads(front_server)
            await self._clock.sleep(_STOP_POLL_S)
        front_server.stop_listening()
        front_server.close_idle()
        while front_server.busy and self._clock.now() < schedule.exits_at_s:
            self._end_late_uploads(front_server)
            if self._clock.now() >= schedule.answers_until_s:
                self._forwarder.end_runs()
            await self._clock.sleep(_STOP_POLL_S)
            front_server.close_idle()
        while (
            front_server.writing
            and self._clock.now() < schedule.writes_until_s
        ):
            await self._clock.sleep(_STOP_POLL_S)
        self._log_cut_off(front_server.requests, began_s)
        logs.event(self._log, "stopped", cut_off=front_server.busy)

    def _end_late_uploads(self, server: caller_server.CallerServer) -> None:
        server.refuse_unread(self._forwarder.refuse_unread)
        self._forwarder.end_late_uploads()

    def _log_cut_off(
        self, requests: list[http_request.HttpRequest], began_s: float
    ) -> None:
        """Logs the requests that the end of a shutdown cuts off.

        Args:
            requests: The requests.
            began_s: Monotonic time at which the shutdown began, in seconds.
        """
        for request in requests[:MAX_CUT_OFF_LINES]:
            fields = self._adapter.protocol.request_fields(request)
            logs.warning(
                self._log,
                "request_cut_off",
                request_id=fields.request_id,
                host=request.host,
                received_s=round(request.received_s - began_s, 3),
                ended_s=round(self._clock.now() - began_s, 3),
            )

    def _make_forwarder(self) -> forwarders.Forwarder:
        settings = self._settings
        times = service_times.ServiceTimes()
        budget = retry_budget.RetryBudget(
            clock=self._clock,
            bounds=settings.bounds,
            regions=len(set(settings.regions_by_zone.values())),
            live_share=self._membership.peers.live_share,
            is_first_start=settings.is_first_start,
        )
        suspects = crash_suspects.CrashSuspects(clock=self._clock)
        failures = failure_share.FailureShare()
        limiter = rate_limiter.RateLimiter(
            clock=self._clock,
            availability_zone=settings.availability_zone,
            regions_by_zone=settings.regions_by_zone,
            live_share=self._membership.peers.live_share,
        )
        return forwarders.Forwarder(
            clock=self._clock,
            rng=self._rng,
            protocol=self._adapter.protocol,
            table=self._table,
            placement=placement.Placement(
                clock=self._clock,
                rng=self._rng,
                availability_zone=settings.availability_zone,
                regions_by_zone=settings.regions_by_zone,
                times=times,
                trials=floor_trials.FloorTrials(
                    clock=self._clock,
                    rng=self._rng,
                    bounds=settings.bounds,
                    failures=failures,
                    lost_share=self._membership.peers.lost_share,
                    limiter=limiter,
                ),
                limiter=limiter,
            ),
            collector=evidence_collector.EvidenceCollector(
                clock=self._clock,
                table=self._table,
                budget=budget,
                times=times,
                failures=failures,
                suspects=suspects,
                limiter=limiter,
                send_evidence=self._membership.send_evidence,
                warn_regions=self._membership.warn_regions,
                log=self._log,
            ),
            budget=budget,
            times=times,
            suspects=suspects,
            limiter=limiter,
            returns=return_order.ReturnOrder(clock=self._clock, rng=self._rng),
            front_count=self._membership.peers.live_count,
            sender=self._sender,
            reach=reach_monitor.ReachMonitor(
                clock=self._clock,
                timers=self._timers,
                rng=self._rng,
                table=self._table,
                connector=self._sender,
                on_change=self._membership.announce,
                log=self._log,
            ),
            stop=self._stop_schedule,
            rejections=self._rejections,
            metrics=self._metrics,
            log=self._log,
        )

    def _make_relay(self, store: stores.Store) -> store_relay.StoreRelay:
        settings = self._settings
        return store_relay.StoreRelay(
            clock=self._clock,
            timers=self._timers,
            ip=settings.ip,
            capacity=min(MAX_CAPACITY_MBPS, int(settings.link_mbps)),
            membership=self._membership,
            store=store,
            source=copy_exchange.HttpCopySource(client=self._peer_client),
            is_first_start=settings.is_first_start,
            log=self._log,
        )

    def _make_config_follower(
        self, store: stores.Store
    ) -> config_follower.ConfigFollower:
        follower = config_follower.ConfigFollower(
            key=self._adapter.config_key,
            decode=self._adapter.decode_config,
            adopt=self._adopt,
            peer_version=self._membership.peers.config_version,
            clock=self._clock,
            rng=self._rng,
            store=store,
            prefix=self._adapter.config_prefix,
            relay=self._relay,
            log=self._log,
        )
        self._forwarder.is_config_current = lambda: follower.is_newest
        return follower

    def _make_target_follower(
        self, store: stores.Store
    ) -> target_follower.TargetFollower:
        return target_follower.TargetFollower(
            table=self._table,
            timers=self._timers,
            decode=self._adapter.decode_target,
            store_contact_s=self._membership.peers.store_contact_s,
            lifetime_s=self._settings.registration_lifetime_s,
            clock=self._clock,
            rng=self._rng,
            store=store,
            prefix=self._adapter.target_prefix,
            relay=self._relay,
            log=self._log,
        )

    def _make_servers(self) -> list[caller_server.CallerServer]:
        settings = self._settings
        copies = copy_exchange.CopyHandler(find=self._relay.find)
        suspects = suspect_exchange.SuspectHandler(
            export=self._forwarder.suspects.export
        )
        peers = peer_endpoints.PeerEndpoints(
            handlers_by_path={
                copy_exchange.PATH: copies.handle,
                suspect_exchange.PATH: suspects.handle,
            }
        )
        endpoints = status_endpoints.StatusEndpoints(
            adapter=self._adapter,
            addresses=self._directory,
            metrics=self._metrics,
            is_ready=lambda: self.is_ready,
        )
        handlers = [
            (settings.front_address, self._forwarder.handle),
            (settings.ready_address, endpoints.ready),
            (settings.directory_address, endpoints.resolve),
            (settings.metrics_address, endpoints.metrics),
            ((settings.ip, settings.peer_port), peers.handle),
        ]
        budget = body_budget.BodyBudget()
        return [
            caller_server.CallerServer(
                clock=self._clock,
                address=address,
                handler=handler,
                limits=self._limits,
                budget=budget,
                rejections=self._rejections,
                on_error=self._on_error,
                is_config_current=self._is_config_current,
                work=self._work,
            )
            for address, handler in handlers
            if address is not None
        ]

    def _gauges(self) -> dict[str, float]:
        now_s = self._clock.now()
        targets = list(self._table.by_id.values())
        return {
            "front_ready": float(self.is_ready),
            "front_requests_in_flight": self._forwarder.in_flight,
            "front_config_version": self._configs.version,
            "front_store_reached": float(
                self._targets.is_following and self._configs.is_following
            ),
            "front_store_follower_failures_total": (
                self._targets.failure_count + self._configs.failure_count
            ),
            "front_store_watched": float(self._relay.watches),
            "front_fronts_heard_share": self._membership.peers.live_share(),
            "front_packets_rejected": self._membership.rejected_packets,
            "front_targets": len(targets),
            "front_targets_suspect": sum(
                target.health.probability(now_s)
                >= evidence_collector.SUSPECT_THRESHOLD
                for target in targets
            ),
            "front_targets_leaving": sum(
                target.is_leaving for target in targets
            ),
            "front_targets_held": sum(
                target.held_until_s > now_s for target in targets
            ),
            "front_cut_off": float(self._forwarder.reach.is_cut_off),
            "front_targets_idle": sum(
                target.is_usable
                and now_s - target.last_used_s > floor_trials.IN_USE_S
                for target in targets
            ),
            "front_floor_trials_total": (
                self._forwarder.placement.trial_count
            ),
            "front_targets_limited": sum(
                target.limit.is_stated for target in targets
            ),
            "front_connections_opened_total": self._sender.opened_count,
            "front_log_lines_dropped_total": self._sink.dropped,
        }

    def _status(self) -> front_status.FrontStatus:
        targets = self._targets
        store_contact_s = 0.0
        if targets.is_following:
            store_contact_s = self._clock.now() - targets.reached_since_s
        return front_status.FrontStatus(
            is_ready=self.is_ready,
            is_leaving=self._stopping.is_set(),
            config_version=self._configs.version,
            store_contact_s=store_contact_s,
            view=self._relay.view(),
        )

    def _apply_evidence(
        self, evidence: evidences.Evidence, front: str, is_same_zone: bool
    ) -> None:
        if evidence.outcome is outcomes.Outcome.ANSWERED:
            self._forwarder.reach.record_peer_answer()
        self._forwarder.collector.apply_remote(
            evidence, front=front, is_same_zone=is_same_zone
        )

    def _adopt(self, table: route_table.RouteTable) -> None:
        table.limits.fill_missing(self._limits())
        self._forwarder.config = table
        self._rejections.set_config(table)
        if self._relay.watches:
            self._membership.announce_regions()

    def _limits(self) -> route_table.CallerLimits:
        config = self._forwarder.config
        return DEFAULT_LIMITS if config is None else config.limits

    def _is_config_current(self) -> bool:
        forwarder = self._forwarder
        return forwarder.config is not None and forwarder.is_config_current()

    def _idle_limit(self, service: str) -> int:
        """Returns the most idle connections to keep to one target.

        The fronts divide the share ``IDLE_CAP_SHARE`` of a target's
        connection limit evenly among themselves.
        """
        config = self._forwarder.config
        limits = {} if config is None else config.connection_limits_by_service
        limit = limits.get(service)
        if limit is None:
            return pooled_sender.MAX_IDLE
        fronts = len(self._membership.peers.by_ip) + 1
        return min(
            pooled_sender.MAX_IDLE,
            int(limit * pooled_sender.IDLE_CAP_SHARE / fronts),
        )

    def _sweep(self) -> None:
        self._sender.sweep()
        for server in self._servers:
            server.sweep()

    def _on_error(self, error: Exception) -> None:
        self._log.error("callback_failed", exc_info=error)
