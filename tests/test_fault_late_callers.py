"""Tests of the late callers of the fault soak."""

import asyncio
import pathlib
import random
import types
import unittest

from bench import fault_late_callers
from bench import fault_target
from bench import fault_testbed
from bench import fault_wire

IP = "127.0.0.1"
EARLY = (
    b"HTTP/1.1 503 Unavailable\r\nContent-Length: 5\r\n"
    b"Connection: %b\r\n\r\nlater"
)


class LateCallersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that miss what a stopping front does."""

    async def asyncSetUp(self) -> None:
        self.testbed = fault_testbed.FaultTestbed(
            folder=pathlib.Path(), rng=random.Random(1)
        )
        self.checker = self.testbed.checker
        self.callers = fault_late_callers.LateCallers(
            testbed=self.testbed, count=1, rng=random.Random(1)
        )

    def call(self, form: fault_wire.Form):
        """Returns a request in a form that is sent within a second."""
        front = types.SimpleNamespace(ip=IP)
        while (call := self.callers._late_call(front)).form is not form:
            pass
        call.pause_s = min(call.pause_s, 0.05)
        self.checker.record_request(call.id, call.sent)
        return call

    async def exchange(self, call, serve) -> bool:
        """Sends a request to a server, and returns whether it is kept."""
        server = await asyncio.start_server(serve, IP, 0)
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()
        )
        try:
            return await self.callers._exchange_all([call], reader, writer)
        finally:
            writer.close()
            server.close()

    async def serve_early(self, reader, writer, *, ends: bool) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(EARLY % (b"close" if ends else b"keep-alive"))
        if ends:
            await writer.drain()
            writer.transport.abort()
        while not ends and await reader.read(65_536):
            pass
        writer.close()

    async def test_early_answer_on_a_kept_connection(self):
        """Guards against an early answer that counts as lost."""
        call = self.call(fault_wire.Form.STREAMED)
        await self.exchange(
            call, lambda *streams: self.serve_early(*streams, ends=False)
        )
        self.assertEqual(503, call.sent.status)
        self.assertEqual(1, self.checker.checked["early answer 503"])
        self.assertEqual(0, self.checker.checked["cut off"])

    async def test_early_answer_with_a_reset(self):
        """Guards against an early answer that a reset takes away."""
        call = self.call(fault_wire.Form.PAUSED)
        kept = await self.exchange(
            call, lambda *streams: self.serve_early(*streams, ends=True)
        )
        self.assertFalse(kept)
        self.assertEqual(503, call.sent.status)

    async def reset(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    async def test_reset_while_the_body_is_sent(self):
        """Guards against a request that was never whole but counts as lost."""
        call = self.call(fault_wire.Form.PAUSED)
        self.checker.record_fault(IP, 6.0, is_planned=True)
        kept = await self.exchange(call, self.reset)
        self.assertFalse(kept)
        self.assertIsNone(call.sent.whole_s)
        self.assertEqual(1, self.checker.checked["cut off while sending"])
        self.assertEqual([], self.checker.violations)

    async def drop(self, reader, writer) -> None:
        _, fields = await fault_wire.read_head(reader)
        await fault_wire.read_body(reader, fields)
        await asyncio.sleep(0.3)
        writer.close()

    async def test_drop_of_a_whole_request(self):
        """Guards against a dropped request that goes unnoticed."""
        for form in fault_late_callers.FORMS[1:]:
            call = self.call(form)
            self.checker.record_fault(IP, 6.0, is_planned=True)
            await self.exchange(call, self.drop)
            self.assertIn(
                f"LOST: {call.id} connection closed by {IP}",
                self.checker.violations[-1],
            )
        self.assertEqual(3, len(self.checker.violations))

    async def answer(self, reader, writer) -> None:
        line, fields = await fault_wire.read_head(reader)
        body = await fault_wire.read_body(reader, fields)
        id = fields["x-fuchsiacourse-request-id"]
        answered = fault_target.body_for(id, body)
        writer.write(
            b"HTTP/1.1 200 OK\r\nx-fuchsiacourse-response-signature: s\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(answered), answered)
        )
        writer.close()

    async def test_slow_reader_gets_a_whole_long_answer(self):
        """Guards against a slow reader that loses part of an answer."""
        call = self.call(fault_wire.Form.PLAIN)
        while not fault_target.is_long(call.id, b""):
            call = self.call(fault_wire.Form.PLAIN)
        call.read_pause_s = 0.002
        self.assertTrue(await self.exchange(call, self.answer))
        self.assertEqual(200, call.sent.status)
        self.assertEqual([], self.checker.violations)

    async def test_requests_of_each_kind(self):
        """Guards against kinds of requests that the callers leave out."""
        front = types.SimpleNamespace(ip=IP)
        calls = [self.callers._late_call(front) for _ in range(200)]
        self.assertEqual(
            {
                "plain",
                "chunks with pauses",
                "streamed",
                "streamed chunks with pauses",
            },
            {call.sent.form.partition(",")[0] for call in calls},
        )
        streamed = [call for call in calls if "/stream/" in call.sent.path]
        self.assertGreater(len(streamed), 5)
        for call in streamed:
            self.assertTrue(fault_target.is_long(call.id, call.body))
        slow = [call for call in calls if call.read_pause_s]
        self.assertGreater(len(slow), 5)
        for call in slow:
            self.assertIn("read slowly", call.sent.form)
