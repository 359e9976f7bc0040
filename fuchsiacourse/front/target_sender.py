"""Interface for sending one request to one target.

It separates the decisions about retries from the HTTP connections.
"""

from __future__ import annotations

import abc

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_limit
from fuchsiacourse.front import wire_protocol

# Outcomes whose answer may come from something other than the target.
_FOREIGN = frozenset(
    (outcomes.Outcome.MISDIRECTED, outcomes.Outcome.BAD_ANSWER)
)


class AttemptResult:
    """Result of one attempt.

    Args:
        outcome: How the attempt ended.
        answer: Answer of the target, None if none was received. It isn't
            trusted if the outcome is BAD_ANSWER.
        fields: Header data of the answer, None if none was received.
        detail: Cause, for the logs.
        resends: Number of times that the request was sent again to the same
            target, because a pooled connection was stale.
        connected_s: Monotonic time at which the connection was opened, in
            seconds, None if there was none.
    """

    __slots__ = (
        "outcome",
        "answer",
        "fields",
        "detail",
        "resends",
        "connected_s",
    )

    def __init__(
        self,
        *,
        outcome: outcomes.Outcome,
        answer: http_answer.HttpAnswer | None = None,
        fields: wire_protocol.AnswerFields | None = None,
        detail: str = "",
        resends: int = 0,
        connected_s: float | None = None,
    ) -> None:
        self.outcome = outcome
        self.answer = answer
        self.fields = fields
        self.detail = detail
        self.resends = resends
        self.connected_s = connected_s

    @property
    def rate_limit(self) -> float | None:
        """Limit that the target has stated, in requests per second.

        It is target_limit.UNLIMITED if the target has answered the request
        and states none, and None if the attempt doesn't tell.
        """
        if self.fields is None or self.outcome in _FOREIGN:
            return None
        if self.fields.rate_limit is not None:
            return self.fields.rate_limit
        if self.outcome is outcomes.Outcome.ANSWERED:
            return target_limit.UNLIMITED
        return None


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

        Cancelling the call aborts the attempt.

        Args:
            target: Target to which the request is sent.
            request: Request of the caller.
            request_id: Id that the answer must carry.
            deadline_s: Monotonic time at which the wait ends, in seconds.
            is_idempotent: Whether the request may run more than once.

        Returns:
            The outcome and the answer; failures are returned, not raised.
        """
