"""Final answers of a request, each with its line in the log."""

from __future__ import annotations

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

# A refusal whose cause is a lack of room asks the caller to wait this long,
# in seconds; a full queue needs some of the usual time to get shorter.
RETRY_AFTER_S = 0.5

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMEOUT = 504


class FinalAnswers:
    """Makes the final answer of one request.

    Args:
        front: Parts of the front that are used.
        request: The request.
        terms: What the caller says of it.
        service: Service that serves it.
        events: Log lines and metrics of the request.
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
        sendings: int,
    ) -> http_answer.HttpAnswer:
        """Passes on the answer of a target."""
        self._events.log_stream_end(answer, target)
        return self._log(
            answer.without_hop_by_hop(), "answered", sendings, target
        )

    def caller_disconnected(self, sendings: int) -> http_answer.HttpAnswer:
        """Ends the request of a caller that nobody answers any more."""
        return self._own(
            _TIMEOUT, "the caller has left", "caller left", sendings
        )

    def timed_out(self, sendings: int) -> http_answer.HttpAnswer:
        """Answers that the time is over."""
        return self._own(
            _TIMEOUT,
            "no answer in time; it may have run",
            "deadline passed",
            sendings,
        )

    def unavailable(
        self, reason: str, sendings: int
    ) -> http_answer.HttpAnswer:
        """Promises that the request has not run and never will."""
        answer = self._front.local_answer(
            self._fields, _UNAVAILABLE, reason, retry_after_s=RETRY_AFTER_S
        )
        return self._log(answer, reason, sendings)

    def all_attempts_failed(
        self,
        failure: target_sender.AttemptResult | None,
        *,
        may_have_run: bool,
        sendings: int,
    ) -> http_answer.HttpAnswer:
        """Answers a request that no target has served.

        Args:
            failure: The end of a sending that says most, None if no sending
                has ended.
            may_have_run: Whether a target may have run the request.
            sendings: Sendings so far.
        """
        if not may_have_run:
            return self.unavailable(
                "no target has taken the request", sendings
            )
        if failure is not None and _is_passed_on(failure):
            assert failure.answer is not None
            return self._log(
                failure.answer.without_hop_by_hop(),
                "failed at the target",
                sendings,
            )
        if (
            failure is not None
            and failure.outcome is outcomes.Outcome.TIMED_OUT
        ):
            return self.timed_out(sendings)
        return self._own(
            _BAD_GATEWAY,
            "no whole answer; it may have run",
            "no whole answer",
            sendings,
        )

    def _own(
        self, status: int, detail: str, cause: str, sendings: int
    ) -> http_answer.HttpAnswer:
        answer = self._front.local_answer(self._fields, status, detail)
        return self._log(answer, cause, sendings)

    def _log(
        self,
        answer: http_answer.HttpAnswer,
        cause: str,
        sendings: int,
        target: targets.Target | None = None,
    ) -> http_answer.HttpAnswer:
        took_s = self._front.clock.now() - self._request.received_s
        self._events.log_answered(
            answer.status,
            cause=cause,
            target=target,
            sendings=sendings,
            took_s=took_s,
            repeats_left=self._front.budget.remaining(self._service),
        )
        return answer


def _is_passed_on(failure: target_sender.AttemptResult) -> bool:
    """Returns whether the answer of a failed sending is the final one.

    Only server errors are: a status that promises that nothing has run may
    be untrue of another sending, and the rest would blame the caller.
    """
    return (
        failure.answer is not None
        and failure.answer.is_server_error
        and failure.outcome
        in (outcomes.Outcome.FAILED, outcomes.Outcome.TIMED_OUT)
        and failure.answer.status not in pooled_sender.NOT_RUN_STATUSES
    )
