"""Callers of the fault soak; they keep connections open."""

from __future__ import annotations

import asyncio
import random

from bench import fault_ledger
from bench import fault_target
from bench import fault_world

ANSWER_TIMEOUT_S = 6.0
DEADLINE_MS = 3000
# None, a short one, and one that is passed on while it arrives.
BODY_BYTES = (0, 9, 400_000)
PAUSE_S = 0.08
# Requests on a connection before a new one is opened.
MOST_ON_CONNECTION = 60


class FaultCallers:
    """Sends requests to the fronts and checks the answers.

    Args:
        world: Fronts, targets and routes.
        count: Callers that send at the same time.
        rng: Source of randomness, not that of the faults.
    """

    def __init__(
        self, *, world: fault_world.FaultWorld, count: int, rng: random.Random
    ) -> None:
        self._world = world
        self._rng = rng
        self._count = count
        self._ids = 0
        self._tasks: list[asyncio.Task] = []
        self.is_stopped = False
        # Monotonic time and success of the last requests.
        self.results: list[tuple[float, bool]] = []

    def start(self) -> None:
        """Starts to send."""
        self._tasks = [
            asyncio.ensure_future(self._call()) for _ in range(self._count)
        ]

    async def stop(self) -> None:
        """Finishes the last requests."""
        self.is_stopped = True
        await asyncio.gather(*self._tasks)

    def served_share(self, since_s: float) -> float:
        """Returns the share of the requests served since some time."""
        found = [
            is_served for at_s, is_served in self.results if at_s > since_s
        ]
        return sum(found) / len(found) if found else 0.0

    async def _call(self) -> None:
        while not self.is_stopped:
            ups = [front for front in self._world.fronts if front.is_up]
            if not ups:
                await asyncio.sleep(PAUSE_S)
                continue
            front = self._rng.choice(ups)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(front.ip, fault_world.FRONT_PORT),
                    1.0,
                )
            except (OSError, TimeoutError):
                # It has just been stopped, or has not started yet.
                self._note(False)
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._use(front, reader, writer)
            finally:
                writer.close()

    async def _use(
        self,
        front: fault_world.FaultFront,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for _ in range(MOST_ON_CONNECTION):
            if self.is_stopped:
                return
            id = self._next_id()
            route = self._rng.choice(list(self._world.service_by_route))
            body = self._rng.randbytes(self._rng.choice(BODY_BYTES))
            sent = fault_ledger.Sent(
                front=front.ip,
                path=f"/{route}/{id}",
                body=body,
                is_safe=route.startswith("safe"),
                at_s=self._world.clock.now(),
            )
            self._world.ledger.sent(id, sent)
            try:
                keeps_alive = await asyncio.wait_for(
                    self._exchange(id, route, sent, body, reader, writer),
                    ANSWER_TIMEOUT_S,
                )
            except (asyncio.IncompleteReadError, OSError):
                self._world.ledger.cut_off(id)
                self._note(False)
                return
            except TimeoutError:
                self._world.ledger.unanswered(id)
                self._note(False)
                return
            if not keeps_alive:
                return
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * PAUSE_S))

    async def _exchange(
        self,
        id: str,
        route: str,
        sent: fault_ledger.Sent,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(
            f"POST {sent.path} HTTP/1.1\r\nHost: {fault_world.HOST}\r\n"
            f"X-Fuchsiacourse-Request-Id: {id}\r\n"
            f"X-Fuchsiacourse-Request-Deadline: {DEADLINE_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split()[1])
        length = int(head.split("content-length: ")[1].split()[0])
        got = await reader.readexactly(length)
        self._world.ledger.answered(
            id,
            status,
            is_whole=got == fault_target.body_for(id, body),
            is_signed="response-signature" in head,
        )
        if status == 404:
            self._world.ledger.missing_route(
                sent.front, sent.path, self._world.known_s_by_route[route]
            )
        self._note(status == 200)
        return "connection: close" not in head

    def _next_id(self) -> str:
        self._ids += 1
        return f"{self._rng.getrandbits(32):08x}{self._ids:08x}"

    def _note(self, is_served: bool) -> None:
        self.results.append((self._world.clock.now(), is_served))
