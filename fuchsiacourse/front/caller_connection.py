"""Connection of a caller."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table

# Pipelined requests that may wait before reading stops.
MAX_QUEUED = 16
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_TIMEOUT = 408
_SERVER_ERROR = 500
_UNAVAILABLE = 503
# Statuses of requests that are beyond a limit.
_BY_LIMITS = frozenset((413, 414, 431))
# Time after which a refused caller may come back, in seconds; a copy of the
# configuration is confirmed within it.
RETRY_AFTER_S = 1
# Time for which the rest of a body is read that nobody takes any more, in
# seconds: a connection that is closed before is reset, and its caller may
# lose the answer.
LINGER_S = 2.0
_HEAD = b"HEAD"

Handler = typing.Callable[
    [http_request.HttpRequest, caller_presence.CallerPresence],
    typing.Awaitable[http_answer.HttpAnswer],
]


class Server(typing.Protocol):
    """What a connection needs of its server."""

    clock: clocks.Clock
    handler: Handler
    budget: body_budget.BodyBudget

    @property
    def limits(self) -> route_table.CallerLimits:
        """Limits on callers."""

    @property
    def is_config_current(self) -> bool:
        """Whether the limits are known to be those in force."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections end after their present request."""

    def add_connection(self, connection: CallerConnection) -> None:
        """Notes a new connection."""

    def remove_connection(self, connection: CallerConnection) -> None:
        """Notes the end of a connection."""

    def record_rejection(
        self,
        request: http_request.HttpRequest,
        rejection: errors.RequestRejected,
        *,
        served: int,
        limits: route_table.CallerLimits,
    ) -> None:
        """Notes a request that the connection has rejected."""

    def report_failure(self, error: Exception) -> None:
        """Notes a failure of the handler."""


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes their answers in order.

    Args:
        server: Server that the connection belongs to.
    """

    def __init__(self, *, server: Server) -> None:
        self._server = server
        # Requests that were read whole.
        self._served = 0
        self._parser = request_parser.RequestParser(
            clock=server.clock,
            limits=lambda: server.limits,
            budget=server.budget,
            on_flow=self._on_flow,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._presence: caller_presence.CallerPresence | None = None
        self._rejection: errors.RequestRejected | None = None
        # Long answer that is being passed on.
        self._answer_rest: body_stream.BodyStream | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._is_flow_paused = False
        # Time until which a body without a reader is read, in seconds.
        self._linger_until_s: float | None = None
        self._idle_since_s = server.clock.now()
        # Monotonic time of the last bytes, in seconds.
        self._heard_s = self._idle_since_s

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._task is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        if self._rejection is not None:
            return
        self._heard_s = self._server.clock.now()
        try:
            self._parser.feed(data)
        except errors.RequestRejected as error:
            self._rejection = self._doubt(error)
        if self._linger_until_s is not None:
            if self._rejection is not None or not self._parser.is_reading:
                self._close()
            return
        self._next()

    def eof_received(self) -> bool:
        """Called by the loop when the caller has closed its side."""
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._transport = None
        if self._answer_rest is not None:
            self._answer_rest.close()
        self._may_write.set()
        self._leave()
        self._parser.close()
        self._server.remove_connection(self)

    def pause_writing(self) -> None:
        """Called by the loop when the caller reads too slowly."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Called by the loop when the caller has caught up."""
        self._may_write.set()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if self._task is None and not self._parser.is_reading:
            self._close()

    def close_if_overdue(self, now_s: float) -> None:
        """Closes the connection if the caller is slow or idle for long."""
        limits = self._server.limits
        if self._linger_until_s is not None:
            if now_s > self._linger_until_s:
                self._close()
            return
        if self._task is not None:
            is_silent = now_s - self._heard_s > limits.idle_timeout_s
            if is_silent and not self._is_flow_paused:
                self._parser.abort_body(
                    errors.BodyTruncated(
                        "the caller sends no more of its body"
                    )
                )
            return
        started_s = self._parser.head_started_s
        if self._parser.is_reading_body:
            is_late = now_s - self._heard_s > limits.idle_timeout_s
        else:
            is_late = (
                started_s is not None
                and now_s - started_s > limits.head_timeout_s
            )
        if is_late:
            self._rejection = errors.RequestRejected(
                _TIMEOUT, "request not complete in time"
            )
            self._next()
        elif started_s is None:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self._close()

    def _doubt(
        self, rejection: errors.RequestRejected
    ) -> errors.RequestRejected:
        """Returns a refusal in place of a rejection by old limits."""
        is_by_limits = rejection.status in _BY_LIMITS
        if not is_by_limits or self._server.is_config_current:
            return rejection
        return errors.RequestRejected(
            _UNAVAILABLE, f"{rejection}, but the limits may be old"
        )

    def _next(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._parser.requests:
            request = self._parser.requests.popleft()
            self._served += 1
            self._presence = caller_presence.CallerPresence()
            self._task = asyncio.get_running_loop().create_task(
                self._serve(request, self._presence)
            )
        elif self._rejection is not None:
            self._server.record_rejection(
                self._parser.partial_request,
                self._rejection,
                served=self._served,
                limits=self._parser.limits,
            )
            headers = [(b"content-type", b"text/plain")]
            if self._rejection.status == _UNAVAILABLE:
                headers.append((b"retry-after", b"%d" % RETRY_AFTER_S))
            self._write(
                http_answer.HttpAnswer(
                    status=self._rejection.status,
                    headers=headers,
                    body=f"{self._rejection}\n".encode(),
                ),
                keeps_alive=False,
            )
        elif self._parser.wants_continue:
            self._parser.wants_continue = False
            # The time for the body starts now.
            self._heard_s = self._server.clock.now()
            self._send(_CONTINUE)
        queued = len(self._parser.requests)
        if queued > MAX_QUEUED or self._is_flow_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _on_flow(self, is_paused: bool) -> None:
        self._is_flow_paused = is_paused
        if self._transport is None:
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def _serve(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> None:
        try:
            answer = await self._server.handler(request, presence)
        except Exception as error:
            self._server.report_failure(error)
            answer = http_answer.HttpAnswer(status=_SERVER_ERROR, headers=[])
        self._server.budget.release(len(request.body))
        keeps_alive = request.keeps_alive and not self._server.is_stopping
        rest = request.rest
        if rest is not None and (rest.has_failed or not rest.is_ended):
            rest.close()
            keeps_alive = False
        await self._answer(request, answer, keeps_alive)
        self._task = None
        self._idle_since_s = self._server.clock.now()
        if keeps_alive:
            self._next()

    async def _answer(
        self,
        request: http_request.HttpRequest,
        answer: http_answer.HttpAnswer,
        keeps_alive: bool,
    ) -> None:
        if answer.rest is not None and self._transport is None:
            answer.rest.close()
            return
        if answer.rest is None:
            self._write(
                answer,
                keeps_alive=keeps_alive,
                has_body=request.method != _HEAD,
            )
            return
        self._answer_rest = answer.rest
        try:
            if answer.is_chunked and not request.accepts_chunked:
                # An early end would look complete to such a caller.
                await _collect(answer)
                self._write(answer, keeps_alive=keeps_alive)
            else:
                await self._pass_on(answer, keeps_alive)
        except errors.BodyTruncated:
            # The caller sees an answer that is not whole. The stream has
            # told the reason to whoever logs it.
            if self._transport is not None:
                self._transport.abort()
        finally:
            self._answer_rest = None

    async def _pass_on(
        self, answer: http_answer.HttpAnswer, keeps_alive: bool
    ) -> None:
        rest = answer.rest
        assert rest is not None
        self._send(answer.encode(keeps_alive=keeps_alive))
        while part := await rest.read():
            await rest.wait_for(self._may_write)
            self._send(body_stream.chunk(part) if answer.is_chunked else part)
        if answer.is_chunked:
            self._send(body_stream.chunk(b""))
        if not keeps_alive:
            self._end()

    def _send(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _write(
        self,
        answer: http_answer.HttpAnswer,
        *,
        keeps_alive: bool,
        has_body: bool = True,
    ) -> None:
        self._send(answer.encode(keeps_alive=keeps_alive, has_body=has_body))
        if not keeps_alive:
            self._end()

    def _end(self) -> None:
        """Closes the connection, after the rest of an unread body."""
        if self._rejection is None and self._parser.is_reading_body:
            self._linger_until_s = self._server.clock.now() + LINGER_S
        else:
            self._close()

    def _leave(self) -> None:
        if self._presence is not None:
            self._presence.mark_disconnected()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def _collect(answer: http_answer.HttpAnswer) -> None:
    """Reads the rest of an answer.

    Raises:
        BodyCutOff: It has ended early.
    """
    assert answer.rest is not None
    parts = [answer.body]
    while part := await answer.rest.read():
        parts.append(part)
    answer.body = b"".join(parts)
    answer.rest = None
