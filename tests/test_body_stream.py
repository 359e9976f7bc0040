"""Tests of long bodies that are streamed while they arrive."""

import asyncio
import tracemalloc
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import outcome
from fuchsiacourse.front import pooled_sender
from fuchsiacourse.front import request_run
from fuchsiacourse.front import route_table
from fuchsiacourse.front import target as targets
from fuchsiacourse.platform import wire_headers
from fuchsiacourse import system_clock
from tests import test_pooled_sender

IP = "127.0.0.1"
# Several times the buffered bytes, and not a multiple of any buffer size.
LENGTH = 3_000_001
BODY = bytes(number % 251 for number in range(LENGTH))
OK = b"HTTP/1.1 200 OK\r\nX-Fuchsiacourse-Response-Signature: s\r\n"


class BodyStreamTest(unittest.TestCase):
    """The reader must learn whether a body is complete or truncated."""

    def setUp(self) -> None:
        self.flows: list[bool] = []
        self.closed = 0

    def stream(self) -> body_stream.BodyStream:
        return body_stream.BodyStream(
            on_flow=self.flows.append, on_close=self.count_close
        )

    def count_close(self) -> None:
        self.closed += 1

    def test_parts_come_in_order_and_end(self):
        """Guards against reordered or lost parts."""

        async def main():
            stream = self.stream()
            stream.feed(b"a")
            stream.feed(b"b")
            stream.end()
            return [await stream.read() for _ in range(2)]

        self.assertEqual([b"ab", b""], virtual_loop.run(main()))
        self.assertEqual(0, self.closed)

    def test_long_parts_come_in_order_and_end(self):
        """Guards against lost bytes where parts are joined."""
        parts = [b"%d" % (number % 10) * number for number in range(1, 900)]
        parts += [b"x" * 65_536, b"y" * 65_537, b"z"]
        got: list[bytes] = []

        async def main():
            stream = self.stream()
            for number, part in enumerate(parts):
                stream.feed(part)
                if number % 300 == 0:
                    got.append(await stream.read())
            stream.end()
            while part := await stream.read():
                got.append(part)

        virtual_loop.run(main())
        self.assertEqual(b"".join(parts), b"".join(got))

    def test_tiny_parts_are_kept_and_read_joined(self):
        """Guards against memory and calls for each tiny part of a body."""
        reads: list[bytes] = []

        async def main():
            stream = self.stream()
            tracemalloc.start()
            try:
                for number in range(100_000):
                    stream.feed(b"%02d" % (number % 100))
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            stream.end()
            while part := await stream.read():
                reads.append(part)
            return held_bytes

        self.assertLess(virtual_loop.run(main()), 250_000)
        self.assertEqual(200_000, sum(map(len, reads)))
        self.assertLess(len(reads), 10)

    def test_closed_stream_never_looks_complete(self):
        """Guards against a truncated body that is passed on as complete.

        Resuming the sender may bring the end of the body at once.
        """

        async def main():
            def on_flow(is_paused):
                if not is_paused:
                    stream.end()

            stream = body_stream.BodyStream(
                on_flow=on_flow, on_close=self.count_close
            )
            stream.feed(b"a" * (body_stream.HIGH_WATER_BYTES + 1))
            stream.close()
            with self.assertRaises(errors.BodyTruncated):
                await stream.read()

        virtual_loop.run(main())

    def test_ended_stream_that_is_closed_never_looks_complete(self):
        """Guards against dropped parts of a body that had ended."""

        async def main():
            stream = self.stream()
            stream.feed(b"a")
            stream.end()
            stream.close()
            with self.assertRaises(errors.BodyTruncated):
                await stream.read()

        virtual_loop.run(main())

    def test_failure_is_raised_after_the_parts(self):
        """Guards against a truncated body that looks complete."""

        async def main():
            stream = self.stream()
            stream.feed(b"a")
            stream.fail(errors.TargetBadAnswer("reset"))
            self.assertEqual(b"a", await stream.read())
            with self.assertRaises(errors.BodyTruncated):
                await stream.read()

        virtual_loop.run(main())

    def test_sender_pauses_above_the_high_water_mark(self):
        """Guards against unbounded buffering and against a lost resume."""

        async def main():
            stream = self.stream()
            stream.feed(b"x" * body_stream.HIGH_WATER_BYTES)
            self.assertEqual([], self.flows)
            stream.feed(b"x")
            self.assertEqual([True], self.flows)
            await stream.read()
            self.assertEqual([True, False], self.flows)

        virtual_loop.run(main())

    def test_read_fails_at_the_deadline(self):
        """Guards against a read that waits for ever."""

        async def main():
            stream = self.stream()
            ends: list[Exception | None] = []
            stream.on_end = ends.append
            stream.deadline_s = asyncio.get_running_loop().time() + 2.0
            with self.assertRaises(errors.BodyTruncated):
                await stream.read()
            self.assertEqual(1, len(ends))
            self.assertIsNotNone(ends[0])

        virtual_loop.run(main())
        self.assertEqual(1, self.closed)


class LongBodyTest(unittest.IsolatedAsyncioTestCase):
    """Long bodies must pass from end to end, complete or visibly truncated.

    A caller and a target are connected by a front over loopback.
    """

    async def asyncSetUp(self) -> None:
        self.clock = system_clock.SystemClock()
        self.sender = pooled_sender.PooledSender(
            clock=self.clock,
            protocol=wire_headers.WireHeaders(),
            limits=front_fakes.limits_on_answers(),
            idle_limit=lambda service: 2,
        )
        self.failures: list[Exception] = []
        self.results: list[outcome.Outcome] = []
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.accepted = 0
        self.tasks: set[asyncio.Task] = set()
        self.budget = body_budget.BodyBudget(max_bytes=2_000_000)
        self.serve = self.echo_length
        target = await asyncio.start_server(self.accept, IP, 0, limit=2**20)
        self.target_server = target
        address = target.sockets[0].getsockname()
        self.target = targets.Target(
            record=front_fakes.record("t1", address=address), now_s=0.0
        )
        self.front = caller_server.CallerServer(
            clock=self.clock,
            address=(IP, 0),
            handler=self.handle,
            limits=lambda: route_table.CallerLimits(
                max_head_bytes=4096,
                max_body_bytes=10_000_000,
                head_timeout_s=3.0,
                idle_timeout_s=0.3,
            ),
            budget=self.budget,
            rejections=front_fakes.rejections(),
            on_error=self.failures.append,
        )
        await self.front.start()
        self.reader, self.writer = await asyncio.open_connection(
            *self.front.address, limit=2**23
        )

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.front.stop_listening()
        self.front.close_idle()
        self.sender.close()
        self.target_server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.assertEqual([], self.failures)

    async def accept(self, reader, writer) -> None:
        self.accepted += 1
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                await self.serve(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The front has closed the connection, or the test has ended.
            self.bodies.append(b"cut")
        finally:
            writer.close()

    async def handle(self, request, presence) -> http_answer.HttpAnswer:
        result = await self.sender.send(
            self.target,
            request,
            request_id="q1",
            deadline_s=self.clock.now() + 1.0,
            is_idempotent=True,
        )
        self.results.append(result.outcome)
        if result.answer is None:
            return http_answer.HttpAnswer(status=502, headers=[])
        return result.answer.without_hop_by_hop()

    async def echo_length(self, reader, writer) -> None:
        """Reads a body, chunked or not, and answers with its length."""
        head = self.heads[-1].lower()
        if b"transfer-encoding: chunked" in head:
            parts = []
            while size := int(await reader.readuntil(b"\r\n"), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
            body = b"".join(parts)
        else:
            length = int(head.split(b"content-length: ")[1].split()[0])
            body = await reader.readexactly(length)
        self.bodies.append(body)
        text = b"%d" % len(body)
        writer.write(test_pooled_sender.answer("q1", text))

    def post(self, framing: str) -> None:
        self.writer.write(
            f"POST /a HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode()
        )

    async def read_head(self) -> bytes:
        return (await self.reader.readuntil(b"\r\n\r\n")).lower()

    async def test_long_request_with_a_length(self):
        """Guards against a changed body or length, and a memory leak."""
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY)
        self.assertIn(b" 200 ", await self.read_head())
        self.assertEqual([BODY], self.bodies)
        self.assertIn(b"content-length: %d" % LENGTH, self.heads[0].lower())
        # All memory has been released.
        self.assertTrue(self.budget.reserve(2_000_000))

    async def test_long_request_in_chunks_and_another(self):
        """Guards against mixing a chunked body with the next request."""
        self.post("Transfer-Encoding: chunked")
        for start in range(0, LENGTH, 70_000):
            self.writer.write(body_stream.chunk(BODY[start : start + 70_000]))
        self.writer.write(body_stream.chunk(b""))
        self.assertIn(b" 200 ", await self.read_head())
        self.assertEqual(b"%d" % LENGTH, await self.reader.readexactly(7))
        self.post("Content-Length: 2")
        self.writer.write(b"ab")
        self.assertIn(b" 200 ", await self.read_head())
        self.assertEqual([BODY, b"ab"], self.bodies)

    async def test_request_starts_before_its_body_is_complete(self):
        """Guards against buffering a long body whole."""
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY[:400_000])
        while not self.heads:
            await asyncio.sleep(0.01)
        self.writer.write(BODY[400_000:])
        self.assertIn(b" 200 ", await self.read_head())

    async def test_caller_that_disconnects_in_its_body(self):
        """Guards against a target that gets a truncated body as complete."""
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY[:400_000])
        while not self.heads:
            await asyncio.sleep(0.01)
        self.writer.close()
        while not self.results:
            await asyncio.sleep(0.01)
        self.assertEqual([outcome.Outcome.LOST], self.results)
        while not self.bodies:
            await asyncio.sleep(0.01)
        self.assertEqual([b"cut"], self.bodies)

    async def test_caller_that_stops_in_its_body(self):
        """Guards against waiting for ever for the rest of a body."""
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY[:400_000])
        while not self.results:
            await asyncio.sleep(0.1)
            self.front.sweep()
        self.assertEqual([outcome.Outcome.LOST], self.results)

    async def test_early_answer_is_delivered_and_the_rest_dropped(self):
        """Guards against losing an answer that comes before the body ends."""

        async def answer_early(reader, writer):
            writer.write(test_pooled_sender.answer("q1", b"no"))
            await asyncio.sleep(5.0)

        self.serve = answer_early
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY[:400_000])
        head = await self.read_head()
        self.assertIn(b"connection: close", head)
        self.assertEqual(b"no", await self.reader.readexactly(2))
        self.writer.write(BODY[400_000:])
        self.assertEqual(b"", await self.reader.read())

    async def test_no_memory_for_a_long_body(self):
        """Guards against exceeding the memory budget for bodies."""
        self.budget.reserve(1_600_000)
        self.post(f"Content-Length: {LENGTH}")
        self.writer.write(BODY[:400_000])
        self.assertIn(b" 503 ", await self.read_head())
        self.assertEqual([], self.heads)

    async def test_long_answer_with_a_length(self):
        """Guards against a changed body and a connection that isn't reused."""

        async def serve(reader, writer):
            writer.write(test_pooled_sender.answer("q1", BODY))

        self.serve = serve
        for _ in range(2):
            self.post("Content-Length: 0")
            head = await self.read_head()
            self.assertIn(b"content-length: %d" % LENGTH, head)
            body = await self.reader.readexactly(LENGTH)
            self.assertEqual(BODY, body)
        # Both answers came over the same connection.
        self.assertEqual(1, self.accepted)

    async def test_long_late_answer_is_dropped(self):
        """Guards against streaming the answer to an earlier request."""

        async def serve(reader, writer):
            writer.write(test_pooled_sender.answer("q0", BODY))
            writer.write(test_pooled_sender.answer("q1", b"ours"))

        self.serve = serve
        self.post("Content-Length: 0")
        self.assertIn(b" 200 ", await self.read_head())
        self.assertEqual(b"ours", await self.reader.readexactly(4))

    async def test_long_answer_that_ends_with_its_connection(self):
        """Guards against losing the end of an answer without a length."""

        async def serve(reader, writer):
            writer.write(OK + b"X-Fuchsiacourse-Request-Id: q1\r\n\r\n" + BODY)
            await writer.drain()
            raise OSError("closes")

        self.serve = serve
        self.post("Content-Length: 0")
        self.assertIn(b"transfer-encoding: chunked", await self.read_head())
        parts = []
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            parts.append(await self.reader.readexactly(size))
            await self.reader.readexactly(2)
        self.assertEqual(BODY, b"".join(parts))

    async def check_cut(self, cut) -> None:
        """Checks that a truncated answer doesn't look complete."""
        self.serve = cut
        self.post("Content-Length: 0")
        await self.read_head()
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            if cut.__name__ == "cut_unframed":
                while size := int(await self.reader.readuntil(b"\r\n"), 16):
                    await self.reader.readexactly(size + 2)
            else:
                await self.reader.readexactly(LENGTH)

    async def test_long_answer_that_is_truncated(self):
        """Guards against a clean end of a truncated answer."""

        async def cut_framed(reader, writer):
            writer.write(test_pooled_sender.answer("q1", BODY)[:1_000_000])
            await writer.drain()
            raise OSError("closes")

        await self.check_cut(cut_framed)

    async def test_long_answer_without_length_that_is_reset(self):
        """Guards against taking a reset for an orderly close."""

        async def cut_unframed(reader, writer):
            head = OK + b"X-Fuchsiacourse-Request-Id: q1\r\n\r\n"
            writer.write(head + BODY[:1_000_000])
            await writer.drain()
            await asyncio.sleep(0.2)
            test_pooled_sender.reset(writer)

        await self.check_cut(cut_unframed)

    async def test_long_answer_that_stalls_ends_at_the_deadline(self):
        """Guards against waiting for ever for the rest of an answer."""

        async def cut_framed(reader, writer):
            writer.write(test_pooled_sender.answer("q1", BODY)[:1_000_000])
            await asyncio.sleep(9.0)

        started_s = self.clock.now()
        await self.check_cut(cut_framed)
        self.assertLess(self.clock.now() - started_s, 3.0)

    async def test_caller_that_disconnects_in_a_long_answer(self):
        """Guards against a target that works on an abandoned request."""
        ended = asyncio.Event()

        async def serve(reader, writer):
            writer.write(test_pooled_sender.answer("q1", BODY * 10))
            try:
                await writer.drain()
                await reader.read()
            finally:
                ended.set()

        self.serve = serve
        self.post("Content-Length: 0")
        await self.read_head()
        self.writer.close()
        # The target must see the disconnect within half a second.
        await asyncio.wait_for(ended.wait(), 0.5)


class LongBodyRunTest(unittest.TestCase):
    """A body that has been read from its stream can't be sent again."""

    def test_late_request_with_an_unread_body_is_not_hedged(self):
        """Guards against two attempts that each read parts of one body."""

        async def main():
            sender = front_fakes.FakeSender(
                lambda *_: (5.0, front_fakes.answered())
            )
            front = front_fakes.forwarder(
                sender, front_fakes.record("t1"), front_fakes.record("t2")
            )
            front.config = front_fakes.config(front_fakes.route(timeout_s=9.0))
            request = front_fakes.request(deadline_ms=9000)
            request.rest = body_stream.BodyStream(
                on_flow=lambda is_paused: None, on_close=lambda: None
            )
            presence = request_run.caller_presence.CallerPresence()
            answer = await front.handle(request, presence)
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(sender.sent_ids))

        virtual_loop.run(main())

    def test_consumed_request_has_one_attempt(self):
        """Guards against a retry with a truncated body."""

        async def main():
            def behave(target, count):
                request.rest.has_been_read = True
                return 0.01, front_fakes.result(outcome.Outcome.LOST)

            sender = front_fakes.FakeSender(behave)
            front = front_fakes.forwarder(
                sender, front_fakes.record("t1"), front_fakes.record("t2")
            )
            front.config = front_fakes.config(front_fakes.route())
            request = front_fakes.request()
            request.rest = body_stream.BodyStream(
                on_flow=lambda is_paused: None, on_close=lambda: None
            )
            presence = request_run.caller_presence.CallerPresence()
            answer = await front.handle(request, presence)
            self.assertEqual(502, answer.status)
            self.assertEqual(1, len(sender.sent_ids))

        virtual_loop.run(main())
