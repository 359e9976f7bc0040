"""Routes requests and starts a run for each."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import evidence_collector
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import placement as placements
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import rejection_log
from fuchsiacourse.front import request_run
from fuchsiacourse.front import retry_budget
from fuchsiacourse.front import return_order
from fuchsiacourse.front import route_table
from fuchsiacourse.front import service_times
from fuchsiacourse.front import stop_schedule
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import target_table
from fuchsiacourse.front import wire_protocol
from fuchsiacourse import logs

# Value of Retry-After in 503 answers of the forwarder, in seconds.
REFUSAL_RETRY_S = 1.0
# The same while this front is cut off from all targets or shuts down, in
# seconds: another front can take the request as soon as the caller has
# connected to it.
ELSEWHERE_RETRY_S = 0.1
# Limit of requests in flight at a front; above it the host lacks the memory
# and processor time to serve them before their deadlines.
MAX_IN_FLIGHT = 1000

_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503


class Forwarder:
    """Routes requests, starts their runs and answers unroutable ones.

    Args:
        clock: Source of time.
        rng: Source of randomness.
        protocol: Headers of requests and answers.
        table: Targets.
        placement: Chooses targets.
        collector: Collects evidence of the targets' health.
        budget: Retry budget.
        times: Usual response times of the services.
        suspects: Requests suspected of crashing targets.
        limiter: Spaces the starts at targets with a rate limit.
        returns: Decides when refused callers return.
        front_count: Returns the number of the region's fronts in contact,
            with this one.
        sender: Sends requests to targets.
        reach: Finds out whether this front is cut off from all targets.
        stop: Times of this front's shutdown.
        rejections: Logs and counts rejected requests.
        metrics: Metrics of the front.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        protocol: wire_protocol.WireProtocol,
        table: target_table.TargetTable,
        placement: placements.Placement,
        collector: evidence_collector.EvidenceCollector,
        budget: retry_budget.RetryBudget,
        times: service_times.ServiceTimes,
        suspects: crash_suspects.CrashSuspects,
        limiter: rate_limiter.RateLimiter,
        returns: return_order.ReturnOrder,
        front_count: typing.Callable[[], int],
        sender: target_sender.TargetSender,
        reach: reach_monitor.ReachMonitor,
        stop: stop_schedule.StopSchedule,
        rejections: rejection_log.RejectionLog,
        metrics: front_metrics.FrontMetrics,
        log: typing.Any,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.protocol = protocol
        self.table = table
        self.placement = placement
        self.collector = collector
        self.budget = budget
        self.times = times
        self.suspects = suspects
        self.limiter = limiter
        self.returns = returns
        self.front_count = front_count
        self.sender = sender
        self.reach = reach
        self.stop = stop
        self._rejections = rejections
        self.metrics = metrics
        self.log = log
        # Runs whose request has no final answer yet.
        self._runs: set[request_run.RequestRun] = set()
        # Returns whether the configuration is confirmed to be up to date.
        self.is_config_current: typing.Callable[[], bool] = lambda: True
        self.config: route_table.RouteTable | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests without a final answer."""
        return len(self._runs)

    def end_runs(self) -> None:
        """Lets all requests in progress get their final answers now."""
        for run in list(self._runs):
            run.end()

    def end_late_uploads(self) -> None:
        """Ends the runs whose bodies are forwarded and come too late.

        They can't be refused, because a target may act on part of a body.
        """
        for run in list(self._runs):
            usual_s = self.times.usual_s(run.service)
            if run.is_receiving and not self.stop.may_finish(usual_s):
                run.end()

    async def handle(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the final answer to a request.

        A request without an id or a known route is rejected with 400 or 404.
        It is refused with 503 if the front has no configuration, if its route
        may be missing because the configuration is stale or partly unreadable,
        if the front is full, cut off from all targets or about to exit, or if
        the request is blocked as a crash suspect.

        Args:
            request: Request of a caller.
            presence: Signals that the caller has disconnected.
        """
        fields = self.protocol.request_fields(request)
        if self.config is None:
            return self._refuse(fields, request, "no configuration yet")
        if not fields.request_id:
            return self._reject(fields, request, _BAD_REQUEST, "no request id")
        route = self.config.find(request.host, request.path)
        if route is None:
            if not self.is_config_current():
                return self._refuse(fields, request, "configuration is old")
            if self.config.may_be_unreadable(request.host, request.path):
                return self._refuse(fields, request, "route can't be read")
            return self._reject(fields, request, _NOT_FOUND, "no such route")
        if self.in_flight >= MAX_IN_FLIGHT:
            return self._refuse(fields, request, "too many requests in flight")
        if self.reach.is_cut_off:
            return self._refuse(
                fields,
                request,
                "no target can be reached",
                retry_after_s=ELSEWHERE_RETRY_S,
            )
        service = route.choose_service(self.rng.random())
        if not self.stop.may_serve(
            self.times.usual_s(service), begun_s=request.received_s
        ):
            return self._refuse_for_stop(fields, request)
        fingerprint = crash_suspects.fingerprint_of(request)
        if self.suspects.is_blocked(fingerprint):
            return self._refuse(fields, request, "the request crashes targets")
        run = request_run.RequestRun(
            front=self,
            request=request,
            fields=fields,
            route=route,
            service=service,
            fingerprint=fingerprint,
            presence=presence,
        )
        self._runs.add(run)
        try:
            return await run.answer()
        finally:
            self._runs.remove(run)

    def refuse_unread(
        self, request: http_request.HttpRequest
    ) -> http_answer.HttpAnswer | None:
        """Returns the refusal of a request whose body is still being read.

        Args:
            request: Head of the request.

        Returns:
            None if the request may still be served once its body is whole.
        """
        if not self.stop.has_begun:
            return None
        route = None
        if self.config is not None:
            route = self.config.find(request.host, request.path)
        usual_s = 0.0
        if route is not None:
            usual_s = min(
                self.times.usual_s(service)
                for service in route.weights_by_service
            )
        if self.stop.may_serve(usual_s, begun_s=request.received_s):
            return None
        fields = self.protocol.request_fields(request)
        return self._refuse_for_stop(fields, request)

    def local_answer(
        self,
        fields: wire_protocol.RequestFields,
        status: int,
        detail: str,
        *,
        retry_after_s: float | None = None,
    ) -> http_answer.HttpAnswer:
        """Returns an answer made by the front itself.

        Args:
            fields: Request id and deadline that the caller has set.
            status: Status of the answer.
            detail: Text of the body.
            retry_after_s: Value of Retry-After in seconds, None for no such
                header.
        """
        return http_answer.HttpAnswer(
            status=status,
            headers=self.protocol.local_answer_headers(
                request_id=fields.request_id, retry_after_s=retry_after_s
            ),
            body=detail.encode() + b"\n",
        )

    def _refuse_for_stop(
        self,
        fields: wire_protocol.RequestFields,
        request: http_request.HttpRequest,
    ) -> http_answer.HttpAnswer:
        return self._refuse(
            fields,
            request,
            "this front shuts down",
            retry_after_s=ELSEWHERE_RETRY_S,
        )

    def _reject(
        self,
        fields: wire_protocol.RequestFields,
        request: http_request.HttpRequest,
        status: int,
        reason: str,
    ) -> http_answer.HttpAnswer:
        self._rejections.record_rejection(request, status, reason)
        return self.local_answer(fields, status, reason)

    def _refuse(
        self,
        fields: wire_protocol.RequestFields,
        request: http_request.HttpRequest,
        reason: str,
        *,
        retry_after_s: float = REFUSAL_RETRY_S,
    ) -> http_answer.HttpAnswer:
        version = self.config.version if self.config is not None else None
        self.metrics.count("front_refusals_total", reason=reason)
        logs.event(
            self.log,
            "request_refused",
            request_id=fields.request_id,
            host=request.host,
            reason=reason,
            config_version=version,
        )
        return self.local_answer(
            fields, _UNAVAILABLE, reason, retry_after_s=retry_after_s
        )
