"""Tests of fuchsiacourse.front.caller_connection over loopback."""

import asyncio
import socket
import unittest
from unittest import mock

from bench import front_fakes
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_connection
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table
from fuchsiacourse import system_clock

GET = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
EXPECTING = (
    b"POST /2 HTTP/%s\r\nHost: h\r\nContent-Length: 2\r\n"
    b"Expect: 100-continue\r\n\r\n"
)


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Each request must get its own complete answer, in order."""

    async def asyncSetUp(self) -> None:
        self.limits = front_fakes.config().limits
        self.is_config_current = True
        self.budget = body_budget.BodyBudget(max_bytes=1000)
        self.presences = []
        self.failures: list[Exception] = []
        self.release = asyncio.Event()
        self.release.set()
        self.server = caller_server.CallerServer(
            clock=system_clock.SystemClock(),
            address=("127.0.0.1", 0),
            handler=self.handle,
            limits=lambda: self.limits,
            is_config_current=lambda: self.is_config_current,
            budget=self.budget,
            rejections=front_fakes.rejections(),
            on_error=self.failures.append,
        )
        await self.server.start()
        self.reader, self.writer = await asyncio.open_connection(
            *self.server.address
        )

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.release.set()
        self.server.stop_listening()
        self.server.close_idle()
        while self.server.busy:
            await asyncio.sleep(0.01)

    async def handle(self, request, presence):
        self.presences.append(presence)
        await self.release.wait()
        if request.path == "/fail":
            raise ValueError("broken handler")
        return http_answer.HttpAnswer(
            status=200,
            headers=[(b"x-signature", b"s")],
            body=(
                b"a" * 8_000_000
                if request.path == "/long"
                else request.path.encode()
            ),
        )

    async def read_answer(self) -> tuple[bytes, bytes]:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        return head, await self.reader.readexactly(length)

    async def test_pipelined_requests(self):
        """Guards against lost or reordered answers to pipelined requests."""
        self.writer.write(GET % b"1" + GET % b"2")
        self.assertEqual(b"/1", (await self.read_answer())[1])
        self.assertEqual(b"/2", (await self.read_answer())[1])

    async def test_answer_that_the_caller_has_not_taken_is_in_progress(self):
        """Guards against a stop that loses answers in write buffers."""
        size = 8_000_000
        loop = asyncio.get_running_loop()
        # This connection would count as one that expects a request.
        self.writer.close()
        await self.writer.wait_closed()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, self.server.address)
            await loop.sock_sendall(caller, GET % b"long")
            async with asyncio.timeout(5.0):
                while not self.presences or self.server.writing == 0:
                    await asyncio.sleep(0.01)
            self.server.is_stopping = True
            self.server.close_idle()
            await asyncio.sleep(0.1)
            self.assertEqual(1, self.server.busy)
            read = 0
            while read < size:
                part = await loop.sock_recv(caller, 1 << 20)
                self.assertNotEqual(b"", part)
                read += len(part)
            async with asyncio.timeout(5.0):
                while self.server.writing:
                    await asyncio.sleep(0.01)

    async def test_malformed_request_is_answered_and_closed(self):
        """Guards against reading on after a request that can't be parsed."""
        self.writer.write(b"nonsense\r\n\r\n")
        head, _ = await self.read_answer()
        self.assertIn(b" 400 ", head)
        self.assertEqual(b"", await self.reader.read())
        self.assertEqual([], self.presences)

    async def test_malformed_request_after_another(self):
        """Guards against losing the answer before a malformed request."""
        self.writer.write(GET % b"1" + b"nonsense\r\n\r\n")
        self.assertEqual(b"/1", (await self.read_answer())[1])
        self.assertIn(b" 400 ", (await self.read_answer())[0])
        self.assertEqual(b"", await self.reader.read())

    async def test_failure_of_the_handler_is_answered_and_reported(self):
        """Guards against a handler's exception that goes unreported."""
        self.writer.write(GET % b"fail")
        self.assertIn(b" 500 ", (await self.read_answer())[0])
        self.assertEqual(1, len(self.failures))

    async def test_fault_while_parsing_is_not_blamed_on_the_caller(self):
        """Guards against a 400 for a proper request that the front broke on.

        The request isn't forwarded, the one before it is served.
        """
        fault = RuntimeError("broken check")
        with mock.patch.object(
            request_parser,
            "_check_head",
            autospec=True,
            side_effect=[None, fault],
        ):
            self.writer.write(GET % b"1" + GET % b"2")
            self.assertEqual(b"/1", (await self.read_answer())[1])
            self.assertIn(b" 500 ", (await self.read_answer())[0])
        self.assertEqual(b"", await self.reader.read())
        self.assertEqual(1, len(self.presences))
        self.assertEqual([fault], self.failures)

    async def test_presence_ends_when_the_caller_disconnects(self):
        """Guards against working on for a caller that has gone."""
        self.release.clear()
        self.writer.write(GET % b"1")
        while not self.presences:
            await asyncio.sleep(0.01)
        self.assertFalse(self.presences[0].is_disconnected)
        self.writer.close()
        await asyncio.wait_for(self.presences[0].disconnected, 1.0)

    async def test_slow_head_is_408(self):
        """Guards against connections held open by an unfinished head."""
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100,
            head_timeout_s=0.05,
            idle_timeout_s=15.0,
        )
        self.writer.write(b"GET /1 HTTP/1.1\r\nHo")
        await asyncio.sleep(0.1)
        self.server.sweep()
        self.assertIn(b" 408 ", (await self.read_answer())[0])

    async def test_slow_body_is_read_while_it_comes(self):
        """Guards against applying the timeout of the head to the body."""
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100,
            head_timeout_s=0.05,
            idle_timeout_s=15.0,
        )
        self.writer.write(
            b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na"
        )
        await asyncio.sleep(0.1)
        self.server.sweep()
        self.writer.write(b"b")
        self.assertEqual(b"/1", (await self.read_answer())[1])
        self.assertTrue(self.budget.reserve(1000))

    async def test_idle_connection_is_closed_after_the_limit_only(self):
        """Guards against closing idle connections too early or never."""
        self.writer.write(GET % b"1")
        await self.read_answer()
        self.server.sweep()
        self.writer.write(GET % b"2")
        self.assertEqual(b"/2", (await self.read_answer())[1])
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100,
            head_timeout_s=3.0,
            idle_timeout_s=0.05,
        )
        await asyncio.sleep(0.1)
        self.server.sweep()
        self.assertEqual(b"", await self.reader.read())

    async def test_open_connection_uses_the_current_limits(self):
        """Guards against applying outdated limits on an open connection."""
        self.limits = route_table.CallerLimits(
            max_head_bytes=100,
            max_body_bytes=1,
            head_timeout_s=3.0,
            idle_timeout_s=15.0,
        )
        reader, writer = await asyncio.open_connection(*self.server.address)
        self.reader, first = reader, self.reader
        writer.write(GET % b"1")
        self.assertEqual(b"/1", (await self.read_answer())[1])
        self.limits = front_fakes.config().limits
        writer.write(
            b"POST /2 HTTP/1.1\r\nHost: h\r\nX-A: %s\r\n"
            b"Content-Length: 50\r\n\r\n%s" % (b"a" * 500, b"b" * 50)
        )
        self.assertEqual(b"/2", (await self.read_answer())[1])
        writer.close()
        self.reader = first

    async def test_limits_that_may_be_stale_refuse_with_503(self):
        """Guards against a 4xx because of limits that may be stale."""
        value = b"a" * self.limits.max_head_bytes
        length = self.limits.max_body_bytes + 1
        for head, status in (
            (b"GET /1 HTTP/1.1\r\nHost: h\r\nX-A: %s\r\n" % value, b"431"),
            (b"GET /%s HTTP/1.1\r\nHost: h\r\n" % (value * 2), b"414"),
            (
                b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
                % length,
                b"413",
            ),
            (b"GET /1 HTTP/1.1\r\nno header\r\n", b"400"),
        ):
            for self.is_config_current in (True, False):
                expected = status
                if status != b"400" and not self.is_config_current:
                    expected = b"503"
                with self.subTest(status=status, expected=expected):
                    self.writer.close()
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.server.address
                    )
                    self.writer.write(head + b"\r\n")
                    answer, _ = await self.read_answer()
                    self.assertIn(b" %s " % expected, answer)

    async def upload_unread(self, count: int) -> None:
        """Sends a body in chunks whose rest the handler doesn't read."""
        self.writer.write(
            b"POST /1 HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            + b"%x\r\n%s\r\n" % (count, b"a" * count)
            + b"0\r\n\r\n"
        )
        await self.writer.drain()

    async def test_next_request_after_a_body_that_nobody_reads(self):
        """Guards against a connection that is never read again."""
        self.budget.release(10_000_000)
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=10_000_000,
            head_timeout_s=3.0,
            idle_timeout_s=15.0,
        )
        for count in range(520_000, 800_000, 20_000):
            with self.subTest(count=count):
                self.writer.close()
                self.reader, self.writer = await asyncio.open_connection(
                    *self.server.address
                )
                self.release.clear()
                await self.upload_unread(count)
                await asyncio.sleep(0.02)
                self.release.set()
                async with asyncio.timeout(5.0):
                    head, _ = await self.read_answer()
                    if b"connection: close" in head.lower():
                        continue
                    self.writer.write(GET % b"2")
                    self.assertEqual(b"/2", (await self.read_answer())[1])

    async def test_caller_that_takes_nothing(self):
        """Guards against answers without end in the buffer of a caller."""
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100,
            head_timeout_s=3.0,
            idle_timeout_s=0.3,
        )
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, self.server.address)
            await loop.sock_sendall(caller, GET % b"long" * 10)
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(self.presences))
            async with asyncio.timeout(5.0):
                while self.server.writing:
                    await asyncio.sleep(0.05)

    async def test_whole_answer_for_an_old_caller_is_bounded(self):
        """Guards against an endless answer that is kept for HTTP/1.0."""
        stream = body_stream.BodyStream(
            on_flow=lambda is_paused: None, on_close=lambda: None
        )
        for _ in range(10):
            stream.feed(b"a" * 200)

        async def answer_endlessly(request, presence):
            return http_answer.HttpAnswer(
                status=200, headers=[], body=b"", rest=stream
            )

        self.server.handler = answer_endlessly
        self.writer.write(b"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n")
        head, _ = await asyncio.wait_for(self.read_answer(), 5.0)
        self.assertIn(b" 502 ", head)
        await self.reader.read()
        self.assertTrue(self.budget.reserve(1000))

    async def test_stop_lets_a_pipelining_caller_take_its_answer(self):
        """Guards against a reset by a request that crosses the close."""
        size = 8_000_000
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, self.server.address)
            self.release.clear()
            await loop.sock_sendall(caller, GET % b"long")
            while not self.presences:
                await asyncio.sleep(0.01)
            self.server.is_stopping = True
            self.release.set()
            await asyncio.sleep(0.1)
            await loop.sock_sendall(caller, GET % b"2")
            read = 0
            async with asyncio.timeout(5.0):
                while read < size:
                    part = await loop.sock_recv(caller, 1 << 20)
                    self.assertNotEqual(b"", part)
                    read += len(part)

    async def test_rejected_upload_gets_its_answer(self):
        """Guards against a reset that takes a 413 from a sending caller."""
        count = self.limits.max_body_bytes + 8_000_000
        self.writer.write(
            b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % count
        )
        for _ in range(100):
            self.writer.write(b"a" * 80_000)
            await self.writer.drain()
            await asyncio.sleep(0.005)
        head, _ = await self.read_answer()
        self.assertIn(b" 413 ", head)

    async def test_rejected_caller_that_sends_on_is_closed(self):
        """Guards against reading on for ever after the last answer."""
        self.writer.write(b"nonsense\r\n\r\n")
        await self.read_answer()
        clock = front_fakes.ManualClock()
        clock.now_s = self.server.clock.now()
        self.server.clock = clock
        self.server.sweep()
        self.assertEqual(1, self.server.busy)
        clock.now_s += caller_connection.LINGER_S + 0.1
        self.server.sweep()
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.server.busy)

    async def test_stop_answers_a_connection_that_was_just_accepted(self):
        """Guards against a request that is cut off right after the accept."""
        # On a busy machine the connection is accepted a little later.
        async with asyncio.timeout(5.0):
            while not self.server.busy:
                await asyncio.sleep(0.001)
        self.server.is_stopping = True
        self.server.stop_listening()
        self.server.close_idle()
        self.assertEqual(1, self.server.busy)
        self.writer.write(GET % b"1")
        head, body = await self.read_answer()
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(b"/1", body)
        self.assertEqual(b"", await self.reader.read())
        self.assertEqual(0, self.server.busy)

    async def test_stop_finishes_the_request_and_closes(self):
        """Guards against a shutdown that cuts off a request."""
        self.release.clear()
        self.writer.write(GET % b"1")
        while not self.presences:
            await asyncio.sleep(0.01)
        self.server.is_stopping = True
        self.server.stop_listening()
        self.server.close_idle()
        self.release.set()
        head, body = await self.read_answer()
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(b"/1", body)
        self.assertEqual(b"", await self.reader.read())

    async def test_stop_answers_pipelined_requests_that_were_read(self):
        """Guards against a stop that drops a request read behind another."""
        self.release.clear()
        self.writer.write(GET % b"1" + GET % b"2" + (GET % b"3")[:9])
        while not self.presences:
            await asyncio.sleep(0.01)
        self.server.is_stopping = True
        self.server.stop_listening()
        self.server.close_idle()
        self.release.set()
        self.assertEqual(b"/1", (await self.read_answer())[1])
        self.assertEqual(b"/2", (await self.read_answer())[1])
        self.writer.write((GET % b"3")[9:])
        head, _ = await self.read_answer()
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(b"", await self.reader.read())
        self.assertEqual(3, len(self.presences))

    async def test_continue_is_written_after_the_answers_before_it(self):
        """Guards against a 100 (Continue) ahead of earlier answers."""
        self.release.clear()
        self.writer.write(GET % b"1" + EXPECTING % b"1.1")
        while not self.server.busy:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.release.set()
        head, body = await self.read_answer()
        self.assertIn(b" 200 ", head)
        self.assertNotIn(b"100 Continue", head)
        self.assertEqual(b"/1", body)
        line = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"100 Continue", line)
        self.writer.write(b"ab")
        self.assertEqual(b"/2", (await self.read_answer())[1])

    async def test_wait_for_continue_is_not_a_slow_body(self):
        """Guards against counting the wait for 100 (Continue) as slowness."""
        self.limits = route_table.CallerLimits(
            max_head_bytes=4096,
            max_body_bytes=100,
            head_timeout_s=3.0,
            idle_timeout_s=0.2,
        )
        self.release.clear()
        self.writer.write(GET % b"1" + EXPECTING % b"1.1")
        await asyncio.sleep(0.4)
        self.release.set()
        await self.read_answer()
        self.server.sweep()
        await self.reader.readuntil(b"\r\n\r\n")
        self.writer.write(b"ab")
        self.assertEqual(b"/2", (await self.read_answer())[1])

    async def test_no_continue_for_a_caller_of_http_1_0(self):
        """Guards against sending 100 (Continue) to an HTTP/1.0 caller."""
        self.writer.write(EXPECTING % b"1.0")
        await asyncio.sleep(0.05)
        self.writer.write(b"ab")
        head, body = await self.read_answer()
        self.assertNotIn(b"100 Continue", head)
        self.assertEqual(b"/2", body)

    async def test_expectation_is_met(self):
        """Guards against a caller that waits for 100 (Continue) for ever."""
        self.writer.write(
            b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        line = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"100 Continue", line)
        self.writer.write(b"ab")
        self.assertEqual(b"/1", (await self.read_answer())[1])
