"""Tests of answers that cost far more than their bytes."""

import asyncio
import tracemalloc
import unittest
from unittest import mock

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import answer_budget
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import paced_input
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
TINY = b"1\r\na\r\n"


class FakeTransport:
    """Transport that notes whether it is read."""

    def __init__(self) -> None:
        self.is_reading = True
        self.is_aborted = False
        self.get_extra_info = mock.Mock()
        self.write = mock.Mock()

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def abort(self) -> None:
        self.is_aborted = True
        self.is_reading = False


def receive(connection, data: bytes) -> None:
    """Delivers bytes to a connection in reads."""
    for start in range(0, len(data), answer_limits.READ_BYTES):
        piece = data[start : start + answer_limits.READ_BYTES]
        connection.get_buffer(-1)[: len(piece)] = piece
        connection.buffer_updated(len(piece))


class CostlyAnswersTest(unittest.TestCase):
    """Answers in tiny parts must not take the front from other work.

    The connections run on virtual time, with a fake transport.
    """

    def setUp(self) -> None:
        self.log = mock.Mock()

    def run_front(self, main):
        """Runs a coroutine function and returns its result."""

        async def run():
            self.metrics = front_metrics.FrontMetrics(gauges=dict)
            self.limits = front_fakes.limits_on_answers(
                clock=virtual_loop.VirtualClock(),
                metrics=self.metrics,
                log=self.log,
            )
            return await main()

        return virtual_loop.run(run())

    def connect(self):
        """Returns a connection that waits for an answer, and its task."""
        connection = client_connection.ClientConnection(
            limits=self.limits,
            source="t1",
            max_answer_bytes=64_000_000,
            streams_bodies=True,
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        task = asyncio.ensure_future(
            connection.exchange(b"GET", accepts=lambda _: True)
        )
        return connection, transport, task

    async def feed(self, connection, transport, data: bytes) -> None:
        """Delivers bytes as fast as the connection reads them."""
        size = answer_limits.READ_BYTES
        for start in range(0, len(data), size):
            while not transport.is_reading:
                if transport.is_aborted:
                    return
                await asyncio.sleep(0.001)
            receive(connection, data[start : start + size])

    def test_tiny_chunks_without_end(self):
        """Guards against a target that takes the front from others."""
        read_parts = []

        async def main():
            opened = [self.connect() for _ in range(5)]
            await asyncio.sleep(0)
            feeds = [
                asyncio.ensure_future(
                    self.feed(*item[:2], CHUNKED + TINY * 100_000)
                )
                for item in opened
            ]
            await asyncio.sleep(0.5)
            read_parts.extend(
                connection._parser.part_count for connection, _, _ in opened
            )
            for _, _, task in opened:
                task.cancel()
            await asyncio.gather(*feeds)
            self.assertTrue(all(item[1].is_aborted for item in opened))

        self.run_front(main)
        free = work_meter.FREE_PARTS + 200 + paced_input.MIN_SLICE_BYTES
        self.assertLess(
            sum(read_parts), 0.5 * work_share.PARTS_PER_S + 5 * free
        )
        # All of them are parsed on in turns.
        self.assertGreater(min(read_parts), 5000)

    def test_answer_of_tiny_chunks_without_end_is_dropped(self):
        """Guards against an answer that is read for ever, unnoticed."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            await self.feed(connection, transport, CHUNKED + TINY * 300_000)
            self.assertTrue(transport.is_aborted)
            self.assertFalse(connection.is_usable)
            with self.assertRaises(errors.TargetBadAnswer):
                await task
            return connection._parser.part_count

        parts = self.run_front(main)
        self.assertLess(parts, work_meter.MAX_MESSAGE_PARTS * 1.1)
        self.log.warning.assert_called_once()
        line = self.log.warning.call_args.kwargs
        self.assertEqual("t1", line["target"])
        self.assertEqual("parts", line["limit"])
        self.assertEqual(work_meter.MAX_MESSAGE_PARTS, line["value"])
        self.assertEqual(parts, line["parts"])
        self.assertGreater(line["bytes"], 1_000_000)
        self.assertIn(
            b'front_answers_dropped_total{limit="parts"} 1',
            self.metrics.render(),
        )

    def test_long_answer_that_goes_on_in_tiny_chunks_is_cut(self):
        """Guards against streaming tiny chunks for ever."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            begin = CHUNKED + b"50000\r\n" + b"a" * 0x50000 + b"\r\n"
            await self.feed(connection, transport, begin)
            answer = await task
            feeding = asyncio.ensure_future(
                self.feed(connection, transport, TINY * 300_000)
            )
            with self.assertRaises(errors.BodyTruncated):
                while await answer.rest.read():
                    pass
            await feeding
            self.assertTrue(transport.is_aborted)

        self.run_front(main)
        self.log.warning.assert_called_once()
        self.assertEqual("parts", self.log.warning.call_args.kwargs["limit"])

    def test_slow_small_parts_pass(self):
        """Guards against delaying 20 parts of 30 bytes a second for 30 s."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            receive(connection, CHUNKED)
            for _ in range(600):
                self.assertTrue(transport.is_reading)
                receive(connection, b"1e\r\n" + b"a" * 30 + b"\r\n")
                await asyncio.sleep(0.05)
            receive(connection, b"0\r\n\r\n")
            self.assertEqual(b"a" * 18_000, (await task).body)
            self.assertTrue(connection.is_usable)

        self.run_front(main)

    def test_long_answer_in_chunks_of_ten_bytes_passes(self):
        """Guards against dropping an honest answer of 100,000 chunks."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            feeding = asyncio.ensure_future(
                self.feed(
                    connection,
                    transport,
                    CHUNKED + b"a\r\n0123456789\r\n" * 100_000 + b"0\r\n\r\n",
                )
            )
            answer = await task
            parts = [answer.body]
            while part := await answer.rest.read():
                parts.append(part)
            await feeding
            self.assertEqual(b"0123456789" * 100_000, b"".join(parts))
            self.assertTrue(connection.is_usable)
            return asyncio.get_running_loop().time()

        self.assertLess(self.run_front(main), 1.2)

    def test_ordinary_answers_never_pause(self):
        """Guards against delaying frequent answers beside a flood."""

        async def main():
            flood, flood_transport, flooding = self.connect()
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            await self.feed(flood, flood_transport, CHUNKED + TINY * 11_000)
            answer = OK + b"X: a\r\n" * 20 + b"Content-Length: 2\r\n\r\nab"
            for _ in range(500):
                receive(connection, answer)
                self.assertTrue(transport.is_reading)
                self.assertEqual(b"ab", (await task).body)
                task = asyncio.ensure_future(
                    connection.exchange(b"GET", accepts=lambda _: True)
                )
                await asyncio.sleep(0)
            for item in (task, flooding):
                item.cancel()
            await asyncio.gather(task, flooding, return_exceptions=True)

        self.run_front(main)

    def test_bytes_after_an_answer_that_wait_end_the_connection(self):
        """Guards against taking surplus bytes for the next answer."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            # The answer ends with a slice that the connection pays for.
            body = TINY * 2000 + b"0\r\n\r\n"
            size = len(CHUNKED + body) + len(b"X: \r\n")
            padding = b"a" * (-size % paced_input.MIN_SLICE_BYTES)
            head = CHUNKED[:-2] + b"X: %s\r\n\r\n" % padding
            receive(connection, head + body + OK[:10])
            self.assertEqual(b"a" * 2000, (await task).body)
            self.assertFalse(connection.is_usable)

        self.run_front(main)

    def test_close_after_an_answer_that_is_read_at_once(self):
        """Guards against reusing a connection that its target closes."""

        async def main():
            connection, transport, task = self.connect()
            await asyncio.sleep(0)
            size = 400_000
            head = OK + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
            receive(connection, head % size + b"a" * size)
            answer = await task
            self.assertTrue(answer.rest.is_ended)
            self.assertFalse(connection.is_usable)

        self.run_front(main)

    def test_long_answers_share_their_memory(self):
        """Guards against memory that grows with the number of callers."""
        data = CHUNKED + (b"fe00\r\n" + b"a" * 0xFE00 + b"\r\n") * 20

        async def main():
            opened = [self.connect() for _ in range(40)]
            await asyncio.sleep(0)
            tracemalloc.start()
            try:
                feeds = [
                    asyncio.ensure_future(self.feed(*item[:2], data))
                    for item in opened
                ]
                await asyncio.sleep(0.5)
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            # No caller reads its answer, so no target is read on.
            self.assertFalse(any(item[1].is_reading for item in opened))
            answers = [await task for _, _, task in opened]
            for (connection, _, _), answer in zip(opened, answers):
                answer.rest.close()
                connection.connection_lost(None)
            self.assertTrue(all(item[1].is_aborted for item in opened))
            await asyncio.gather(*feeds)
            return held_bytes

        self.assertLess(
            self.run_front(main),
            4 * answer_budget.MAX_BYTES + 80 * answer_limits.READ_BYTES,
        )
        self.assertEqual(
            body_stream.HIGH_WATER_BYTES, self.limits.budget.share_bytes
        )

    def test_memory_of_answers_that_end_is_used_again(self):
        """Guards against shares that shrink with each answer."""
        size = 100_000
        answer = OK + b"Content-Length: %d\r\n\r\n" % size + b"a" * size

        async def main():
            connection, _, task = self.connect()
            await asyncio.sleep(0)
            for _ in range(200):
                receive(connection, answer)
                self.assertEqual(size, len((await task).body))
                task = asyncio.ensure_future(
                    connection.exchange(b"GET", accepts=lambda _: True)
                )
                await asyncio.sleep(0)
            receive(connection, answer[:-1])
            connection.close()
            connection.connection_lost(None)
            await asyncio.gather(task, return_exceptions=True)

        self.run_front(main)
        self.assertEqual(
            body_stream.HIGH_WATER_BYTES, self.limits.budget.share_bytes
        )


class PacedEndTest(unittest.IsolatedAsyncioTestCase):
    """The end of a connection must not overtake the bytes before it."""

    async def test_answer_before_an_orderly_close(self):
        """Guards against losing an answer behind many tiny parts."""

        async def serve(reader, writer):
            await reader.read(100)
            writer.write(b"HTTP/1.1 103 Hints\r\n\r\n" * 2900)
            writer.write(OK + b"\r\nwhole")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        connection = await client_connection.ClientConnection.open(
            server.sockets[0].getsockname(),
            limits=front_fakes.limits_on_answers(),
            source="t1",
            max_answer_bytes=1_000_000,
        )
        answer = await asyncio.wait_for(
            connection.exchange(b"GET", accepts=lambda _: True), 3.0
        )
        self.assertEqual((200, b"whole"), (answer.status, answer.body))
