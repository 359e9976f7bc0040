"""Sends requests over one HTTP/1.1 connection, one at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import answer_parser
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import paced_input
from fuchsiacourse.front import work_meter

# TCP keep-alive probes detect an unreachable peer, because a network partition
# leaves connections open without a reset. Idle time and interval in seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time for which sent bytes may stay unacknowledged, in milliseconds; the
# probes detect an unreachable peer in the same time.
USER_TIMEOUT_MS = 3000
# Bytes that may follow the first late answer before the expected one; a link
# of 1 Gbit/s carries them in 64 ms.
MAX_LATE_BYTES = 8_000_000
# Late answers that a connection may receive. It carries one request at a time,
# but a target may answer a request more than once.
MAX_LATE_ANSWERS = 16
# Parts of late answers. Tiny parts use up processor time long before the
# limit in bytes is reached; full reads of the socket yield some hundred parts.
MAX_LATE_PARTS = 50_000
# Parts of each answer that are not charged: those of an ordinary head and of a
# short body.
FREE_ANSWER_PARTS = 64

Accepts = typing.Callable[[http_answer.HttpAnswer], bool]


class ClientConnection(asyncio.BufferedProtocol):
    """Client side of one HTTP connection.

    Args:
        limits: Limits of the work for answers.
        source: Name of the server in the logs.
        max_answer_bytes: Longest body of an answer that is buffered.
        streams_bodies: Whether long bodies are streamed while they arrive.
    """

    def __init__(
        self,
        *,
        limits: answer_limits.AnswerLimits,
        source: str,
        max_answer_bytes: int,
        streams_bodies: bool = False,
    ) -> None:
        self._limits = limits
        self._source = source
        self._meter = limits.meter()
        self._paced = paced_input.PacedInput(
            meter=self._meter,
            consume=self._consume,
            on_flow=self._update_reading,
        )
        # Whether the reader of a streamed answer wants no more bytes now.
        self._is_stream_full = False
        # Parts of the current answer that are not charged.
        self._free_parts = 0
        # Number of bytes read from the connection.
        self._read_bytes = 0
        self._parser = answer_parser.AnswerParser(
            max_bytes=max_answer_bytes,
            stream_factory=self._begin_stream if streams_bodies else None,
            budget=limits.budget,
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[http_answer.HttpAnswer] | None = None
        self._accepts: Accepts | None = None
        self._is_head = False
        # Whether answers no longer match requests: one came late, twice or
        # before the end of its request's body.
        self.is_out_of_sync = False
        self._late_answers = 0
        # Number of bytes read since the first late answer.
        self._late_bytes = 0
        # Value of the parser's count of parts at the first late answer.
        self._first_late_part = 0
        # Number of answers that were returned.
        self.answer_count = 0
        # Sends the rest of a streamed request body.
        self._body_task: asyncio.Task[None] | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        # Called when a streamed answer is complete and the connection can
        # carry another request.
        self.on_idle: typing.Callable[[], None] | None = None
        # Whether the connection can carry another request.
        self.is_usable = False
        # Monotonic time since which no request is in progress, in seconds.
        self.idle_since_s = 0.0
        # Monotonic time at which the connection was opened, in seconds.
        self.opened_s = 0.0

    @classmethod
    async def open(
        cls,
        address: tuple[str, int],
        *,
        limits: answer_limits.AnswerLimits,
        source: str,
        max_answer_bytes: int,
        streams_bodies: bool = False,
    ) -> ClientConnection:
        """Opens a connection.

        Args:
            address: IP address and port of the server.
            limits: Limits of the work for answers.
            source: Name of the server in the logs.
            max_answer_bytes: Longest body of an answer that is buffered.
            streams_bodies: Whether long bodies are streamed while they arrive.

        Raises:
            OSError: The connection can't be established.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: cls(
                limits=limits,
                source=source,
                max_answer_bytes=max_answer_bytes,
                streams_bodies=streams_bodies,
            ),
            *address,
        )
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enables keep-alive probes (asyncio callback)."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.is_usable = True
        self.opened_s = asyncio.get_running_loop().time()
        self.idle_since_s = self.opened_s
        with contextlib.suppress(OSError):
            _enable_keepalive(transport.get_extra_info("socket"))

    async def exchange(
        self,
        data: bytes,
        *,
        accepts: Accepts,
        is_head: bool = False,
        rest: body_stream.BodyStream | None = None,
        is_chunked: bool = False,
    ) -> http_answer.HttpAnswer:
        """Sends a request and returns its answer.

        Cancelling the call closes the connection, so that the server can
        stop its work.

        Args:
            data: Bytes of the request.
            accepts: Returns whether an answer belongs to the request. Other
                answers are late ones to earlier requests and are dropped.
            is_head: Whether the method is HEAD.
            rest: Stream of the rest of the request's body, if any.
            is_chunked: Whether the rest is sent in chunked transfer coding.

        Raises:
            TargetUnreachable: The connection was closed before the call;
                nothing was sent.
            TargetOutcomeUnknown: The connection was lost without an answer,
                or the request's body was truncated.
            TargetBadAnswer: The answer is truncated or malformed, costs too
                much, or too many late answers came.
        """
        assert self._transport is not None and self._waiter is None
        if not self.is_usable:
            raise errors.TargetUnreachable("connection already closed")
        self._accepts = accepts
        self._is_head = is_head
        self._free_parts = FREE_ANSWER_PARTS
        self._meter.begin_message()
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        if rest is not None:
            self._body_task = asyncio.ensure_future(
                self._send_body(rest, is_chunked)
            )
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiter = None
            self._end_request_body()

    def _end_request_body(self) -> None:
        if self._body_task is None or self._body_task.done():
            return
        # The server still expects the rest of the body, so the connection
        # can't carry another request.
        if self.is_usable and self._parser.is_streaming:
            # The answer that is being streamed may depend on the body.
            self.is_out_of_sync = True
            return
        self._body_task.cancel()
        self.close()

    async def _send_body(
        self, rest: body_stream.BodyStream, is_chunked: bool
    ) -> None:
        try:
            while part := await rest.read():
                await self._may_write.wait()
                self._write(body_stream.chunk(part) if is_chunked else part)
            if is_chunked:
                self._write(body_stream.chunk(b""))
        except errors.BodyTruncated as error:
            if self._waiter is None:
                # The target has answered without the rest of the body.
                return
            self._fail(
                errors.TargetOutcomeUnknown(f"request body truncated: {error}")
            )

    def _write(self, data: bytes) -> None:
        if self._transport is not None and self.is_usable:
            self._transport.write(data)

    def pause_writing(self) -> None:
        """Pauses a streamed request; the server is slow (asyncio callback)."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Resumes a streamed request (asyncio callback)."""
        self._may_write.set()

    def close(self) -> None:
        """Aborts the connection; buffered bytes are dropped."""
        self.is_usable = False
        self._paced.close()
        if self._transport is not None:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for bytes from the server (asyncio callback)."""
        return self._limits.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes bytes from the server (asyncio callback)."""
        self._read_bytes += nbytes
        self._paced.add(bytes(self._limits.read_buffer[:nbytes]))

    def _consume(self, data: bytes) -> None:
        """Parses bytes and delivers the answers that they complete."""
        parser = self._parser
        was_streaming = parser.is_streaming
        if not was_streaming and not self._is_awaited:
            # No request is in progress, so the bytes answer nothing.
            self.is_out_of_sync = True
            self.close()
            return
        parts, content_bytes = parser.part_count, parser.content_bytes
        try:
            parser.feed(data)
        except errors.TargetBadAnswer as error:
            self._fail(error)
            return
        parts = parser.part_count - parts
        is_charged = parts > self._free_parts
        if is_charged:
            self._charge(parts, parser.content_bytes - content_bytes)
        else:
            self._free_parts -= parts
        if self._is_head:
            parser.end_without_body()
        self._deliver_answers()
        if self.is_out_of_sync:
            self._check_late_limits(data)
        if was_streaming and not self._is_awaited:
            self._after_stream()
        if is_charged and self._meter.is_exhausted:
            self._end_costly_answer()

    @property
    def _is_awaited(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _charge(self, parts: int, content_bytes: int) -> None:
        parts -= self._free_parts
        self._free_parts = 0
        self._paced.charge(parts, content_bytes)
        self._check_head()

    def _check_head(self) -> None:
        """Notes a late answer before its body is complete."""
        if self.is_out_of_sync or not self._is_awaited:
            return
        answer = self._parser.unfinished
        assert self._accepts is not None
        if answer is not None and not self._accepts(answer):
            self._note_late()

    def _note_late(self) -> None:
        if not self.is_out_of_sync:
            self._first_late_part = self._parser.part_count
        self.is_out_of_sync = True

    def _end_costly_answer(self) -> None:
        if not self._is_awaited and not self._parser.is_streaming:
            return
        error = errors.AnswerLimitExceeded(
            "parts", work_meter.MAX_MESSAGE_PARTS
        )
        self._parser.abort_body(error)
        self._fail(error)

    def eof_received(self) -> bool:
        """Completes an answer without a length (asyncio callback).

        Returns:
            False, which lets the loop close the transport.
        """
        self.is_usable = False
        if self._waiter is not None or self._parser.is_streaming:
            self._parser.end()
            self._deliver_answers()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request that is in progress (asyncio callback)."""
        self.is_usable = False
        self._paced.close()
        self._parser.release()
        self._may_write.set()
        if self._body_task is not None and self._waiter is None:
            self._body_task.cancel()
        detail = f"connection lost: {exc!r}"
        if self._parser.is_streaming:
            self._parser.abort_body(errors.TargetBadAnswer(detail))
        if self._parser.has_begun:
            self._fail(errors.TargetBadAnswer(detail))
        else:
            self._fail(errors.TargetOutcomeUnknown(detail))

    def _deliver_answers(self) -> None:
        while self._parser.answers:
            answer = self._parser.answers.popleft()
            assert self._accepts is not None
            if self._waiter is not None and self._accepts(answer):
                self._finish(answer)
                return
            if answer.rest is not None:
                answer.rest.discard()
            # A late answer to an earlier request; this request's answer
            # follows.
            self._note_late()
            self._late_answers += 1

    def _check_late_limits(self, data: bytes) -> None:
        if not self._is_awaited:
            return
        self._late_bytes += len(data)
        parts = self._parser.part_count - self._first_late_part
        if (
            self._late_bytes > MAX_LATE_BYTES
            or parts > MAX_LATE_PARTS
            or self._late_answers > MAX_LATE_ANSWERS
        ):
            self._fail(
                errors.AnswerLimitExceeded("late_answers", MAX_LATE_ANSWERS)
            )

    def _finish(self, answer: http_answer.HttpAnswer) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)
            self.answer_count += 1
        if not self._parser.is_streaming:
            self._close_if_unusable()

    def _after_stream(self) -> None:
        """Releases the connection after the end of a streamed answer."""
        if self._parser.is_streaming:
            return
        self._close_if_unusable()
        if self.is_usable and self.on_idle is not None:
            self.on_idle()
        self.on_idle = None

    def _begin_stream(self) -> body_stream.BodyStream:
        return body_stream.BodyStream(
            on_flow=self._on_flow,
            on_close=self.close,
            high_water=self._stream_bytes,
        )

    def _stream_bytes(self) -> int:
        return self._limits.budget.share_bytes

    def _on_flow(self, is_paused: bool) -> None:
        self._is_stream_full = is_paused
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None:
            return
        if self._is_stream_full or self._paced.is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _close_if_unusable(self) -> None:
        self.idle_since_s = asyncio.get_running_loop().time()
        has_next = bool(self._paced.waiting) or self._parser.has_begun
        if self._parser.answers or has_next:
            self.is_out_of_sync = True
        if self._parser.closes or self.is_out_of_sync:
            self.close()

    def _fail(self, error: errors.TargetError) -> None:
        if isinstance(error, errors.AnswerLimitExceeded):
            self._limits.record_dropped(
                self._source,
                error,
                read_bytes=self._read_bytes,
                parts=self._parser.part_count,
            )
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
        self.close()


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
