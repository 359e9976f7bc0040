"""Connection on which the front sends requests one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import answer_parser
from fuchsiacourse.front import http_answer

# A silent peer is noticed by these probes of the operating system, in
# seconds; a cut leaves connections open without any reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000

Accepts = typing.Callable[[http_answer.HttpAnswer], bool]


class ClientConnection(asyncio.Protocol):
    """One connection to an HTTP server.

    Args:
        max_answer_bytes: Longest body of an answer.
    """

    def __init__(self, *, max_answer_bytes: int) -> None:
        self._parser = answer_parser.AnswerParser(max_bytes=max_answer_bytes)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[http_answer.HttpAnswer] | None = None
        self._accepts: Accepts | None = None
        self._is_head = False
        # Whether the server has answered a request out of turn.
        self._is_out_of_step = False
        # Whether another request may be sent.
        self.is_usable = False
        # Monotonic time of the last answer, in seconds.
        self.idle_since_s = 0.0

    @classmethod
    async def open(
        cls, address: tuple[str, int], *, max_answer_bytes: int
    ) -> ClientConnection:
        """Opens a connection.

        Raises:
            OSError: The server is not reached.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: cls(max_answer_bytes=max_answer_bytes), *address
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
        self, data: bytes, *, accepts: Accepts, is_head: bool = False
    ) -> http_answer.HttpAnswer:
        """Sends a request and returns its answer.

        Cancelling the call closes the connection, which tells the server
        to stop its work.

        Args:
            data: Bytes of the request.
            accepts: Tells whether an answer belongs to the request; others
                are late answers to earlier requests and are dropped.
            is_head: Whether the method is HEAD.

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
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiter = None

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        if self._waiter is None:
            # Bytes that no request has asked for belong to nobody.
            self.close()
            return
        try:
            self._parser.feed(data)
        except errors.TargetBadAnswer as error:
            self._fail(error)
            return
        if self._is_head:
            self._parser.end_head()
        self._take()

    def eof_received(self) -> bool:
        """Called by the loop when the server has closed its side."""
        self.is_usable = False
        if self._waiter is not None:
            self._parser.end()
            self._take()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self.is_usable = False
        detail = f"connection lost: {exc!r}"
        if self._parser.has_begun:
            self._fail(errors.TargetBadAnswer(detail))
        else:
            self._fail(errors.TargetUnsure(detail))

    def _take(self) -> None:
        while self._parser.answers:
            answer = self._parser.answers.popleft()
            assert self._accepts is not None
            if self._accepts(answer):
                self._finish(answer)
                return
            # A late answer to an earlier request; ours comes next.
            self._is_out_of_step = True

    def _finish(self, answer: http_answer.HttpAnswer) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)
        self.idle_since_s = asyncio.get_running_loop().time()
        is_ahead = bool(self._parser.answers) or self._parser.has_begun
        if self._parser.closes or is_ahead or self._is_out_of_step:
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
