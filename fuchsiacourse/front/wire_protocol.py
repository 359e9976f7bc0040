"""Interface to the headers that callers, fronts and targets exchange."""

from __future__ import annotations

import abc

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request


class RequestFields:
    """Id and deadline from the headers of a caller's request.

    Args:
        request_id: Id of the request, empty if there is none.
        timeout_s: Time for which the caller waits, in seconds, None if it
            is not stated.
    """

    __slots__ = ("request_id", "timeout_s")

    def __init__(self, *, request_id: str, timeout_s: float | None) -> None:
        self.request_id = request_id
        self.timeout_s = timeout_s


class LoadReport:
    """Load that a target reports with an answer.

    Args:
        running: Number of requests that run.
        waiting: Number of requests that wait for a slot.
        slots: Number of requests that can run at the same time.
    """

    __slots__ = ("running", "waiting", "slots")

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class AnswerFields:
    """Values from the headers of a target's answer.

    Args:
        request_id: Id of the answered request, empty if it is not stated.
        is_signed: Whether the answer bears the target's signature.
        is_not_run: Whether the target states that it has not run the
            request.
        is_misdirected: Whether the request named another target than the
            one that answers.
        load: Load of the target, None if it is not reported.
        rate_limit: Requests per second that the target takes from all fronts
            together, None if it states no limit.
        idle_s: Time for which the target keeps an idle connection open, in
            seconds, None if it is not stated.
        is_leaving: Whether the target states that it leaves.
        retry_after_s: Time for which the target wants nothing from this front,
            in seconds, None if it is not stated.
    """

    __slots__ = (
        "request_id",
        "is_signed",
        "is_not_run",
        "is_misdirected",
        "load",
        "rate_limit",
        "idle_s",
        "is_leaving",
        "retry_after_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        is_signed: bool,
        is_not_run: bool,
        is_misdirected: bool,
        load: LoadReport | None,
        rate_limit: float | None,
        idle_s: float | None,
        is_leaving: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.is_signed = is_signed
        self.is_not_run = is_not_run
        self.is_misdirected = is_misdirected
        self.load = load
        self.rate_limit = rate_limit
        self.idle_s = idle_s
        self.is_leaving = is_leaving
        self.retry_after_s = retry_after_s


class WireProtocol(abc.ABC):
    """Reads and writes the headers between callers, fronts and targets."""

    __slots__ = ()

    @abc.abstractmethod
    def request_fields(
        self, request: http_request.HttpRequest
    ) -> RequestFields:
        """Returns the id and the deadline of a caller's request."""

    @abc.abstractmethod
    def target_headers(
        self,
        request: http_request.HttpRequest,
        *,
        target_id: str,
        left_s: float,
    ) -> http_request.Headers:
        """Returns the end-to-end headers of a request to a target.

        Args:
            request: Request of the caller.
            target_id: Id of the only target that may answer.
            left_s: Time until the deadline, in seconds.
        """

    @abc.abstractmethod
    def answer_fields(self, answer: http_answer.HttpAnswer) -> AnswerFields:
        """Returns the values from the headers of an answer."""

    @abc.abstractmethod
    def local_answer_headers(
        self, *, request_id: str, retry_after_s: float | None
    ) -> http_request.Headers:
        """Returns the headers of an answer that the front itself makes.

        Args:
            request_id: Id of the request, empty if there is none.
            retry_after_s: Time after which the caller may retry, in seconds,
                None if it is not stated.
        """
