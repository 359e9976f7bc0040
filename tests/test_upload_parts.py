"""Tests of uploads in tiny parts over loopback."""

import asyncio
import unittest
from unittest import mock

import structlog

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_connection
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import route_table
from fuchsiacourse import system_clock

UPLOAD = (
    b"POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
GET = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
ONE_BYTE = b"1\r\na\r\n"
END = b"0\r\n\r\n"
# Memory budget of the server.
MAX_BYTES = 2_000_000


class UploadPartsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against parts of uploads that cost a front too much."""

    async def asyncSetUp(self) -> None:
        self.failures: list[Exception] = []
        self.bodies: list[bytes] = []
        self.parts: list[bytes] = []
        self.cut: list[str] = []
        self.metrics = front_metrics.FrontMetrics(gauges=dict)
        self.budget = body_budget.BodyBudget(max_bytes=MAX_BYTES)
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.floods: list[asyncio.Task[None]] = []
        lines = structlog.testing.capture_logs()
        self.lines = self.enterContext(lines)
        self.server = caller_server.CallerServer(
            clock=system_clock.SystemClock(),
            address=("127.0.0.1", 0),
            handler=self.handle,
            limits=lambda: route_table.CallerLimits(
                max_head_bytes=16_384,
                max_body_bytes=64_000_000,
                head_timeout_s=3.0,
                idle_timeout_s=15.0,
            ),
            budget=self.budget,
            rejections=front_fakes.rejections(
                metrics=self.metrics, log=structlog.get_logger()
            ),
            on_error=self.failures.append,
        )
        await self.server.start()

    async def asyncTearDown(self) -> None:
        for flood in self.floods:
            flood.cancel()
        await asyncio.gather(*self.floods, return_exceptions=True)
        self.server.stop_listening()
        self.assertEqual([], self.failures)

    async def handle(self, request, presence) -> http_answer.HttpAnswer:
        await self.may_answer.wait()
        parts = [request.body]
        try:
            while request.rest and (part := await request.rest.read()):
                self.parts.append(part)
                parts.append(part)
        except errors.BodyTruncated as error:
            self.cut.append(str(error))
            return http_answer.HttpAnswer(status=502, headers=[])
        self.bodies.append(b"".join(parts))
        return http_answer.HttpAnswer(status=200, headers=[], body=b"ok")

    async def connect(self):
        return await asyncio.open_connection(*self.server.address)

    async def send_without_end(self, data: bytes) -> None:
        """Sends one chunk over and over, and reads nothing."""
        _, writer = await self.connect()
        try:
            writer.write(UPLOAD)
            while True:
                writer.write(data * 10_000)
                await writer.drain()
                await asyncio.sleep(0.0)
        except ConnectionError:
            return
        finally:
            writer.close()

    async def upload(self, *pieces: bytes) -> bytes:
        """Sends an upload and returns the head of the answer."""
        reader, writer = await self.connect()
        try:
            for piece in (UPLOAD, *pieces):
                writer.write(piece)
                await writer.drain()
            async with asyncio.timeout(20.0):
                return await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()

    async def test_tiny_chunks_do_not_hold_up_others(self):
        """Guards against uploads that take the event loop from others."""
        loop = asyncio.get_running_loop()
        self.floods = [
            loop.create_task(self.send_without_end(ONE_BYTE)) for _ in range(5)
        ]
        await asyncio.sleep(0.2)
        reader, writer = await self.connect()
        waits_s = []
        for _ in range(20):
            began_s = loop.time()
            writer.write(GET)
            await reader.readuntil(b"ok")
            waits_s.append(loop.time() - began_s)
        writer.close()
        self.assertLess(sorted(waits_s)[10], 0.05)

    async def test_tiny_chunks_without_end_are_rejected(self):
        """Guards against an upload of tiny chunks that is never ended."""
        head = await self.upload(ONE_BYTE * 300_000)
        self.assertIn(b" 413 ", head)
        (line,) = self.lines
        self.assertEqual(
            ("request_rejected", 413, "body in too many parts"),
            (line["event"], line["status"], line["reason"]),
        )
        self.assertGreater(line["parts"], 200_000)
        self.assertLess(line["parts"], 210_000)
        self.assertGreater(line["read_bytes"], 200_000)
        self.assertIn(
            b'{status="413",reason="body in too many parts"} 1',
            self.metrics.render(),
        )

    async def test_forwarded_tiny_chunks_without_end_are_cut_off(self):
        """Guards against tiny chunks that are forwarded without end."""
        head = await self.upload(b"4\r\nabcd\r\n" * 300_000)
        self.assertIn(b" 502 ", head)
        self.assertEqual(["body in too many parts"], self.cut)
        (line,) = self.lines
        self.assertEqual(
            (413, "body in too many parts"), (line["status"], line["reason"])
        )

    async def test_tiny_chunks_are_joined(self):
        """Guards against one part passed on for each tiny chunk."""
        count = 100_000
        head = await self.upload(b"4\r\nabcd\r\n" * count, END)
        self.assertIn(b" 200 ", head)
        self.assertEqual([b"abcd" * count], self.bodies)
        self.assertLess(len(self.parts), count / 100)

    async def test_waiting_requests_count_against_the_budget(self):
        """Guards against pipelined requests that use memory unseen."""
        self.may_answer.clear()
        reader, writer = await self.connect()
        line = b"A: %s\r\n" % (b"a" * 8000)
        writer.write(GET * 3000 + b"GET /2 HTTP/1.1\r\n" + line + b"B:")
        await asyncio.sleep(0.3)
        self.assertFalse(self.budget.reserve(MAX_BYTES - 50_000))
        self.may_answer.set()
        async with asyncio.timeout(20.0):
            for _ in range(3000):
                await reader.readuntil(b"ok")
        self.assertFalse(self.budget.reserve(MAX_BYTES))
        writer.close()
        async with asyncio.timeout(5.0):
            while self.server.busy:
                await asyncio.sleep(0.01)
        self.assertTrue(self.budget.reserve(MAX_BYTES))

    async def test_requests_behind_an_answer_wait(self):
        """Guards against queueing all that a caller sends meanwhile."""
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(GET)
        await asyncio.sleep(0.1)
        for _ in range(40):
            writer.write(GET * 1000)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        # Queued requests need many times the bytes that a read takes.
        self.assertTrue(self.budget.reserve(MAX_BYTES - 600_000))
        self.may_answer.set()
        async with asyncio.timeout(20.0):
            for _ in range(1000):
                await reader.readuntil(b"ok")
        writer.close()

    async def test_body_cut_off_for_memory_is_no_second_request(self):
        """Guards against serving the first part of a body as a whole one."""
        paths = []

        async def handle(request, presence):
            paths.append(request.path)
            await asyncio.sleep(3600.0)

        self.server.handler = handle
        connection = caller_connection.CallerConnection(server=self.server)
        connection.connection_made(mock.Mock())
        left = 2 * body_stream.HIGH_WATER_BYTES + 100_000
        self.assertTrue(self.budget.reserve(MAX_BYTES - left))
        head = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 640000\r\n\r\n"
        connection.data_received(head)
        for _ in range(8):
            connection.data_received(b"a" * 64_000)
        # The body ends in the bytes that make it wait.
        connection.data_received(b"a" * 128_000 + GET * 10_000)
        await asyncio.sleep(0.0)
        self.assertEqual(["/1"], paths)
        queued = connection._parser.requests
        self.assertEqual({b"GET"}, {request.method for request in queued})
        connection._task.cancel()
        connection.connection_lost(None)

    async def test_waiting_requests_without_memory_are_rejected(self):
        """Guards against many callers' requests that exhaust the memory."""
        self.assertTrue(self.budget.reserve(MAX_BYTES - 20_000))
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(GET * 3000)
        await asyncio.sleep(0.3)
        self.may_answer.set()
        async with asyncio.timeout(20.0):
            answers = await reader.read()
            while not answers.endswith(b"now\n"):
                answers += await reader.read(65_536)
        writer.close()
        self.assertIn(b" 503 ", answers)
        self.assertIn(b"no memory for the request now", answers)
        self.assertLess(answers.count(b" 200 "), 200)

    async def test_upload_in_chunks_of_ten_bytes_passes(self):
        """Guards against rejecting an honest upload of 100,000 chunks."""
        head = await self.upload(b"a\r\n0123456789\r\n" * 100_000, END)
        self.assertIn(b" 200 ", head)
        self.assertEqual([b"0123456789" * 100_000], self.bodies)
        self.assertEqual([], self.lines)

    async def test_slow_small_chunks_pass(self):
        """Guards against rejecting 20 chunks of 30 bytes a second."""
        reader, writer = await self.connect()
        writer.write(UPLOAD)
        for _ in range(40):
            writer.write(b"1e\r\n%s\r\n" % (b"a" * 30))
            await asyncio.sleep(0.05)
        writer.write(END)
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        writer.close()
        self.assertEqual([b"a" * 1200], self.bodies)
