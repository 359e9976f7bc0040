"""Callers of one service at a steady rate, whatever the answers do."""

from __future__ import annotations

import asyncio
import os

from bench import fault_wire

# Time from the start of a request to the whole answer after which it counts as
# not served, in seconds.
ANSWER_TIMEOUT_S = 5.0
# Requests of a caller are due this long after one another, in seconds.
INTERVAL_S = 0.05
_OK = 200

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SteadyCallers:
    """Sends requests when they are due and records their latencies.

    A caller sends a request that is due on one of its idle connections, or on
    a new one while earlier requests wait for their answers.

    Args:
        fronts: IP address and port of each front.
        per_front: Number of callers a front.
        host: Host of the route.
        path: Prefix of the paths.
    """

    def __init__(
        self,
        *,
        fronts: list[tuple[str, int]],
        per_front: int,
        host: str,
        path: str,
    ) -> None:
        # Latencies of the requests that were served, in seconds.
        self.latencies_s: list[float] = []
        self.unserved = 0
        self._callers = [front for front in fronts for _ in range(per_front)]
        self._host = host
        self._path = path
        self._count = 0
        self._idle_by_caller: dict[int, list[Connection]] = {}

    async def run(self, for_s: float) -> None:
        """Sends requests for a time and waits for their answers.

        Args:
            for_s: Time in which requests are due, in seconds.
        """
        await asyncio.gather(
            *(
                self._run_caller(number, for_s)
                for number in range(len(self._callers))
            )
        )

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle_by_caller.values():
            for _, writer in connections:
                writer.transport.abort()
        self._idle_by_caller.clear()

    def take(self) -> tuple[list[float], int]:
        """Returns the latencies and the requests not served, and resets."""
        taken = self.latencies_s, self.unserved
        self.latencies_s, self.unserved = [], 0
        return taken

    async def _run_caller(self, number: int, for_s: float) -> None:
        loop = asyncio.get_running_loop()
        # The callers' requests are due at different times.
        due_s = loop.time() + INTERVAL_S * number / len(self._callers)
        end_s = loop.time() + for_s
        requests = []
        while due_s < end_s:
            await asyncio.sleep(due_s - loop.time())
            requests.append(asyncio.ensure_future(self._send(number)))
            due_s += INTERVAL_S
        await asyncio.gather(*requests)

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        # What the process of the callers itself is late doesn't count.
        begin_s = loop.time()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status = await self._exchange(number)
        except (OSError, TimeoutError, EOFError):
            status = 0
        if status == _OK:
            self.latencies_s.append(loop.time() - begin_s)
        else:
            self.unserved += 1

    async def _exchange(self, number: int) -> int:
        idle = self._idle_by_caller.setdefault(number, [])
        reader, writer = (
            idle.pop()
            if idle
            else await asyncio.open_connection(*self._callers[number])
        )
        is_reusable = False
        try:
            status, fields = await self._ask(reader, writer)
            is_reusable = fields.get("connection", "").lower() != "close"
        finally:
            if is_reusable:
                idle.append((reader, writer))
            else:
                writer.transport.abort()
        return status

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[int, fault_wire.Fields]:
        self._count += 1
        id = f"{os.getpid():x}-s{self._count:x}"
        writer.write(
            f"POST {self._path}{id} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"X-Fuchsiacourse-Request-Id: {id}\r\n"
            "Content-Length: 2\r\n\r\nab".encode()
        )
        status, fields = await fault_wire.read_answer_head(reader)
        await fault_wire.read_body(reader, fields)
        return status, fields
