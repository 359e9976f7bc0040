"""Serves the HTTP requests of one caller's connection."""

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
from fuchsiacourse.front import paced_input
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share

# Pipelined requests that may be queued before reading pauses.
MAX_PIPELINED = 16
# Memory for heads and unparsed bytes that a connection has beside the budget.
FREE_HELD_BYTES = 4_096
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_TIMEOUT = 408
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
# Statuses of requests that exceed a configured limit.
_LIMIT_STATUSES = frozenset((413, 414, 431))
# Value of Retry-After in 503 answers, in seconds; a stale copy of the
# configuration is confirmed within this time. It is also sent if there is no
# memory for a body.
RETRY_AFTER_S = 1
# Longest time for which a caller that has its final answer may be silent, and
# may go on sending, before its connection is closed, in seconds. Closing it
# while the caller sends resets it, and the caller may lose the answer.
LINGER_S = 2.0
MAX_LINGER_S = 10.0
# Time for which a new connection waits for its first request before it counts
# as idle, in seconds. The request may be on its way or unread, and closing the
# connection would cut it off without an answer.
FIRST_REQUEST_S = 0.5
_HEAD = b"HEAD"

Handler = typing.Callable[
    [http_request.HttpRequest, caller_presence.CallerPresence],
    typing.Awaitable[http_answer.HttpAnswer],
]
Refuse = typing.Callable[
    [http_request.HttpRequest], http_answer.HttpAnswer | None
]


class Server(typing.Protocol):
    """The parts of a server that its connections use."""

    clock: clocks.Clock
    handler: Handler
    budget: body_budget.BodyBudget
    work: work_share.WorkShare

    @property
    def limits(self) -> route_table.CallerLimits:
        """Limits on callers."""

    @property
    def is_config_current(self) -> bool:
        """Whether the limits are confirmed to be up to date."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after their current request."""

    def add_connection(self, connection: CallerConnection) -> None:
        """Registers a new connection."""

    def remove_connection(self, connection: CallerConnection) -> None:
        """Unregisters a closed connection."""

    def record_rejection(
        self,
        request: http_request.HttpRequest,
        rejection: errors.RequestRejected,
        *,
        served: int,
        limits: route_table.CallerLimits,
        parts: int,
        read_bytes: int,
    ) -> None:
        """Logs a rejected request.

        Args:
            request: The request as far as it has been read.
            rejection: Status and reason.
            served: Number of requests on the connection before it.
            limits: Limits that applied to the request.
            parts: Number of parts that were read on the connection.
            read_bytes: Bytes of heads and bodies among them.
        """

    def report_failure(self, error: Exception) -> None:
        """Reports an exception of the handler."""


class CallerConnection(asyncio.Protocol):
    """Reads requests from a caller and writes the answers in order.

    Args:
        server: Server that the connection belongs to.
    """

    def __init__(self, *, server: Server) -> None:
        self._server = server
        # Number of requests that were passed to the handler.
        self._served = 0
        self._meter = work_meter.WorkMeter(
            clock=server.clock, share=server.work
        )
        self._input = paced_input.PacedInput(
            meter=self._meter, consume=self._consume, on_flow=self._on_pace
        )
        self._parser = request_parser.RequestParser(
            clock=server.clock,
            limits=lambda: server.limits,
            budget=server.budget,
            on_flow=self._on_flow,
            meter=self._meter,
            charge=self._input.charge,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        # The request that is answered or was answered last.
        self._request: http_request.HttpRequest | None = None
        self._presence: caller_presence.CallerPresence | None = None
        self._rejection: errors.RequestRejected | None = None
        # Rest of the long answer that is being streamed.
        self._answer_rest: body_stream.BodyStream | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._is_flow_paused = False
        self._is_read_paused = False
        # Memory that is reserved for heads and unparsed bytes.
        self._held_bytes = 0
        # Monotonic time until which the input is read and dropped after the
        # final answer, in seconds; None before it.
        self._linger_until_s: float | None = None
        # Whether the caller was still sending when it got its final answer.
        self._may_lose_answer = False
        self._accepted_s = server.clock.now()
        self._idle_since_s = self._accepted_s
        # Monotonic time of the last bytes from the caller, in seconds.
        self._last_read_s = self._idle_since_s

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._task is not None

    @property
    def is_reading(self) -> bool:
        """Whether an incomplete request is read that will be answered."""
        return self._has_input and not self.is_lingering

    @property
    def is_lingering(self) -> bool:
        """Whether the caller has its final answer and may still be sending."""
        return self._linger_until_s is not None

    @property
    def may_lose_answer(self) -> bool:
        """Whether an exit may take the final answer from a sending caller."""
        return self.is_lingering and self._may_lose_answer

    @property
    def open_request(self) -> http_request.HttpRequest | None:
        """The request that closing the connection would cut off, if any."""
        if self.is_busy or self.has_unsent_answer:
            return self._request
        return self._parser.partial_request if self.is_reading else None

    @property
    def has_unsent_answer(self) -> bool:
        """Whether part of an answer waits for a caller that reads slowly."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def awaits_first_request(self) -> bool:
        """Whether the connection is new and no request has come yet."""
        age_s = self._server.clock.now() - self._accepted_s
        return (
            not self._served
            and self._linger_until_s is None
            and age_s < FIRST_REQUEST_S
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection (asyncio callback)."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of the caller and serves requests (asyncio callback).

        Bytes after a rejected request are dropped.
        """
        self._last_read_s = self._server.clock.now()
        if self._rejection is not None or self.is_lingering:
            return
        self._input.add(data)
        self._update_reading()

    def eof_received(self) -> bool:
        """Handles a half-close as a disconnect (asyncio callback).

        Returns:
            False, which lets the loop close the transport.
        """
        self._mark_disconnected()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends streams and releases memory (asyncio callback)."""
        self._transport = None
        if self._answer_rest is not None:
            self._answer_rest.close()
        self._may_write.set()
        self._mark_disconnected()
        self._input.close()
        self._parser.close()
        self._server.budget.release(self._held_bytes)
        self._held_bytes = 0
        self._server.remove_connection(self)

    def pause_writing(self) -> None:
        """Pauses a streamed answer; the caller is slow (asyncio callback)."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Resumes a streamed answer (asyncio callback)."""
        self._may_write.set()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is read or answered.

        A new connection stays open for its first request.
        """
        is_idle = self._task is None and not self._has_input
        if is_idle and not (self.awaits_first_request or self.is_lingering):
            self._close()

    def refuse_unread(self, refuse: Refuse) -> None:
        """Refuses the request whose body is being read, if there is one.

        Args:
            refuse: Returns the answer, None if the body is waited for.
        """
        if (
            self._task is not None
            or self._rejection is not None
            or self.is_lingering
            or not self._parser.is_reading_body
        ):
            return
        self._request = self._parser.partial_request
        answer = refuse(self._request)
        if answer is not None:
            self._write(answer, keeps_alive=False)

    def close_if_overdue(self, now_s: float) -> None:
        """Closes the connection if a timeout of the limits has passed.

        A request whose head or body takes too long is rejected first. If
        it is being answered already, only its body is aborted.

        Args:
            now_s: Monotonic time, in seconds.
        """
        limits = self._server.limits
        if self._linger_until_s is not None:
            is_silent = now_s - self._last_read_s > LINGER_S
            if is_silent or now_s > self._linger_until_s:
                self._close()
            return
        if self._task is not None:
            is_silent = now_s - self._last_read_s > limits.idle_timeout_s
            if is_silent and not self._is_paused:
                self._parser.abort_body(
                    errors.BodyTruncated("caller stopped sending its body")
                )
            return
        started_s = self._parser.head_started_s
        if self._parser.is_reading_body:
            is_late = now_s - self._last_read_s > limits.idle_timeout_s
        else:
            is_late = (
                started_s is not None
                and now_s - started_s > limits.head_timeout_s
            )
        if is_late:
            self._input.close()
            self._rejection = errors.RequestRejected(
                _TIMEOUT, "request not complete in time"
            )
            self._serve_next()
        elif not self._has_input:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self._close()

    @property
    def _has_input(self) -> bool:
        """Whether an incomplete request or unparsed bytes have been read."""
        return self._parser.is_reading or bool(self._input.waiting)

    @property
    def _is_held(self) -> bool:
        """Whether what has been parsed must be used before more is."""
        return (
            self._is_flow_paused or len(self._parser.requests) > MAX_PIPELINED
        )

    @property
    def _is_paused(self) -> bool:
        """Whether the caller must not be read now."""
        if self._rejection is None and self._input.is_paused:
            return True
        return self._is_held

    def _consume(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except errors.RequestRejected as error:
            self._reject(error)
        self._serve_next()

    def _reject(self, error: errors.RequestRejected) -> None:
        self._input.close()
        self._rejection = self._refuse_if_stale(error)
        if self._parser.has_cut_body:
            # The request is being answered, so the rejection isn't sent.
            self._record(error)
        if isinstance(error.__cause__, Exception) and (
            error.status == _SERVER_ERROR
        ):
            self._server.report_failure(error.__cause__)

    def _record(self, rejection: errors.RequestRejected) -> None:
        self._server.record_rejection(
            self._parser.partial_request,
            rejection,
            served=self._served,
            limits=self._parser.limits,
            parts=self._meter.parts,
            read_bytes=self._meter.content_bytes,
        )

    def _refuse_if_stale(
        self, rejection: errors.RequestRejected
    ) -> errors.RequestRejected:
        """Returns a 503 in place of a rejection by limits that may be stale.

        Newer limits may allow the request, so a 4xx would be wrong.
        """
        exceeds_limit = rejection.status in _LIMIT_STATUSES and not isinstance(
            rejection, errors.TooManyParts
        )
        if not exceeds_limit or self._server.is_config_current:
            return rejection
        return errors.RequestRejected(
            _UNAVAILABLE, f"{rejection}, but the limits may be old"
        )

    def _serve_next(self) -> None:
        if self._transport is None:
            return
        if self._task is not None:
            self._update_reading()
            return
        if self._parser.requests:
            request = self._parser.requests.popleft()
            self._served += 1
            self._request = request
            self._presence = caller_presence.CallerPresence()
            self._task = asyncio.get_running_loop().create_task(
                self._serve(request, self._presence)
            )
        elif self._rejection is not None:
            self._record(self._rejection)
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
            # The timeout of the body starts now.
            self._last_read_s = self._server.clock.now()
            self._send(_CONTINUE)
        self._update_reading()

    def _on_flow(self, is_paused: bool) -> None:
        self._is_flow_paused = is_paused
        self._update_reading()

    def _on_pace(self) -> None:
        # The pause is no silence of the caller.
        self._last_read_s = self._server.clock.now()
        self._update_reading()

    def _update_reading(self) -> None:
        """Parses bytes that wait, and reads more unless something holds."""
        if not (
            self._is_read_paused
            or self._input.waiting
            or self._input.is_paused
            or self._parser.requests
            or self._parser.head_started_s is not None
            or self._held_bytes
            or self._is_flow_paused
        ):
            return
        self._input.hold(self._is_held)
        if self._transport is None or self._input.is_consuming:
            # Whoever has the bytes parsed calls this again.
            return
        self._reserve_held()
        self._is_read_paused = self._is_paused and not self.is_lingering
        if self._is_read_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _reserve_held(self) -> None:
        """Counts heads and unparsed bytes against the memory budget."""
        held = len(self._input.waiting) + self._parser.held_bytes
        count = max(0, held - FREE_HELD_BYTES)
        if count == self._held_bytes:
            return
        self._server.budget.release(self._held_bytes)
        self._held_bytes = 0
        if self._server.budget.reserve(count):
            self._held_bytes = count
        elif self._rejection is None and not self.is_lingering:
            error = errors.RequestRejected(
                _UNAVAILABLE, "no memory for the request now"
            )
            self._parser.cut_off(error)
            self._reject(error)
            self._serve_next()

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
        # Closing would drop a request that was read behind this one.
        has_next = bool(self._parser.requests) or self._has_input
        is_last = self._server.is_stopping and not has_next
        keeps_alive = request.keeps_alive and not is_last
        rest = request.rest
        if rest is not None and (rest.has_failed or not rest.is_ended):
            # Without the whole body, no further request can be read.
            rest.close()
            keeps_alive = False
        await self._answer(request, answer, keeps_alive)
        if rest is not None:
            # A body that nobody has read whole would pause reading for ever.
            rest.close()
        await self._wait_until_taken()
        self._task = None
        self._request = request.without_body()
        self._idle_since_s = self._server.clock.now()
        if keeps_alive:
            self._serve_next()

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
                # HTTP/1.0 ends this body by closing the connection, so a
                # truncated body would look complete.
                await self._send_whole(answer, keeps_alive)
            else:
                await self._stream(answer, keeps_alive)
        except errors.BodyTruncated:
            # The reset shows the caller that the answer is truncated. The
            # reason is logged by the callback at the end of the stream.
            if self._transport is not None:
                self._transport.abort()
        finally:
            self._answer_rest = None

    async def _send_whole(
        self, answer: http_answer.HttpAnswer, keeps_alive: bool
    ) -> None:
        """Sends an answer once its body is complete.

        Its memory comes from the budget of bodies; without any left, the
        answer is replaced by a 502.

        Raises:
            BodyTruncated: The answer is truncated.
        """
        rest = answer.rest
        assert rest is not None
        parts = [answer.body]
        reserved = 0
        try:
            while part := await rest.read():
                if not self._server.budget.reserve(len(part)):
                    rest.close()
                    answer = http_answer.HttpAnswer(
                        status=_BAD_GATEWAY, headers=[]
                    )
                    parts = []
                    break
                reserved += len(part)
                parts.append(part)
            answer.body = b"".join(parts)
            answer.rest = None
            self._write(answer, keeps_alive=keeps_alive)
            await self._wait_until_taken()
        finally:
            self._server.budget.release(reserved)

    async def _wait_until_taken(self) -> None:
        """Waits until the caller has taken most of what was written.

        A caller that takes nothing for the idle timeout is disconnected.
        """
        while not self._may_write.is_set() and self._transport is not None:
            left = self._transport.get_write_buffer_size()
            try:
                await asyncio.wait_for(
                    self._may_write.wait(), self._server.limits.idle_timeout_s
                )
            except TimeoutError:
                transport = self._transport
                if transport and transport.get_write_buffer_size() >= left:
                    transport.abort()

    async def _stream(
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
            self._close_after_body()

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
            self._close_after_body()

    def _close_after_body(self) -> None:
        """Closes the connection, or lingers while input may be unread."""
        has_input = self._has_input or bool(self._parser.requests)
        self._may_lose_answer = has_input or self._rejection is not None
        self._input.close()
        is_needed = self._may_lose_answer or self._server.is_stopping
        if self._transport is None or not is_needed:
            self._close()
            return
        now_s = self._server.clock.now()
        self._last_read_s = now_s
        self._linger_until_s = now_s + MAX_LINGER_S
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._transport.resume_reading()

    def _mark_disconnected(self) -> None:
        if self._presence is not None:
            self._presence.mark_disconnected()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()
