"""Stand-in for an upstream of a service.

It registers itself, answers health checks, runs ``slots`` requests at a time
and queues a few more. A request that it can't take gets 503 with
``X-Fuchsiacourse-Not-Executed``. Every answer echoes the request id.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import random
import time
import typing

import standin_record as records
import standin_store as stores
import standin_wire as wire

HEARTBEAT_S = 1.5
KEEP_ALIVE_S = 10
Work = typing.Callable[[wire.Message], float]
Body = typing.Callable[[wire.Message], bytes]


class Upstream:
    """One upstream process.

    Args:
        store: Store in which it registers.
        record: Record of the case.
        service: Name of its service.
        zone: Its availability zone.
        address: IP address and port.
        slots: Requests that it runs at a time.
        queue: Requests that may wait for a slot.
        work_s: Returns the time that a request takes, in seconds.
        body: Returns the body of the answer to a request.
    """

    # Whether a request is dropped when its connection closes.
    drops_on_close = True

    def __init__(
        self,
        *,
        store: stores.Store,
        record: records.Record,
        service: str,
        zone: str,
        address: tuple[str, int],
        slots: int,
        queue: int,
        work_s: Work,
        body: Body = lambda message: b"done",
    ) -> None:
        self._store = store
        self._record = record
        self.service = service
        self.zone = zone
        self.address = address
        self._slots = slots
        self._queue = queue
        self._work_s = work_s
        self._body = body
        self.id = ""
        self.running = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts a new incarnation and registers it."""
        self.id = f"i-{random.getrandbits(40):010x}"
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beat = asyncio.ensure_future(self._register())

    async def crash(self) -> None:
        """Ends without a word: connections are reset, nothing listens."""
        assert self._server is not None and self._beat is not None
        self._server.close()
        self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self.running = 0
        self._waiting.clear()

    def forget(self) -> None:
        """Lets the registration of a crashed incarnation expire."""
        self._store.delete("servers", self.id)

    async def _register(self) -> None:
        born = int(time.time() * 1000)
        sequence = 0
        while True:
            sequence += 1
            self._store.put(
                "servers",
                self.id,
                {
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "born": born,
                    "info": {
                        "service": self.service,
                        "version": "v1",
                        "zone": self.zone,
                        "slots": self._slots,
                    },
                    "status": {
                        "state": "ready",
                        "sequence": sequence,
                        "cold_remaining_ms": 0,
                    },
                },
            )
            # The entry changes only when more than the sequence changes.
            await asyncio.sleep(3600.0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await wire.read_message(reader)
                await self.on_request(writer)
                if self.drops_on_close:
                    data = await self._handle_until_closed(message, reader)
                else:
                    data = await self._handle(message)
                if data is None:
                    return
                await self.send(message, data, writer)
        except (EOFError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_until_closed(
        self, message: wire.Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Handles a request; returns None if its connection closes."""
        handling = asyncio.ensure_future(self._handle(message))
        closing = asyncio.ensure_future(_until_closed(reader))
        await asyncio.wait(
            (handling, closing), return_when=asyncio.FIRST_COMPLETED
        )
        closing.cancel()
        if handling.done():
            return handling.result()
        handling.cancel()
        return None

    async def on_request(self, writer: asyncio.StreamWriter) -> None:
        """Called when a request has been read, before it is handled."""

    async def send(
        self, message: wire.Message, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an answer; a faulty upstream does more than that."""
        writer.write(data)
        await writer.drain()

    async def _handle(self, message: wire.Message) -> bytes | None:
        if message.first[1] == "/health":
            return self._answer(message, 200)
        expected = message.headers.get("x-fuchsiacourse-expected-instance")
        if expected not in (None, self.id):
            return self._answer(message, 421)
        if self.running >= self._slots and not await self._wait():
            return self._answer(message, 503)
        self.running += 1
        try:
            return await self.run(message)
        finally:
            self.running = max(0, self.running - 1)
            while self._waiting:
                waiter = self._waiting.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    break

    async def run(self, message: wire.Message) -> bytes | None:
        """Runs a request; returns its answer, None to close instead."""
        id = message.headers.get("x-fuchsiacourse-request-id", "")
        self._record.ran(id, self.id)
        await asyncio.sleep(self._work_s(message))
        return self._answer(message, 200, self._body(message))

    async def _wait(self) -> bool:
        if len(self._waiting) >= self._queue:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            raise
        return True

    def _answer(
        self, message: wire.Message, status: int, body: bytes = b""
    ) -> bytes:
        headers = {
            wire.PREFIX + "Instance-Id": self.id,
            wire.PREFIX + "Server-Load": f"{self.running},{len(self._waiting)}"
            f",{self._slots}",
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        id = message.headers.get("x-fuchsiacourse-request-id")
        if id:
            headers[wire.PREFIX + "Request-Id"] = id
        if status == 503:
            headers[wire.PREFIX + "Not-Executed"] = "1"
        if status == 200:
            digest = hashlib.blake2b(body, digest_size=8).hexdigest()
            headers[wire.PREFIX + "Response-Signature"] = digest
        return wire.answer(status, body, headers)


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Returns when the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.05)
