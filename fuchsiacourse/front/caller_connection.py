"""Connection of a caller."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
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
    def is_stopping(self) -> bool:
        """Whether connections end after their present request."""

    def opened(self, connection: CallerConnection) -> None:
        """Notes a new connection."""

    def closed(self, connection: CallerConnection) -> None:
        """Notes the end of a connection."""

    def failed(self, error: Exception) -> None:
        """Notes a failure of the handler."""


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes their answers in order.

    Args:
        server: Server that the connection belongs to.
    """

    def __init__(self, *, server: Server) -> None:
        self._server = server
        limits = server.limits
        self._parser = request_parser.RequestParser(
            clock=server.clock,
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            budget=server.budget,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._presence: caller_presence.CallerPresence | None = None
        self._rejection: errors.RequestRejected | None = None
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
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        if self._rejection is not None:
            return
        self._heard_s = self._server.clock.now()
        try:
            self._parser.feed(data)
        except errors.RequestRejected as error:
            self._rejection = error
        if self._parser.wants_continue and self._transport is not None:
            self._parser.wants_continue = False
            self._transport.write(_CONTINUE)
        self._next()

    def eof_received(self) -> bool:
        """Called by the loop when the caller has closed its side."""
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._transport = None
        self._leave()
        self._parser.close()
        self._server.closed(self)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if self._task is None and not self._parser.is_reading:
            self._close()

    def close_if_overdue(self, now_s: float) -> None:
        """Closes the connection if the caller is slow or idle for long."""
        if self._task is not None:
            return
        limits = self._server.limits
        started_s = self._parser.head_started_s
        if self._parser.reads_body:
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

    def _next(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._parser.requests:
            request = self._parser.requests.popleft()
            self._presence = caller_presence.CallerPresence()
            self._task = asyncio.get_running_loop().create_task(
                self._serve(request, self._presence)
            )
        elif self._rejection is not None:
            self._write(
                http_answer.HttpAnswer(
                    status=self._rejection.status,
                    headers=[(b"content-type", b"text/plain")],
                    body=f"{self._rejection}\n".encode(),
                ),
                keeps_alive=False,
            )
        queued = len(self._parser.requests)
        if queued > MAX_QUEUED:
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
            self._server.failed(error)
            answer = http_answer.HttpAnswer(status=_SERVER_ERROR, headers=[])
        self._server.budget.release(len(request.body))
        self._task = None
        self._idle_since_s = self._server.clock.now()
        if self._transport is None:
            return
        keeps_alive = request.keeps_alive and not self._server.is_stopping
        self._write(
            answer,
            keeps_alive=keeps_alive,
            has_body=request.method != _HEAD,
        )
        if keeps_alive:
            self._next()

    def _write(
        self,
        answer: http_answer.HttpAnswer,
        *,
        keeps_alive: bool,
        has_body: bool = True,
    ) -> None:
        if self._transport is None:
            return
        self._transport.write(
            answer.encode(keeps_alive=keeps_alive, has_body=has_body)
        )
        if not keeps_alive:
            self._close()

    def _leave(self) -> None:
        if self._presence is not None:
            self._presence.leave()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()
