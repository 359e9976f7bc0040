"""Sends requests to targets over pooled HTTP/1.1 connections."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import wire_protocol

# Connecting takes one round trip, at most some 20 ms. A lost packet is
# retransmitted after a second, by which time another target is the better
# choice.
CONNECT_TIMEOUT_S = 0.4
# Time for which an idle connection is kept if the target states no timeout, in
# seconds.
DEFAULT_IDLE_S = 4.0
# Longest time for which an idle connection is used, whatever the target
# states, in seconds.
MAX_IDLE_S = 40.0
# Idle connections are closed this long before the idle timeout that the
# target states, in seconds.
IDLE_MARGIN_S = 1.5
# Time after a send within which a connection that the target had already
# closed is reset, in seconds; it takes one or two one-way network delays. A
# connection that is lost later may have been cut off while the target was
# working on the request.
STALE_RESET_S = 0.05
# Limit of the idle connections that a front keeps to each target.
MAX_IDLE = 2
# Part of a target's connection limit that the idle connections of all fronts
# together may use.
IDLE_CAP_SHARE = 0.5
# Longest body of an answer that is buffered, in bytes.
MAX_ANSWER_BYTES = 64_000_000
# Statuses that tell the caller that its request has not run. The front doesn't
# forward them; it refuses the request itself if the target confirms that it
# has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Time before the deadline from which a 504 of the target isn't counted as its
# failure, in seconds.
DEADLINE_SLACK_S = 0.1
_TIMEOUT = 504
_HEAD = b"HEAD"


class _IdleList:
    """Idle connections to one target.

    ``idle_s`` is the time for which they are kept, in seconds.
    """

    __slots__ = ("connections", "idle_s")

    def __init__(self) -> None:
        self.connections: list[client_connection.ClientConnection] = []
        self.idle_s = DEFAULT_IDLE_S


class PooledSender(target_sender.TargetSender, reach_monitor.TargetConnector):
    """Sends requests to targets over HTTP/1.1 and pools the connections.

    Args:
        clock: Source of time.
        protocol: Writes and reads the platform's headers.
        limits: Limits of the work for answers.
        idle_limit: Returns the number of idle connections to keep to a
            target of the given service.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        protocol: wire_protocol.WireProtocol,
        limits: answer_limits.AnswerLimits,
        idle_limit: typing.Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._idle_limit = idle_limit
        self._protocol = protocol
        self._limits = limits
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
        """Sends a request and waits for the answer.

        An idempotent request is sent again at once if its pooled connection
        turns out to be stale. See the base class for the arguments.
        """
        # A target may close an idle connection at any time, and it may send an
        # answer twice. A request that must not run twice, or whose body can't
        # be sent again, therefore has a connection of its own, on which each
        # answer can only be its own.
        connection = None
        if is_idempotent and request.rest is None:
            connection = self._take_idle(target.key)
        is_reused = connection is not None
        started_s = self._clock.now()
        if connection is None:
            try:
                connection = await self._open(target)
            except (OSError, TimeoutError) as error:
                return _failed_result(outcomes.Outcome.UNREACHED, error)
        result = await self._exchange(
            connection,
            target,
            request,
            request_id=request_id,
            deadline_s=deadline_s,
            is_idempotent=is_idempotent,
        )
        result.connected_s = connection.opened_s
        is_stale = (
            is_reused
            and result.outcome is outcomes.Outcome.LOST
            and self._clock.now() - started_s < STALE_RESET_S
        )
        if is_stale and is_idempotent and target.is_usable:
            # The target had closed the idle connection, so none of its idle
            # connections is trusted.
            self._close_idle(target.key)
            result = await self.send(
                target,
                request,
                request_id=request_id,
                deadline_s=deadline_s,
                is_idempotent=is_idempotent,
            )
            result.resends += 1
        return result

    async def connect(self, target: targets.Target) -> bool:
        """Opens and closes a connection; returns whether it was accepted."""
        try:
            connection = await self._open(target)
        except (OSError, TimeoutError):
            return False
        connection.close()
        return True

    def sweep(self) -> None:
        """Closes connections that have been idle beyond their timeout."""
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
            self._close_idle(key)

    async def _open(
        self, target: targets.Target
    ) -> client_connection.ClientConnection:
        self.opened_count += 1
        return await asyncio.wait_for(
            client_connection.ClientConnection.open(
                target.record.address,
                limits=self._limits,
                source=target.record.id,
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
            return self._matches_request(answer, request_id, is_first=is_first)

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
            return _failed_result(outcomes.Outcome.TIMED_OUT, error)
        except errors.TargetUnreachable as error:
            return _failed_result(outcomes.Outcome.UNREACHED, error)
        except errors.TargetBadAnswer as error:
            return _failed_result(outcomes.Outcome.BAD_ANSWER, error)
        except errors.TargetOutcomeUnknown as error:
            return _failed_result(outcomes.Outcome.LOST, error)
        fields = self._protocol.answer_fields(answer)
        result = _classify(answer, fields)
        if not fields.request_id:
            if not _is_trusted_without_id(
                connection, result.outcome, is_idempotent
            ):
                result.outcome = outcomes.Outcome.BAD_ANSWER
                result.detail = "answer without request id"
        if result.outcome is outcomes.Outcome.BAD_ANSWER and answer.rest:
            answer.rest.close()
        if answer.rest is not None and not answer.rest.is_ended:
            answer.rest.deadline_s = deadline_s
            connection.on_idle = lambda: self._pool(
                target, connection, fields.idle_s
            )
        elif connection.is_usable:
            self._pool(target, connection, fields.idle_s)
        is_at_deadline = self._clock.now() > deadline_s - DEADLINE_SLACK_S
        is_failure = result.outcome is outcomes.Outcome.FAILED
        if is_failure and answer.status == _TIMEOUT and is_at_deadline:
            # The target has stopped at the deadline of the request.
            result.outcome = outcomes.Outcome.TIMED_OUT
        return result

    def _matches_request(
        self,
        answer: http_answer.HttpAnswer,
        request_id: str,
        *,
        is_first: bool,
    ) -> bool:
        fields = self._protocol.answer_fields(answer)
        if fields.request_id:
            return fields.request_id == request_id
        # The first answer on a connection can't be a late one. Whether an
        # accepted answer counts is decided by _is_trusted_without_id.
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

    def _take_idle(
        self, key: int
    ) -> client_connection.ClientConnection | None:
        idle = self._idle_by_key.get(key)
        if idle is None:
            return None
        now_s = self._clock.now()
        max_idle_s = min(idle.idle_s, MAX_IDLE_S)
        while idle.connections:
            connection = idle.connections.pop()
            age_s = now_s - connection.idle_since_s
            if connection.is_usable and age_s < max_idle_s:
                return connection
            connection.close()
        return None

    def _pool(
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

    def _close_idle(self, key: int) -> None:
        idle = self._idle_by_key.pop(key, None)
        if idle is not None:
            for connection in idle.connections:
                connection.close()


def _failed_result(
    outcome: outcomes.Outcome, error: BaseException
) -> target_sender.AttemptResult:
    return target_sender.AttemptResult(outcome=outcome, detail=repr(error))


def _is_trusted_without_id(
    connection: client_connection.ClientConnection,
    outcome: outcomes.Outcome,
    is_idempotent: bool,
) -> bool:
    """Returns whether an answer without a request id can be trusted.

    Mistaking a late "not run" answer for this request's would make the
    request run twice.
    """
    if outcome.is_not_run:
        return is_idempotent or not connection.is_out_of_sync
    return outcome is outcomes.Outcome.FAILED and connection.answer_count == 1


def _classify(
    answer: http_answer.HttpAnswer, fields: wire_protocol.AnswerFields
) -> target_sender.AttemptResult:
    outcome, detail = outcomes.Outcome.ANSWERED, ""
    if fields.is_misdirected:
        outcome = outcomes.Outcome.MISDIRECTED
    elif fields.is_not_run and answer.is_success:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "success marked not run"
    elif fields.is_not_run:
        outcome = outcomes.Outcome.DECLINED
    elif answer.header(b"content-encoding") is not None:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "unexpected encoding"
    elif not fields.is_signed and not answer.is_server_error:
        outcome, detail = outcomes.Outcome.BAD_ANSWER, "unsigned answer"
    elif answer.status in NOT_RUN_STATUSES:
        outcome, detail = outcomes.Outcome.FAILED, "not confirmed as not run"
    elif answer.is_server_error:
        outcome = outcomes.Outcome.FAILED
    return target_sender.AttemptResult(
        outcome=outcome, answer=answer, fields=fields, detail=detail
    )
