"""Proxy on loopback that delays, silences, cuts and resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import typing

Address = tuple[str, int]

_READ_BYTES = 65_536


class _Link:
    """One connection through the proxy."""

    __slots__ = ("request", "is_mute")

    def __init__(self) -> None:
        # What the client has sent last.
        self.request = b""
        self.is_mute = False


class FaultProxy:
    """Forwards connections to one address, with faults on demand.

    Args:
        ip: Where to listen; the kernel gives the port.
        server: Address of the server.
    """

    def __init__(self, *, ip: str, server: Address) -> None:
        self.server = server
        self.address: Address = (ip, 0)
        # Time by which bytes are late, in seconds.
        self.delay_s = 0.0
        # Whether new connections are reset.
        self.refuses = False
        # Called when an answer is lost.
        self.on_lost: typing.Callable[[], None] | None = None
        # Answers that are still to be lost, to requests that have the mark.
        self._to_lose = 0
        self._mark = b""
        self._passes_to_server = asyncio.Event()
        self._passes_to_client = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._listener: asyncio.Server | None = None
        self.heal()

    async def start(self) -> None:
        """Starts to listen."""
        self._listener = await asyncio.start_server(
            self._accept, self.address[0], self.address[1]
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    def heal(self) -> None:
        """Ends all faults; bytes that were held back go on."""
        self.delay_s = 0.0
        self.refuses = False
        self._to_lose = 0
        self._passes_to_server.set()
        self._passes_to_client.set()

    def block(self, *, to_server: bool = True, to_client: bool = True):
        """Holds bytes back, in one direction or in both."""
        if to_server:
            self._passes_to_server.clear()
        if to_client:
            self._passes_to_client.clear()

    def drop_answers(self, count: int, mark: bytes = b"") -> None:
        """Loses the next answers; their connections say nothing further.

        Args:
            count: Number of answers.
            mark: What is in the requests whose answers are lost.
        """
        self._to_lose = count
        self._mark = mark

    def reset_all(self) -> None:
        """Resets the open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Ends the proxy."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if self.refuses:
                _reset(writer)
                return
            far_reader, far = await asyncio.open_connection(*self.server)
            self._writers.add(far)
            await self._join(reader, writer, far_reader, far)
        except (OSError, asyncio.CancelledError):
            # A peer has gone, or the proxy ends: both sides see a reset.
            _reset(writer)
        finally:
            for item in (writer, far):
                if item is not None:
                    self._writers.discard(item)
                    item.close()
            self._tasks.discard(task)

    async def _join(self, reader, writer, far_reader, far) -> None:
        link = _Link()
        pumps = [
            asyncio.ensure_future(self._pump_to_server(reader, far, link)),
            asyncio.ensure_future(
                self._pump_to_client(far_reader, writer, link)
            ),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump_to_server(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _Link,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            link.request = data
            await self._pass(data, writer, self._passes_to_server)
        await self._passes_to_server.wait()
        # The other direction of the connection ends as well.
        writer.close()

    async def _pump_to_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _Link,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if not link.is_mute and self._loses(link):
                link.is_mute = True
                if self.on_lost is not None:
                    self.on_lost()
            if not link.is_mute:
                await self._pass(data, writer, self._passes_to_client)
        await self._passes_to_client.wait()
        if link.is_mute:
            # Not even its end is told.
            await asyncio.Event().wait()
        writer.close()

    def _loses(self, link: _Link) -> bool:
        if self._to_lose <= 0 or self._mark not in link.request:
            return False
        self._to_lose -= 1
        return True

    async def _pass(
        self, data: bytes, writer: asyncio.StreamWriter, passes: asyncio.Event
    ) -> None:
        if self.delay_s > 0.0:
            await asyncio.sleep(self.delay_s)
        await passes.wait()
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        # Without lingering a close is a reset; a socket that is closed
        # already needs none.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
