"""Connection on which the front sends requests one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import answer_parser
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_answer

# A silent peer is noticed by these probes of the operating system, in
# seconds; a cut leaves connections open without any reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# Bytes that are read in search of the answer once a late one has come; a link
# of 1 Gbit/s carries them in 64 ms.
MAX_LATE_BYTES = 8_000_000
# Late answers on a connection; it has one request at a time, which may be
# answered more than once.
MAX_LATE_ANSWERS = 16
# Parts of their bodies; tiny parts cost processor time long before the bytes
# are too many. Whole reads of the socket bring some hundred parts.
MAX_LATE_PARTS = 50_000

Accepts = typing.Callable[[http_answer.HttpAnswer], bool]


class ClientConnection(asyncio.Protocol):
    """One connection to an HTTP server.

    Args:
        max_answer_bytes: Longest body of an answer that is read whole.
        passes_on: Whether longer bodies are passed on while they arrive.
    """

    def __init__(
        self, *, max_answer_bytes: int, streams_bodies: bool = False
    ) -> None:
        self._parser = answer_parser.AnswerParser(
            max_bytes=max_answer_bytes,
            stream_factory=self._begin_stream if streams_bodies else None,
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[http_answer.HttpAnswer] | None = None
        self._accepts: Accepts | None = None
        self._is_head = False
        # Whether the server has answered a request out of turn.
        self.is_out_of_sync = False
        self._late_answers = 0
        # Bytes read since the first late answer.
        self._late_bytes = 0
        # Parts of bodies read before it.
        self._first_late_part = 0
        # Answers that were taken.
        self.answer_count = 0
        # Whether each answer named its request, so that a late copy does too.
        self.echoes_request_ids = True
        # Sends what follows of a request's body.
        self._pumping: asyncio.Task[None] | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        # Called when a long answer has been passed on whole and another
        # request may be sent.
        self.on_idle: typing.Callable[[], None] | None = None
        # Whether another request may be sent.
        self.is_usable = False
        # Monotonic time of the last answer, in seconds.
        self.idle_since_s = 0.0

    @classmethod
    async def open(
        cls,
        address: tuple[str, int],
        *,
        max_answer_bytes: int,
        streams_bodies: bool = False,
    ) -> ClientConnection:
        """Opens a connection.

        Raises:
            OSError: The server is not reached.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: cls(
                max_answer_bytes=max_answer_bytes,
                streams_bodies=streams_bodies,
            ),
            *address,
        )
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.is_usable = True
        self.idle_since_s = asyncio.get_running_loop().time()
        with contextlib.suppress(OSError):
            _watch_silence(transport.get_extra_info("socket"))

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

        Cancelling the call closes the connection, which tells the server
        to stop its work.

        Args:
            data: Bytes of the request.
            accepts: Tells whether an answer belongs to the request; others
                are late answers to earlier requests and are dropped.
            is_head: Whether the method is HEAD.
            rest: What follows of the request's body.
            is_chunked: Whether it goes in chunked coding.

        Raises:
            TargetUnreachable: The connection had ended before.
            TargetUnsure: The connection ended without an answer.
            TargetBadAnswer: The answer is cut off or not an answer.
        """
        assert self._transport is not None and self._waiter is None
        if not self.is_usable:
            raise errors.TargetUnreachable("the connection had ended")
        self._accepts = accepts
        self._is_head = is_head
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        if rest is not None:
            self._pumping = asyncio.ensure_future(self._pump(rest, is_chunked))
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiter = None
            self._end_pumping()

    def _end_pumping(self) -> None:
        if self._pumping is None or self._pumping.done():
            return
        # The rest of the body is due before the next request.
        if self.is_usable and self._parser.is_streaming:
            # The answer that has begun may depend on it.
            self.is_out_of_sync = True
            return
        self._pumping.cancel()
        self.close()

    async def _pump(
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
                # The target has answered without it.
                return
            self._fail(
                errors.TargetOutcomeUnknown(f"no whole request: {error}")
            )

    def _write(self, data: bytes) -> None:
        if self._transport is not None and self.is_usable:
            self._transport.write(data)

    def pause_writing(self) -> None:
        """Called by the loop when the server reads too slowly."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Called by the loop when the server has caught up."""
        self._may_write.set()

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        was_passing_on = self._parser.is_streaming
        if self._waiter is None and not was_passing_on:
            # Bytes that no request has asked for belong to nobody.
            self.close()
            return
        try:
            self._parser.feed(data)
        except errors.TargetBadAnswer as error:
            self._fail(error)
            return
        if self._is_head:
            self._parser.end_without_body()
        self._take()
        if self.is_out_of_sync:
            self._count_late(data)
        if was_passing_on and self._waiter is None:
            self._after_stream()

    def eof_received(self) -> bool:
        """Called by the loop when the server has closed its side."""
        self.is_usable = False
        if self._waiter is not None or self._parser.is_streaming:
            self._parser.end()
            self._take()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self.is_usable = False
        self._may_write.set()
        if self._pumping is not None and self._waiter is None:
            self._pumping.cancel()
        detail = f"connection lost: {exc!r}"
        if self._parser.is_streaming:
            self._parser.abort_body(errors.TargetBadAnswer(detail))
        if self._parser.has_begun:
            self._fail(errors.TargetBadAnswer(detail))
        else:
            self._fail(errors.TargetOutcomeUnknown(detail))

    def _take(self) -> None:
        while self._parser.answers:
            answer = self._parser.answers.popleft()
            assert self._accepts is not None
            if self._waiter is not None and self._accepts(answer):
                self._finish(answer)
                return
            if answer.rest is not None:
                answer.rest.discard()
            # A late answer to an earlier request; ours comes next.
            if not self.is_out_of_sync:
                self._first_late_part = self._parser.body_part_count
            self.is_out_of_sync = True
            self._late_answers += 1

    def _count_late(self, data: bytes) -> None:
        if self._waiter is None or self._waiter.done():
            return
        self._late_bytes += len(data)
        parts = self._parser.body_part_count - self._first_late_part
        if (
            self._late_bytes > MAX_LATE_BYTES
            or parts > MAX_LATE_PARTS
            or self._late_answers > MAX_LATE_ANSWERS
        ):
            self._fail(errors.TargetBadAnswer("only late answers"))

    def _finish(self, answer: http_answer.HttpAnswer) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)
            self.answer_count += 1
        if not self._parser.is_streaming:
            self._check_end()

    def _after_stream(self) -> None:
        """Follows an answer that was passed on while it arrived."""
        if self._parser.is_streaming:
            return
        self._check_end()
        if self.is_usable and self.on_idle is not None:
            self.on_idle()
        self.on_idle = None

    def _begin_stream(self) -> body_stream.BodyStream:
        return body_stream.BodyStream(
            on_flow=self._on_flow, on_close=self.close
        )

    def _on_flow(self, is_paused: bool) -> None:
        if self._transport is None:
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _check_end(self) -> None:
        self.idle_since_s = asyncio.get_running_loop().time()
        if self._parser.answers or self._parser.has_begun:
            self.is_out_of_sync = True
        if self._parser.closes or self.is_out_of_sync:
            self.close()

    def _fail(self, error: errors.TargetError) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
        self.close()


def _watch_silence(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
