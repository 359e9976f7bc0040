"""Writes the log lines and metrics of one request."""

from __future__ import annotations

import typing

from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender
from fuchsiacourse import logs


class RequestEvents:
    """Logs and counts the attempts and the final answer of a request.

    Args:
        log: Logger.
        metrics: Metrics of the front.
        request_id: Id of the request.
        route: Route of the request.
        service: Service that serves it.
    """

    __slots__ = ("_log", "_metrics", "_request_id", "_route", "_service")

    def __init__(
        self,
        *,
        log: typing.Any,
        metrics: front_metrics.FrontMetrics,
        request_id: str,
        route: routes.Route,
        service: str,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._request_id = request_id
        self._route = route
        self._service = service

    def log_sent(
        self,
        target: targets.Target,
        *,
        now_s: float,
        left_s: float,
        config_version: int,
        retry_of: str,
    ) -> None:
        """Logs the start of an attempt with the state of its target.

        Args:
            target: Chosen target.
            now_s: Monotonic time in seconds.
            left_s: Time until the deadline in seconds.
            config_version: Version of the configuration in force.
            retry_of: Outcome of the attempt that this one follows, empty
                for the first attempt.
        """
        logs.event(
            self._log,
            "request_sent",
            request_id=self._request_id,
            route=self._route.name,
            config_version=config_version,
            service=self._service,
            target=target.record.id,
            sickness=round(target.failure_probability(now_s), 3),
            load=round(target.load.in_flight(now_s), 1),
            rate_limit=(
                target.limit.rate_per_s if target.limit.is_stated else None
            ),
            left_ms=int(left_s * 1000.0),
            repeat_of=retry_of,
        )

    def log_held(self, target: targets.Target, retry_after_s: float) -> None:
        """Logs that a target wants nothing from this front for some time.

        Args:
            target: Target of the attempt.
            retry_after_s: That time in seconds.
        """
        logs.event(
            self._log,
            "target_held",
            request_id=self._request_id,
            service=self._service,
            target=target.record.id,
            retry_after_s=retry_after_s,
        )

    def log_ended(
        self,
        target: targets.Target,
        result: target_sender.AttemptResult,
        *,
        took_s: float,
        connected_for_s: float | None,
    ) -> None:
        """Logs and counts the end of an attempt.

        For an answer the line says whether the target has signed it, whether
        it carries a request id, and which rate limit it states.

        Args:
            target: Target of the attempt.
            result: Result of the attempt.
            took_s: Time from the start to the end, in seconds.
            connected_for_s: Age of its connection at the end, in seconds,
                None if there was none.
        """
        fields = result.fields
        self._metrics.count(
            "front_sendings_total",
            service=self._service,
            outcome=result.outcome.name,
        )
        logs.event(
            self._log,
            "sending_ended",
            request_id=self._request_id,
            target=target.record.id,
            outcome=result.outcome.name,
            status=None if result.answer is None else result.answer.status,
            signed=None if fields is None else fields.is_signed,
            named=None if fields is None else bool(fields.request_id),
            rate_limit=None if fields is None else fields.rate_limit,
            took_ms=int(took_s * 1000.0),
            connected_ms=(
                None
                if connected_for_s is None
                else int(connected_for_s * 1000.0)
            ),
            detail=result.detail,
        )

    def log_stream_end(
        self, answer: http_answer.HttpAnswer, target: targets.Target
    ) -> None:
        """Registers a callback that logs how the streaming of an answer ends.

        It does nothing for an answer that isn't streamed.
        """

        def log_end(error: Exception | None) -> None:
            logs.event(
                self._log,
                "answer_passed_on",
                request_id=self._request_id,
                target=target.record.id,
                whole=error is None,
                error="" if error is None else str(error),
            )

        if answer.rest is not None:
            answer.rest.on_end = log_end

    def log_answered(
        self,
        status: int,
        *,
        cause: str,
        target: targets.Target | None,
        attempts: int,
        took_s: float,
        retries_left: float,
    ) -> None:
        """Logs and counts the final answer.

        Args:
            status: Status of the answer.
            cause: Why this is the final answer.
            target: Target whose successful answer is delivered, None for
                any other answer.
            attempts: Number of attempts.
            took_s: Time since the request was received, in seconds.
            retries_left: Retries left in the service's retry budget.
        """
        self._metrics.count(
            "front_requests_total", service=self._service, status=str(status)
        )
        self._metrics.observe(
            "front_request_seconds", took_s, service=self._service
        )
        logs.event(
            self._log,
            "request_answered",
            request_id=self._request_id,
            route=self._route.name,
            service=self._service,
            status=status,
            cause=cause,
            target=None if target is None else target.record.id,
            sendings=attempts,
            took_ms=int(took_s * 1000.0),
            repeats_left=round(retries_left, 1),
        )
