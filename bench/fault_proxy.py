"""Loopback proxy that delays, blocks, drops and resets traffic on demand."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import typing

Address = tuple[str, int]

_READ_BYTES = 65_536


class _Connection:
    """One connection through the proxy."""

    __slots__ = ("request", "is_silenced")

    def __init__(self) -> None:
        # Bytes that were read last from the client.
        self.request = b""
        # Whether an answer was dropped; all that follows is dropped too.
        self.is_silenced = False


class FaultProxy:
    """Forwards connections to one server, with faults on demand.

    Args:
        ip: IP address to listen on; the kernel assigns the port.
        server: Address of the server.
    """

    def __init__(self, *, ip: str, server: Address) -> None:
        self.server = server
        self.address: Address = (ip, 0)
        # Delay of the bytes in each direction, in seconds.
        self.delay_s = 0.0
        # Whether new connections are reset.
        self.refuses = False
        # Called when an answer is dropped.
        self.on_lost: typing.Callable[[], None] | None = None
        # Number of answers still to be dropped, to requests that contain the
        # mark.
        self._drops_left = 0
        self._mark = b""
        # Set while bytes may pass in the direction.
        self._open_to_server = asyncio.Event()
        self._open_to_client = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._listener: asyncio.Server | None = None
        self.heal()

    async def start(self) -> None:
        """Starts to listen and sets ``address``."""
        self._listener = await asyncio.start_server(
            self._accept, self.address[0], self.address[1]
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    def heal(self) -> None:
        """Ends all faults and forwards the bytes that were held back.

        Connections with a dropped answer stay silent.
        """
        self.delay_s = 0.0
        self.refuses = False
        self._drops_left = 0
        self._open_to_server.set()
        self._open_to_client.set()

    def block(self, *, to_server: bool = True, to_client: bool = True):
        """Holds bytes back until ``heal``, in one direction or in both."""
        if to_server:
            self._open_to_server.clear()
        if to_client:
            self._open_to_client.clear()

    def drop_answers(self, count: int, mark: bytes = b"") -> None:
        """Drops the next answers and all that follows on their connections.

        Args:
            count: Number of answers to drop.
            mark: Bytes that the requests of these answers contain.
        """
        self._drops_left = count
        self._mark = mark

    def reset_all(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
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
        server_writer: asyncio.StreamWriter | None = None
        try:
            if self.refuses:
                _reset(writer)
                return
            server_reader, server_writer = await asyncio.open_connection(
                *self.server
            )
            self._writers.add(server_writer)
            await self._forward(reader, writer, server_reader, server_writer)
        except (OSError, asyncio.CancelledError):
            # One side has disconnected, or the proxy closes: both sides get
            # a reset.
            _reset(writer)
        finally:
            for item in (writer, server_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.close()
            self._tasks.discard(task)

    async def _forward(
        self, reader, writer, server_reader, server_writer
    ) -> None:
        connection = _Connection()
        tasks = [
            asyncio.ensure_future(
                self._forward_to_server(reader, server_writer, connection)
            ),
            asyncio.ensure_future(
                self._forward_to_client(server_reader, writer, connection)
            ),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _forward_to_server(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            connection.request = data
            await self._forward_bytes(data, writer, self._open_to_server)
        await self._open_to_server.wait()
        # Closing the writer ends the other direction of the connection too.
        writer.close()

    async def _forward_to_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if not connection.is_silenced and self._should_drop(connection):
                connection.is_silenced = True
                if self.on_lost is not None:
                    self.on_lost()
            if not connection.is_silenced:
                await self._forward_bytes(data, writer, self._open_to_client)
        await self._open_to_client.wait()
        if connection.is_silenced:
            # The client doesn't even see the end of the connection.
            await asyncio.Event().wait()
        writer.close()

    def _should_drop(self, connection: _Connection) -> bool:
        if self._drops_left <= 0 or self._mark not in connection.request:
            return False
        self._drops_left -= 1
        return True

    async def _forward_bytes(
        self, data: bytes, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        if self.delay_s > 0.0:
            await asyncio.sleep(self.delay_s)
        await is_open.wait()
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        # With a linger time of 0 the close sends a reset. A socket that is
        # already closed raises OSError and needs none.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
