"""Tests of targets that never stop sending bytes."""

import asyncio
import unittest

from bench import front_fakes
from bench import scripted_targets
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import client_connection

answer = scripted_targets.answer
BLOCK_BYTES = 65_536
# Far more than a front may read of an unusable answer.
GIVE_UP_BYTES = 200_000_000
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"X-Fuchsiacourse-Request-Id: q1\r\n"
    b"X-Fuchsiacourse-Response-Signature: s\r\n\r\n"
)


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A front must stop reading bytes that never become an answer."""

    async def asyncSetUp(self) -> None:
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def send_endlessly(self, writer, begin: bytes, more: bytes) -> None:
        """Sends bytes until the front closes the connection.

        Args:
            writer: Connection of the front.
            begin: First bytes.
            more: Bytes that are repeated after them.
        """
        block = more * max(1, BLOCK_BYTES // len(more))
        writer.write(begin)
        try:
            while self.sent_bytes < GIVE_UP_BYTES:
                writer.write(block)
                self.sent_bytes += len(block)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            self.closed.set()

    async def ask(self, begin: bytes, more: bytes, **options):
        """Returns the front's answer while the first target never stops.

        Args:
            begin: First bytes of the first target's answer.
            more: Bytes that it repeats after them.
            options: Settings of the route.
        """

        async def script(number, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            if number == 0:
                await self.send_endlessly(writer, begin, more)
                return
            await asyncio.wait_for(self.closed.wait(), 1.0)
            writer.write(answer("q1", 200))

        fleet = scripted_targets.ScriptedTargets(script)
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        return await fleet.ask(deadline_ms=1500, **options)

    async def test_endless_heads(self):
        """Guards against reading endless bytes that carry no body."""
        for name, begin, more in (
            ("status line", b"HTTP/1.1 200 ", b"a"),
            ("header value", b"HTTP/1.1 200 OK\r\nX: ", b"a"),
            ("headers", b"HTTP/1.1 200 OK\r\n", b"X: a\r\n"),
            ("informational", b"", b"HTTP/1.1 103 Hints\r\n\r\n"),
            ("empty lines", b"", b"\r\n"),
            ("chunk extension", CHUNKED + b"1;", b"a"),
            ("trailers", CHUNKED + b"1\r\na\r\n0\r\n", b"X: a\r\n"),
        ):
            for is_idempotent, status in ((True, 200), (False, 502)):
                with self.subTest(name, is_idempotent=is_idempotent):
                    await self.asyncSetUp()
                    got = await self.ask(
                        begin, more, is_idempotent=is_idempotent
                    )
                    self.assertEqual(status, got.status)
                    self.assertLess(self.sent_bytes, 20_000_000)

    async def test_endless_answers_without_streaming(self):
        """Guards against endless answers on connections that don't stream."""

        async def serve(reader, writer):
            await self.send_endlessly(writer, *endless_answers.pop(0))
            writer.transport.abort()

        head = b"HTTP/1.1 200 OK\r\n"
        endless_answers = [(head, b"X: a\r\n"), (head + b"\r\n", b"a")]
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        for _ in range(len(endless_answers)):
            connection = await client_connection.ClientConnection.open(
                server.sockets[0].getsockname(),
                limits=front_fakes.limits_on_answers(),
                source="t1",
                max_answer_bytes=1_000_000,
            )
            with self.assertRaises(errors.TargetBadAnswer):
                await connection.exchange(b"GET", accepts=lambda _: True)
            self.assertFalse(connection.is_usable)

    async def test_endless_late_answers(self):
        """Guards against reading late answers for ever."""
        for more in (answer("q0", 200), answer("q0", 404, is_signed=False)):
            await self.asyncSetUp()
            got = await self.ask(b"", more, is_idempotent=False)
            self.assertEqual(502, got.status)

    async def test_endless_body_of_a_late_answer(self):
        """Guards against reading the body of a late answer for ever."""
        late = CHUNKED.replace(b"q1", b"q0")
        got = await self.ask(late, b"1\r\na\r\n", is_idempotent=False)
        self.assertEqual(502, got.status)

    async def test_connection_of_an_endless_bad_answer_is_closed(self):
        """Guards against streaming on an answer that isn't forwarded."""
        begin = b"HTTP/1.1 404 No\r\nX-Fuchsiacourse-Request-Id: q1\r\n\r\n"
        got = await self.ask(begin, b"a" * BLOCK_BYTES)
        self.assertEqual(200, got.status)


class EndlessBodyTest(unittest.TestCase):
    """The deadline must hold for a body that never pauses."""

    def setUp(self) -> None:
        self.closed = 0

    def stream(self) -> body_stream.BodyStream:
        """Returns a stream with a deadline in 2 s."""
        stream = body_stream.BodyStream(
            on_flow=lambda is_paused: None, on_close=self.count_close
        )
        stream.deadline_s = asyncio.get_running_loop().time() + 2.0
        return stream

    def count_close(self) -> None:
        self.closed += 1

    def test_bytes_without_a_pause_end_at_the_deadline(self):
        """Guards against a deadline that is checked only while waiting."""

        async def main():
            stream = self.stream()
            with self.assertRaises(errors.BodyTruncated):
                for _ in range(30):
                    stream.feed(b"x")
                    await stream.read()
                    await asyncio.sleep(0.1)

        virtual_loop.run(main())
        self.assertEqual(1, self.closed)

    def test_complete_body_is_read_after_the_deadline(self):
        """Guards against dropping a body that was complete in time."""

        async def main():
            stream = self.stream()
            stream.feed(b"x")
            stream.end()
            await asyncio.sleep(3.0)
            self.assertEqual(b"x", await stream.read())

        virtual_loop.run(main())
        self.assertEqual(0, self.closed)
