"""Port to what callers and targets say in headers."""

from __future__ import annotations

import abc

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request


class RequestFields:
    """What a caller says of its request.

    Args:
        request_id: Id of the request, empty if there is none.
        deadline_s: Time for which the caller waits, None if it didn't say.
    """

    __slots__ = ("request_id", "deadline_s")

    def __init__(self, *, request_id: str, deadline_s: float | None) -> None:
        self.request_id = request_id
        self.deadline_s = deadline_s


class LoadReport:
    """Load of a target at the time of an answer.

    Args:
        running: Requests that run.
        waiting: Requests that wait for a slot.
        slots: Requests that can run at the same time.
    """

    __slots__ = ("running", "waiting", "slots")

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class AnswerFields:
    """What a target says with its answer.

    Args:
        request_id: Id of the request that it answers, empty if not named.
        is_signed: Whether the answer bears the target's signature.
        is_not_run: Whether the target states that it has not run the
            request.
        is_misdirected: Whether another target was expected there.
        load: Load of the target, None if it doesn't tell.
        idle_s: Time for which it keeps an idle connection, or None.
    """

    __slots__ = (
        "request_id",
        "is_signed",
        "is_not_run",
        "is_misdirected",
        "load",
        "idle_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        is_signed: bool,
        is_not_run: bool,
        is_misdirected: bool,
        load: LoadReport | None,
        idle_s: float | None,
    ) -> None:
        self.request_id = request_id
        self.is_signed = is_signed
        self.is_not_run = is_not_run
        self.is_misdirected = is_misdirected
        self.load = load
        self.idle_s = idle_s


class WireProtocol(abc.ABC):
    """Reads and writes the headers between callers, fronts and targets."""

    __slots__ = ()

    @abc.abstractmethod
    def request_fields(
        self, request: http_request.HttpRequest
    ) -> RequestFields:
        """Returns what a caller says of its request."""

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
            target_id: Target that must answer, no other.
            left_s: Time that is left, in seconds.
        """

    @abc.abstractmethod
    def answer_fields(self, answer: http_answer.HttpAnswer) -> AnswerFields:
        """Returns what a target says with its answer."""

    @abc.abstractmethod
    def local_answer_headers(
        self, *, request_id: str, retry_after_s: float | None
    ) -> http_request.Headers:
        """Returns the headers of an answer of the front's own.

        Args:
            request_id: Id of the request, empty if there is none.
            retry_after_s: Time after which the caller may come back.
        """
