"""Builds and logs the final answer to a request."""

from __future__ import annotations

import collections.abc
import typing

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import pooled_sender
from fuchsiacourse.front import request_events
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import wire_protocol

if typing.TYPE_CHECKING:
    from fuchsiacourse.front import forwarder

# Value of Retry-After in 503 answers, in seconds; a full queue needs some of
# the usual response time to get shorter.
NOT_RUN_RETRY_S = 0.5

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMEOUT = 504


class FinalAnswers:
    """Builds the final answer to one request and logs it.

    Args:
        front: The front; its clock, retry budget and local answers are used.
        request: The request.
        fields: Id and deadline of the request from its headers.
        service: Service that serves it.
        events: Logs and counts the events of the request.
    """

    __slots__ = ("_front", "_request", "_fields", "_service", "_events")

    def __init__(
        self,
        *,
        front: forwarder.Forwarder,
        request: http_request.HttpRequest,
        fields: wire_protocol.RequestFields,
        service: str,
        events: request_events.RequestEvents,
    ) -> None:
        self._front = front
        self._request = request
        self._fields = fields
        self._service = service
        self._events = events

    def from_target(
        self,
        answer: http_answer.HttpAnswer,
        target: targets.Target,
        attempts: int,
    ) -> http_answer.HttpAnswer:
        """Returns a target's answer for the caller.

        Args:
            answer: Answer of the target.
            target: Target that answered.
            attempts: Number of attempts so far.
        """
        self._events.log_stream_end(answer, target)
        return self._log(
            answer.without_hop_by_hop(), "answered", attempts, target
        )

    def caller_disconnected(self, attempts: int) -> http_answer.HttpAnswer:
        """Returns an answer for the log only; the caller is gone."""
        return self._local_answer(
            _TIMEOUT, "the caller has left", "caller left", attempts
        )

    def timed_out(self, attempts: int) -> http_answer.HttpAnswer:
        """Returns a 504; a target may have run the request."""
        return self._local_answer(
            _TIMEOUT,
            "no answer in time; it may have run",
            "deadline passed",
            attempts,
        )

    def shut_down(
        self, *, may_have_run: bool, attempts: int
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a request that this front can't finish.

        Args:
            may_have_run: Whether a target may have run the request.
            attempts: Number of attempts so far.
        """
        if may_have_run:
            return self._local_answer(
                _TIMEOUT,
                "this front shuts down; it may have run",
                "front shut down",
                attempts,
            )
        return self.unavailable(
            "this front shuts down", attempts, retry_after_s=0.0
        )

    def unavailable(
        self,
        reason: str,
        attempts: int,
        *,
        retry_after_s: float = NOT_RUN_RETRY_S,
    ) -> http_answer.HttpAnswer:
        """Returns a 503: the request has not run and never will.

        Args:
            reason: Explanation for the caller and cause for the log.
            attempts: Number of attempts so far.
            retry_after_s: Time after which the caller may return, in seconds.
        """
        answer = self._front.local_answer(
            self._fields, _UNAVAILABLE, reason, retry_after_s=retry_after_s
        )
        return self._log(answer, reason, attempts)

    def no_target(
        self,
        found: collections.abc.Sequence[targets.Target],
        attempts: int = 0,
    ) -> http_answer.HttpAnswer:
        """Returns a 503 for a request that no target may get now.

        If the targets are at their rate limits or want nothing for some time,
        the caller learns when one of them takes its request.

        Args:
            found: Targets of the service.
            attempts: Number of attempts so far.
        """
        opens_in_s = self._front.limiter.wait_s(found)
        if opens_in_s is None:
            return self.unavailable("no target is known", attempts)
        wait_s = self._front.returns.next_wait_s(
            self._service,
            opens_in_s=opens_in_s,
            rate_per_s=self._front.limiter.rate_per_s(found)
            / self._front.front_count(),
        )
        return self.unavailable(
            "all targets are at their limits",
            attempts,
            retry_after_s=wait_s,
        )

    def all_attempts_failed(
        self,
        failure: target_sender.AttemptResult | None,
        *,
        may_have_run: bool,
        attempts: int,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a request whose attempts have all failed.

        Args:
            failure: Most informative result of an attempt, None if no
                attempt has ended.
            may_have_run: Whether a target may have run the request.
            attempts: Number of attempts so far.
        """
        if not may_have_run:
            return self.unavailable(
                "no target has taken the request", attempts
            )
        if failure is not None and _is_forwarded(failure):
            assert failure.answer is not None
            return self._log(
                failure.answer.without_hop_by_hop(),
                "failed at the target",
                attempts,
            )
        if (
            failure is not None
            and failure.outcome is outcomes.Outcome.TIMED_OUT
        ):
            return self.timed_out(attempts)
        return self._local_answer(
            _BAD_GATEWAY,
            "no whole answer; it may have run",
            "no whole answer",
            attempts,
        )

    def _local_answer(
        self, status: int, detail: str, cause: str, attempts: int
    ) -> http_answer.HttpAnswer:
        answer = self._front.local_answer(self._fields, status, detail)
        return self._log(answer, cause, attempts)

    def _log(
        self,
        answer: http_answer.HttpAnswer,
        cause: str,
        attempts: int,
        target: targets.Target | None = None,
    ) -> http_answer.HttpAnswer:
        took_s = self._front.clock.now() - self._request.received_s
        self._events.log_answered(
            answer.status,
            cause=cause,
            target=target,
            attempts=attempts,
            took_s=took_s,
            retries_left=self._front.budget.remaining(self._service),
        )
        return answer


def _is_forwarded(failure: target_sender.AttemptResult) -> bool:
    """Returns whether to forward the answer of a failed attempt.

    Only server errors are forwarded. A status that states that the request
    has not run may be wrong for another attempt, and any other status would
    blame the caller.
    """
    return (
        failure.answer is not None
        and failure.answer.is_server_error
        and failure.outcome
        in (outcomes.Outcome.FAILED, outcomes.Outcome.TIMED_OUT)
        and failure.answer.status not in pooled_sender.NOT_RUN_STATUSES
    )
