"""Builds parts of a front with fakes for the network and the platform."""

from __future__ import annotations

import asyncio
import random
import typing

from bench import virtual_loop
from fuchsiacourse import clock as clocks
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import evidence_collector
from fuchsiacourse.front import failure_share
from fuchsiacourse.front import floor_trials
from fuchsiacourse.front import forwarder as forwarders
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import placement
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import rejection_log
from fuchsiacourse.front import retry_budget
from fuchsiacourse.front import return_order
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import route_table
from fuchsiacourse.front import service_times
from fuchsiacourse.front import stop_schedule
from fuchsiacourse.front import store_relay
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_registration
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import target_table
from fuchsiacourse.front import wire_protocol
from fuchsiacourse.front import work_share
from fuchsiacourse import logs
from fuchsiacourse.platform import wire_headers
from fuchsiacourse import system_clock
from fuchsiacourse import timers as timer_services

HOST = "callers.example"
SERVICE = "larder"
ZONES = {"a": "east", "b": "east", "c": "west"}
_OK = 200


class ManualClock(clocks.Clock):
    """Clock that only moves when it is set or slept on."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> float:
        """Returns the set time in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Returns the set time as Unix time in seconds."""
        return virtual_loop.START_WALL_S + self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Advances the time by ``delay_s`` without waiting."""
        self.now_s += delay_s


def bounds(**changes: float) -> front_settings.Bounds:
    """Returns bounds with some values replaced."""
    values = {
        "stop_s": 6.0,
        "drain_s": 2.0,
        "retry_share": 0.2,
        "retry_extra": 60.0,
        "retry_window_s": 10.0,
        "max_address_ttl_s": 5.0,
        "floor_share": 0.7,
    }
    return front_settings.Bounds(**{**values, **changes})


def settings(
    ip: str = "10.0.0.1", zone: str = "a", seeds: tuple[str, ...] = ()
) -> front_settings.FrontSettings:
    """Returns the settings of a front.

    Args:
        ip: IP address of the front.
        zone: Availability zone of the front.
        seeds: IP addresses of the seeds.
    """
    return front_settings.FrontSettings(
        name=f"front-{ip}",
        ip=ip,
        availability_zone=zone,
        region=ZONES[zone],
        regions_by_zone=ZONES,
        front_address=(ip, 8000),
        ready_address=(ip, 8001),
        directory_address=(ip, 8002),
        control_address=(ip, 8003),
        peer_port=7000,
        metrics_address=None,
        seeds=tuple((seed, 8003) for seed in seeds),
        store_address=("10.0.9.9", 9000),
        cores=1.0,
        link_mbps=100.0,
        is_first_start=True,
        registration_lifetime_s=4.5,
        bounds=bounds(),
    )


def record(
    id: str, **changes: typing.Any
) -> target_registration.TargetRegistration:
    """Returns the registration of a target with some values replaced."""
    values = {
        "id": id,
        "service": SERVICE,
        "address": ("10.0.8.1", 9100),
        "availability_zone": "a",
        "slots": 3,
        "is_draining": False,
        "remaining_cold_s": 0.0,
        "started_ms": 1,
    }
    return target_registration.TargetRegistration(**{**values, **changes})


def route(**changes: typing.Any) -> routes.Route:
    """Returns a route with some values replaced."""
    values = {
        "name": "r-1",
        "host": HOST,
        "path_prefix": "/orders/",
        "is_idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 1.0,
        "max_targets": 2,
        "priority": 1,
        "weights_by_service": {SERVICE: 1.0},
    }
    return routes.Route(**{**values, **changes})


def config(
    *found: routes.Route,
    version: int = 1,
    unreadable_routes: tuple[route_table.UnreadableRoute, ...] = (),
) -> route_table.RouteTable:
    """Returns a configuration with the given routes."""
    return route_table.RouteTable(
        version=version,
        routes=list(found),
        limits=route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100_000,
            head_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
        connection_limits_by_service={},
        unreadable_routes=unreadable_routes,
    )


def request(
    path: str = "/orders/1",
    *,
    id: str = "q1",
    deadline_ms: int = 2000,
    received_s: float = 0.0,
    body: bytes = b"",
) -> http_request.HttpRequest:
    """Returns a request of a caller."""
    return http_request.HttpRequest(
        method=b"POST",
        target=path.encode(),
        headers=[
            (b"host", HOST.encode()),
            (b"x-fuchsiacourse-request-id", id.encode()),
            (b"x-fuchsiacourse-request-deadline", b"%d" % deadline_ms),
        ],
        body=body,
        received_s=received_s,
        keeps_alive=True,
    )


class DirectRelay:
    """Relay of a front that always watches the store itself."""

    watches = True
    may_read_store = True
    has_store_contact = True
    has_proven_peer = False
    is_recovery_poller = True
    has_paused = False
    store_era = 0

    def source_of(self, follower: store_relay.CopyFollower) -> str | None:
        """Returns None: copies never come from another front."""
        return None

    async def fetch(
        self, ip: str, follower: store_relay.CopyFollower
    ) -> object_copy.CopyUpdate | None:
        """Fails: source_of never returns a front to fetch from.

        Raises:
            AssertionError: Always.
        """
        raise AssertionError("source_of has returned no front")

    def on_watch_opened(self) -> None:
        """Does nothing."""

    def on_copy_changed(self) -> None:
        """Does nothing."""

    def on_store_lost(self) -> None:
        """Does nothing."""

    def observe_era(self, era: int) -> None:
        """Does nothing."""

    def on_store_regained(self) -> None:
        """Does nothing."""


class FakeSender(target_sender.TargetSender):
    """Sender whose targets behave as a function decides.

    Args:
        behave: Called with the target and the number of attempts at it so
            far; returns the seconds until the end and the result.
    """

    def __init__(
        self,
        behave: typing.Callable[
            [targets.Target, int], tuple[float, target_sender.AttemptResult]
        ],
    ) -> None:
        self._behave = behave
        self.sent_ids: list[str] = []
        self.cancelled_ids: list[str] = []

    async def send(
        self,
        target: targets.Target,
        request: http_request.HttpRequest,
        *,
        request_id: str,
        deadline_s: float,
        is_idempotent: bool,
    ) -> target_sender.AttemptResult:
        """Waits and returns the result that the function has decided."""
        id = target.record.id
        count = self.sent_ids.count(id)
        self.sent_ids.append(id)
        wait_s, result = self._behave(target, count)
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            self.cancelled_ids.append(id)
            raise
        return result


class AcceptingConnector(reach_monitor.TargetConnector):
    """Connector whose targets accept all connections."""

    async def connect(self, target: targets.Target) -> bool:
        """Returns that the connection was accepted."""
        return True


def result(
    outcome: outcomes.Outcome, status: int | None = None
) -> target_sender.AttemptResult:
    """Returns the result of an attempt, with an answer if status is set."""
    answer = None
    if status is not None:
        answer = http_answer.HttpAnswer(
            status=status, headers=[(b"x-from", b"target")], body=b"whole"
        )
    return target_sender.AttemptResult(outcome=outcome, answer=answer)


def answered(
    *, rate_limit: float | None = None
) -> target_sender.AttemptResult:
    """Returns the result of a successful attempt.

    Args:
        rate_limit: Rate limit that the target states, None for none.
    """
    return stating(result(outcomes.Outcome.ANSWERED, _OK), rate_limit)


def stating(
    found: target_sender.AttemptResult, rate_limit: float | None
) -> target_sender.AttemptResult:
    """Returns a result with the header data of a target's answer.

    Args:
        found: Result that gets the header data.
        rate_limit: Rate limit that the target states, None for none.
    """
    found.fields = wire_protocol.AnswerFields(
        request_id="q1",
        is_signed=True,
        is_not_run=found.outcome is outcomes.Outcome.DECLINED,
        is_misdirected=False,
        load=None,
        rate_limit=rate_limit,
        idle_s=None,
    )
    return found


def rejections(
    *,
    clock: clocks.Clock | None = None,
    metrics: front_metrics.FrontMetrics | None = None,
    log: typing.Any = None,
) -> rejection_log.RejectionLog:
    """Returns a log of rejected requests, which writes nothing by default."""
    return rejection_log.RejectionLog(
        clock=clock or ManualClock(),
        protocol=wire_headers.WireHeaders(),
        metrics=metrics or front_metrics.FrontMetrics(gauges=dict),
        log=logs.silent() if log is None else log,
    )


def limits_on_answers(
    *,
    clock: clocks.Clock | None = None,
    metrics: front_metrics.FrontMetrics | None = None,
    log: typing.Any = None,
) -> answer_limits.AnswerLimits:
    """Returns the limits of a front, in real time by default."""
    clock = clock or system_clock.SystemClock()
    return answer_limits.AnswerLimits(
        clock=clock,
        work=work_share.WorkShare(clock=clock),
        metrics=metrics or front_metrics.FrontMetrics(gauges=dict),
        log=logs.silent() if log is None else log,
    )


def _raise(error: Exception) -> None:
    """Fails the run for the error of a background task."""
    raise error


def forwarder(
    sender: target_sender.TargetSender,
    *records: target_registration.TargetRegistration,
    clock: clocks.Clock | None = None,
    seed: int = 1,
    zone: str = "a",
    live_share: typing.Callable[[], float] = lambda: 1.0,
    send_evidence: evidence_collector.EvidenceSender | None = None,
    connector: reach_monitor.TargetConnector | None = None,
    on_reach_change: typing.Callable[[], None] = lambda: None,
    **bound_changes: float,
) -> forwarders.Forwarder:
    """Returns the forwarder of a front.

    Args:
        sender: Sender for the attempts.
        records: Registrations of the targets.
        clock: Source of time, None for the virtual loop's.
        seed: Seed of the random decisions.
        zone: Availability zone of the front.
        live_share: Returns the share of the region's fronts in contact.
        send_evidence: Sends evidence to other fronts, None for nowhere.
        connector: Opens connections to targets, None for one that always
            succeeds.
        on_reach_change: Called when the front is cut off from all targets,
            and when it reaches them again.
        bound_changes: Replaced values of the retry budget's bounds.
    """
    front_clock = virtual_loop.VirtualClock() if clock is None else clock
    log = logs.silent()
    metrics = front_metrics.FrontMetrics(gauges=dict)
    rng = random.Random(seed)
    table = target_table.TargetTable(clock=front_clock, log=log)
    times = service_times.ServiceTimes()
    budget = retry_budget.RetryBudget(
        clock=front_clock,
        bounds=bounds(**bound_changes),
        regions=1,
        live_share=lambda: 1.0,
        is_first_start=True,
    )
    suspects = crash_suspects.CrashSuspects(clock=front_clock)
    failures = failure_share.FailureShare()
    limiter = rate_limiter.RateLimiter(
        clock=front_clock,
        availability_zone=zone,
        regions_by_zone=ZONES,
        live_share=live_share,
    )
    for item in records:
        table.put(item)

    def ignore(evidence: evidences.Evidence) -> None:
        """Sends no evidence."""

    return forwarders.Forwarder(
        clock=front_clock,
        rng=rng,
        protocol=wire_headers.WireHeaders(),
        table=table,
        placement=placement.Placement(
            clock=front_clock,
            rng=rng,
            availability_zone=zone,
            regions_by_zone=ZONES,
            times=times,
            trials=floor_trials.FloorTrials(
                clock=front_clock,
                rng=rng,
                bounds=bounds(),
                failures=failures,
                lost_share=lambda: 0.0,
                limiter=limiter,
            ),
            limiter=limiter,
        ),
        collector=evidence_collector.EvidenceCollector(
            clock=front_clock,
            table=table,
            budget=budget,
            times=times,
            failures=failures,
            suspects=suspects,
            limiter=limiter,
            send_evidence=send_evidence or ignore,
            warn_regions=ignore,
            log=log,
        ),
        budget=budget,
        times=times,
        suspects=suspects,
        limiter=limiter,
        returns=return_order.ReturnOrder(clock=front_clock, rng=rng),
        front_count=lambda: 1,
        sender=sender,
        reach=reach_monitor.ReachMonitor(
            clock=front_clock,
            timers=timer_services.Timers(
                clock=front_clock, rng=rng, on_error=_raise
            ),
            rng=random.Random(seed),
            table=table,
            connector=connector or AcceptingConnector(),
            on_change=on_reach_change,
            log=log,
        ),
        stop=stop_schedule.StopSchedule(clock=front_clock, bounds=bounds()),
        rejections=rejections(clock=front_clock, metrics=metrics),
        metrics=metrics,
        log=log,
    )
