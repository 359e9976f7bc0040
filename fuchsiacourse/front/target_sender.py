"""Port to targets: sends one request to one target."""

from __future__ import annotations

import abc

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import wire_protocol


class AttemptResult:
    """How a sending ended.

    Args:
        outcome: Kind of end.
        answer: Answer of the target, None if there is none to be trusted.
        terms: What the target said with its answer.
        detail: Cause for the logs.
    """

    __slots__ = ("outcome", "answer", "fields", "detail")

    def __init__(
        self,
        *,
        outcome: outcomes.Outcome,
        answer: http_answer.HttpAnswer | None = None,
        fields: wire_protocol.AnswerFields | None = None,
        detail: str = "",
    ) -> None:
        self.outcome = outcome
        self.answer = answer
        self.fields = fields
        self.detail = detail


class TargetSender(abc.ABC):
    """Sends requests to targets."""

    __slots__ = ()

    @abc.abstractmethod
    async def send(
        self,
        target: targets.Target,
        request: http_request.HttpRequest,
        *,
        request_id: str,
        deadline_s: float,
        is_idempotent: bool,
    ) -> AttemptResult:
        """Sends a request and waits for the answer.

        Cancelling the call breaks the sending off.

        Args:
            target: Where to send it.
            request: Request of the caller.
            request_id: Id that the answer must bear.
            deadline_s: Monotonic time at which the wait ends, in seconds.
            is_idempotent: Whether the request may run again.
        """
