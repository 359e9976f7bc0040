"""Sends requests to targets over connections that are kept open."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import wire_protocol

# A connection takes two crossings, at most some 20 ms; a lost packet is
# repeated after a second, when another target is the better choice.
CONNECT_TIMEOUT_S = 0.4
# Time for which a connection stays usable without a word of the target.
DEFAULT_IDLE_S = 4.0
# Closed this long before the time that the target states, in seconds.
IDLE_MARGIN_S = 1.5
# Targets drop idle connections without notice at times, and a request that
# meets such a drop may have run; those that must not run twice go only over
# connections that were in use a moment ago.
NON_IDEMPOTENT_IDLE_S = 0.15
# A dropped idle connection is reset within a crossing or two, in seconds; one
# that ends later may have been cut off in the middle of the work.
STALE_RESET_S = 0.05
# Idle connections kept for a target, and the part of the connections that a
# target accepts which the idle ones of all fronts may take.
MAX_IDLE = 2
IDLE_CAP_SHARE = 0.5
# Longest answer of the platform's targets that is read whole.
MAX_ANSWER_BYTES = 64_000_000
# These statuses promise that a request has not run, so the front passes them
# on only if the target states it.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A target's own timeout this close to the deadline is no failure of it, in
# seconds.
DEADLINE_SLACK_S = 0.1
_TIMEOUT = 504
_HEAD = b"HEAD"


class _IdleList:
    """Idle connections of one target.

    ``idle_s`` is the time for which the target keeps them.
    """

    __slots__ = ("connections", "idle_s")

    def __init__(self) -> None:
        self.connections: list[client_connection.ClientConnection] = []
        self.idle_s = DEFAULT_IDLE_S


class PooledSender(target_sender.TargetSender):
    """Sender over HTTP/1.1.

    Args:
        clock: Source of time.
        protocol: Headers of requests and answers.
        idle_limit: Returns how many idle connections to keep to a target
            of a service.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        protocol: wire_protocol.WireProtocol,
        idle_limit: typing.Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._idle_limit = idle_limit
        self._protocol = protocol
        self._idle_by_key: dict[int, _IdleList] = {}
        self.opened_count = 0

    async def send(
        self,
        target: targets.Target,
        request: http_request.HttpRequest,
        *,
        request_id: str,
        deadline_s: float,
        is_idempotent: bool,
    ) -> target_sender.AttemptResult:
        """Sends a request and waits for the answer."""
        max_idle_s = (
            DEFAULT_IDLE_S * 10 if is_idempotent else NON_IDEMPOTENT_IDLE_S
        )
        if request.rest is not None:
            # It can't be sent again over another connection.
            max_idle_s = 0.0
        connection = self._take(
            target.key, max_idle_s, is_idempotent=is_idempotent
        )
        is_reused = connection is not None
        started_s = self._clock.now()
        if connection is None:
            try:
                connection = await self._open(target)
            except (OSError, TimeoutError) as error:
                return _ended(outcomes.Outcome.UNREACHED, error)
        result = await self._exchange(
            connection,
            target,
            request,
            request_id=request_id,
            deadline_s=deadline_s,
            is_idempotent=is_idempotent,
        )
        is_stale = (
            is_reused
            and result.outcome is outcomes.Outcome.LOST
            and self._clock.now() - started_s < STALE_RESET_S
        )
        if is_stale and is_idempotent:
            # The target has dropped the idle connection.
            self._forget(target.key)
            return await self.send(
                target,
                request,
                request_id=request_id,
                deadline_s=deadline_s,
                is_idempotent=is_idempotent,
            )
        return result

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = self._clock.now()
        for key, idle in list(self._idle_by_key.items()):
            kept = []
            for connection in idle.connections:
                if now_s - connection.idle_since_s > idle.idle_s:
                    connection.close()
                elif connection.is_usable:
                    kept.append(connection)
            idle.connections = kept
            if not kept:
                del self._idle_by_key[key]

    def close(self) -> None:
        """Closes all idle connections."""
        for key in list(self._idle_by_key):
            self._forget(key)

    async def _open(
        self, target: targets.Target
    ) -> client_connection.ClientConnection:
        self.opened_count += 1
        return await asyncio.wait_for(
            client_connection.ClientConnection.open(
                target.record.address,
                max_answer_bytes=MAX_ANSWER_BYTES,
                streams_bodies=True,
            ),
            CONNECT_TIMEOUT_S,
        )

    async def _exchange(
        self,
        connection: client_connection.ClientConnection,
        target: targets.Target,
        request: http_request.HttpRequest,
        *,
        request_id: str,
        deadline_s: float,
        is_idempotent: bool,
    ) -> target_sender.AttemptResult:
        left_s = deadline_s - self._clock.now()

        def accepts(answer: http_answer.HttpAnswer) -> bool:
            is_first = not connection.answer_count
            return self._is_ours(answer, request_id, is_first=is_first)

        try:
            answer = await asyncio.wait_for(
                connection.exchange(
                    self._encode(request, target, left_s),
                    accepts=accepts,
                    is_head=request.method == _HEAD,
                    rest=request.rest,
                    is_chunked=request.is_chunked,
                ),
                left_s,
            )
        except TimeoutError as error:
            return _ended(outcomes.Outcome.TIMED_OUT, error)
        except errors.TargetUnreachable as error:
            return _ended(outcomes.Outcome.UNREACHED, error)
        except errors.TargetBadAnswer as error:
            return _ended(outcomes.Outcome.BAD_ANSWER, error)
        except errors.TargetOutcomeUnknown as error:
            return _ended(outcomes.Outcome.LOST, error)
        fields = self._protocol.answer_fields(answer)
        result = _judged(answer, fields)
        if not fields.request_id:
            connection.echoes_request_ids = False
            if not _is_in_turn(connection, result.outcome, is_idempotent):
                result.outcome = outcomes.Outcome.BAD_ANSWER
                result.detail = "names no request"
        if result.outcome is outcomes.Outcome.BAD_ANSWER and answer.rest:
            answer.rest.close()
        if answer.rest is not None and not answer.rest.is_ended:
            answer.rest.deadline_s = deadline_s
            connection.on_idle = lambda: self._keep(
                target, connection, fields.idle_s
            )
        elif connection.is_usable:
            self._keep(target, connection, fields.idle_s)
        is_over = self._clock.now() > deadline_s - DEADLINE_SLACK_S
        is_failure = result.outcome is outcomes.Outcome.FAILED
        if is_failure and answer.status == _TIMEOUT and is_over:
            # The target has stopped at the deadline that it was given.
            result.outcome = outcomes.Outcome.TIMED_OUT
        return result

    def _is_ours(
        self,
        answer: http_answer.HttpAnswer,
        request_id: str,
        *,
        is_first: bool,
    ) -> bool:
        fields = self._protocol.answer_fields(answer)
        if fields.request_id:
            return fields.request_id == request_id
        # Without an earlier answer there is none that could be late.
        return is_first or not answer.is_success

    def _encode(
        self,
        request: http_request.HttpRequest,
        target: targets.Target,
        left_s: float,
    ) -> bytes:
        lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in self._protocol.target_headers(
            request, target_id=target.record.id, left_s=left_s
        ):
            lines.append(b"%s: %s\r\n" % (name, value))
        length = request.header(b"content-length")
        if request.is_chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif request.rest is not None:
            lines.append(b"content-length: %s\r\n" % length)
        elif request.body or length is not None:
            lines.append(b"content-length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        is_chunked = request.is_chunked
        lines.append(
            body_stream.chunk(request.body) if is_chunked else request.body
        )
        return b"".join(lines)

    def _take(
        self, key: int, max_idle_s: float, *, is_idempotent: bool
    ) -> client_connection.ClientConnection | None:
        idle = self._idle_by_key.get(key)
        if idle is None:
            return None
        now_s = self._clock.now()
        while idle.connections:
            connection = idle.connections.pop()
            age_s = now_s - connection.idle_since_s
            is_fit = age_s < max_idle_s and (
                is_idempotent or connection.echoes_request_ids
            )
            is_kept = connection.is_usable and age_s < idle.idle_s
            if is_kept and is_fit:
                return connection
            if is_kept:
                # Not fit for this request, but for others.
                idle.connections.append(connection)
                return None
            connection.close()
        return None

    def _keep(
        self,
        target: targets.Target,
        connection: client_connection.ClientConnection,
        idle_s: float | None,
    ) -> None:
        idle = self._idle_by_key.setdefault(target.key, _IdleList())
        if idle_s is not None:
            idle.idle_s = max(0.0, idle_s - IDLE_MARGIN_S)
        idle.connections.append(connection)
        if len(idle.connections) > self._idle_limit(target.record.service):
            idle.connections.pop(0).close()

    def _forget(self, key: int) -> None:
        idle = self._idle_by_key.pop(key, None)
        if idle is not None:
            for connection in idle.connections:
                connection.close()


def _ended(
    outcome: outcomes.Outcome, error: BaseException
) -> target_sender.AttemptResult:
    return target_sender.AttemptResult(outcome=outcome, detail=repr(error))


def _is_in_turn(
    connection: client_connection.ClientConnection,
    outcome: outcomes.Outcome,
    is_idempotent: bool,
) -> bool:
    """Returns whether an answer that names no request is the one waited for.

    A refusal that is believed wrongly makes a request run twice.
    """
    if outcome.is_not_run:
        return is_idempotent or not connection.is_out_of_sync
    return outcome is outcomes.Outcome.FAILED and connection.answer_count == 1


def _judged(
    answer: http_answer.HttpAnswer, fields: wire_protocol.AnswerFields
) -> target_sender.AttemptResult:
    outcome, detail = outcomes.Outcome.ANSWERED, ""
    if fields.is_misdirected:
        outcome = outcomes.Outcome.MISDIRECTED
    elif fields.is_not_run and answer.is_success:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "contradicts itself"
    elif fields.is_not_run:
        outcome = outcomes.Outcome.DECLINED
    elif answer.header(b"content-encoding") is not None:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "encoded body"
    elif not fields.is_signed and not answer.is_server_error:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "no signature"
    elif answer.status in NOT_RUN_STATUSES:
        outcome, detail = outcomes.Outcome.FAILED, "not a sure refusal"
    elif answer.is_server_error:
        outcome = outcomes.Outcome.FAILED
    return target_sender.AttemptResult(
        outcome=outcome, answer=answer, fields=fields, detail=detail
    )
