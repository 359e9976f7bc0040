"""Tests that all valid forms of a target's answer reach the caller."""

import asyncio
import unittest

from bench import front_fakes
from bench import scripted_targets
from fuchsiacourse.front import caller_presence

answer = scripted_targets.answer
SIGNED = (
    b"X-Fuchsiacourse-Request-Id: q1\r\n"
    b"X-Fuchsiacourse-Response-Signature: s\r\n"
)


class AnswerFormsTest(unittest.IsolatedAsyncioTestCase):
    """A valid answer must be forwarded, an invalid one must become a 502."""

    async def ask(
        self,
        data: bytes,
        *,
        method: bytes = b"GET",
        headers: tuple = (),
        closes: bool = False,
    ):
        """Returns the front's answer and the head that the target received.

        Args:
            data: Bytes that the target answers.
            method: Method of the request.
            headers: Additional headers of the request.
            closes: Whether the target closes its side after the answer.
        """
        heads = []

        async def script(number, reader, writer):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(data)
            if closes:
                writer.write_eof()
            await reader.read()

        fleet = scripted_targets.ScriptedTargets(script)
        await fleet.start(count=1)
        self.addAsyncCleanup(fleet.stop)
        fleet.front.config = front_fakes.config(
            front_fakes.route(is_idempotent=False)
        )
        request = front_fakes.request(received_s=fleet.front.clock.now())
        request.method = method
        request.headers.extend(headers)
        got = await fleet.front.handle(
            request, caller_presence.CallerPresence()
        )
        await asyncio.sleep(0)
        return got, heads[0].lower()

    async def test_informational_answers_before_the_final_one(self):
        """Guards against an informational answer being taken for the final."""
        for first in (b"100 Continue", b"102 Wait", b"103 Hints"):
            got, _ = await self.ask(
                b"HTTP/1.1 %s\r\nX: a\r\n\r\n" % first * 2 + answer("q1", 404)
            )
            self.assertEqual((404, b"body"), (got.status, got.body))
            self.assertIsNone(got.header(b"x"))

    async def test_protocol_switch_becomes_a_bad_gateway(self):
        """Guards against forwarding a 101 that nobody requested."""
        for headers in (b"", b"Upgrade: x\r\nConnection: upgrade\r\n"):
            got, _ = await self.ask(
                b"HTTP/1.1 101 Switching\r\n%s%s\r\n" % (SIGNED, headers)
            )
            self.assertEqual(502, got.status)

    async def test_head_has_no_body(self):
        """Guards against waiting for the body of an answer to HEAD."""
        for status in (200, 404, 405):
            head = answer("q1", status, body=b"a" * 300_000)[:-300_000]
            got, _ = await self.ask(head, method=b"HEAD")
            self.assertEqual((status, b""), (got.status, got.body))
            self.assertIn(
                b"300000", got.encode(keeps_alive=True, has_body=False)
            )

    async def test_status_without_a_body(self):
        """Guards against waiting for the body of a 204 or 304."""
        for status in (204, 304):
            got, _ = await self.ask(
                b"HTTP/1.1 %d X\r\n%sETag: e\r\n\r\n" % (status, SIGNED)
            )
            self.assertEqual((status, b""), (got.status, got.body))
            self.assertEqual(b"e", got.header(b"etag"))

    async def test_conditions_and_ranges_reach_the_target(self):
        """Guards against dropped conditional or range headers."""
        headers = (
            (b"if-none-match", b"e"),
            (b"if-modified-since", b"today"),
            (b"range", b"bytes=0-3"),
            (b"if-range", b"e"),
        )
        for status in (206, 304, 412, 416):
            got, head = await self.ask(answer("q1", status), headers=headers)
            self.assertEqual(status, got.status)
            for name, value in headers:
                self.assertIn(b"%s: %s\r\n" % (name, value), head)

    async def test_answer_without_length_ends_with_its_connection(self):
        """Guards against losing an answer that a close delimits."""
        for status in (200, 404):
            got, _ = await self.ask(
                b"HTTP/1.1 %d X\r\n%s\r\nbody" % (status, SIGNED), closes=True
            )
            self.assertEqual((status, b"body"), (got.status, got.body))

    async def test_unsigned_answer_without_length_is_a_bad_gateway(self):
        """Guards against trusting an unsigned 404 that a close delimits."""
        got, _ = await self.ask(
            b"HTTP/1.1 404 No\r\nX-Fuchsiacourse-Request-Id: q1\r\n\r\nbody",
            closes=True,
        )
        self.assertEqual(502, got.status)

    async def test_success_marked_as_not_run_is_a_bad_gateway(self):
        """Guards against trusting an answer that contradicts itself."""
        got, _ = await self.ask(
            answer("q1", 200, headers="X-Fuchsiacourse-Not-Executed: 1\r\n")
        )
        self.assertEqual(502, got.status)

    async def test_success_without_request_id_is_a_bad_gateway(self):
        """Guards against ignoring a success without a request id."""
        got, _ = await self.ask(answer("", 200))
        self.assertEqual(502, got.status)
