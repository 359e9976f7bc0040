"""Tests callers' connections over loopback with random valid traffic."""

import asyncio
import random
import unittest

from bench import front_fakes
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import route_table
from fuchsiacourse import system_clock
from tests import test_request_parser_traffic as traffic

CONNECTIONS = 60


class RandomTrafficTest(unittest.IsolatedAsyncioTestCase):
    """Each valid request must get its own answer, in order."""

    async def asyncSetUp(self) -> None:
        self.failures: list[Exception] = []
        self.rng = random.Random(1)
        self.server = caller_server.CallerServer(
            clock=system_clock.SystemClock(),
            address=("127.0.0.1", 0),
            handler=self.handle,
            limits=lambda: route_table.CallerLimits(
                max_head_bytes=traffic.MAX_HEAD_BYTES,
                max_body_bytes=traffic.MAX_BODY_BYTES,
                head_timeout_s=3.0,
                idle_timeout_s=15.0,
            ),
            budget=body_budget.BodyBudget(max_bytes=1_000_000),
            rejections=front_fakes.rejections(),
            on_error=self.failures.append,
        )
        await self.server.start()

    async def asyncTearDown(self) -> None:
        self.server.stop_listening()
        self.server.close_idle()
        self.assertEqual([], self.failures)

    async def handle(self, request, presence):
        await asyncio.sleep(self.rng.choice((0.0, 0.002)))
        return http_answer.HttpAnswer(
            status=200,
            headers=[(b"x-target", request.target)],
            body=request.body,
        )

    async def read_answer(
        self, reader, request: traffic.RandomRequest
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 100 "):
            self.assertIn((b"Expect", b"100-Continue"), request.headers)
            head = await reader.readuntil(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.assertIn(b" 200 ", lines[0])
        self.assertIn(b"x-target: " + request.target, lines)
        if request.method != b"HEAD":
            body = await reader.readexactly(len(request.body))
            self.assertEqual(request.body, body)

    async def run_connection(self, seed: int) -> None:
        rng = random.Random(seed)
        reader, writer = await asyncio.open_connection(*self.server.address)
        count = rng.randint(1, 8)
        sent = [
            traffic.RandomRequest(rng=rng, is_last=number == count - 1)
            for number in range(count)
        ]
        for request in sent:
            data = request.encode()
            cut = len(data) - len(request.encoded_body)
            for piece in (data[:cut], data[cut:]):
                writer.write(piece)
                if rng.random() < 0.5:
                    await asyncio.sleep(0.002)
        for request in sent:
            await asyncio.wait_for(self.read_answer(reader, request), 10.0)
        writer.close()

    async def test_valid_requests_get_their_answers(self):
        """Guards against requests and answers that get mixed up."""
        for seed in range(CONNECTIONS):
            with self.subTest(seed=seed):
                await self.run_connection(seed)
