"""Runs a front with loopback targets whose answers a script writes."""

from __future__ import annotations

import asyncio
import typing

from bench import front_fakes
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import pooled_sender
from fuchsiacourse.platform import wire_headers
from fuchsiacourse import system_clock

Script = typing.Callable[
    [int, asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]
# Limit of idle connections to each target.
MAX_IDLE = 2
_NOT_MODIFIED = 304


class ScriptedTargets:
    """A front and loopback targets that all run the same script.

    Args:
        script: Serves one connection. Its first argument is the number of
            connections that all targets accepted before.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._servers: list[asyncio.Server] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._clock = system_clock.SystemClock()
        self.accepted = 0
        self.front: typing.Any = None
        self._sender = pooled_sender.PooledSender(
            clock=self._clock,
            protocol=wire_headers.WireHeaders(),
            limits=front_fakes.limits_on_answers(),
            idle_limit=lambda service: MAX_IDLE,
        )

    async def start(self, count: int = 2) -> None:
        """Starts the targets and the front.

        Args:
            count: Number of targets.
        """
        records = []
        for number in range(count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._servers.append(server)
            records.append(
                front_fakes.record(
                    f"t{number}", address=server.sockets[0].getsockname()
                )
            )
        self.front = front_fakes.forwarder(
            self._sender, *records, clock=self._clock
        )

    async def stop(self) -> None:
        """Stops the targets and aborts all connections."""
        self._sender.close()
        for writer in self._writers:
            writer.transport.abort()
        for server in self._servers:
            server.close()
            await server.wait_closed()

    async def ask(
        self, id: str = "q1", *, deadline_ms: int = 1000, **changes: typing.Any
    ) -> http_answer.HttpAnswer:
        """Returns the front's answer to a request.

        Args:
            id: Id of the request.
            deadline_ms: Timeout of the caller, in milliseconds.
            changes: Settings of the route.
        """
        self.front.config = front_fakes.config(front_fakes.route(**changes))
        return await self.front.handle(
            front_fakes.request(
                id=id, deadline_ms=deadline_ms, received_s=self._clock.now()
            ),
            caller_presence.CallerPresence(),
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number, self.accepted = self.accepted, self.accepted + 1
        self._writers.append(writer)
        try:
            await self._script(number, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The front has closed the connection, or the test has ended.
            writer.close()


def answer(
    id: str,
    status: int,
    *,
    headers: str = "",
    body: bytes = b"body",
    is_signed: bool = True,
) -> bytes:
    """Returns the bytes of a target's answer.

    Args:
        id: Id of the request, empty to leave the header out.
        status: Status code.
        headers: Further header lines, each with its CRLF.
        body: The body; left out for status 304.
        is_signed: Whether to add the target's signature.
    """
    lines = [f"HTTP/1.1 {status} Status"]
    if status != _NOT_MODIFIED:
        lines.append(f"Content-Length: {len(body)}")
    if id:
        lines.append(f"X-Fuchsiacourse-Request-Id: {id}")
    if is_signed:
        lines.append("X-Fuchsiacourse-Response-Signature: s")
    head = ("\r\n".join(lines) + f"\r\n{headers}\r\n").encode()
    return head if status == _NOT_MODIFIED else head + body
