"""Tests of targets that answer before they have read a long body."""

import asyncio
import unittest

from bench import front_fakes
from bench import scripted_targets
from fuchsiacourse import errors
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_presence

answer = scripted_targets.answer
LENGTH = 1_000_000
PART = b"b" * 100_000
LONG = b"a" * LENGTH
NOT_RUN = "X-Fuchsiacourse-Not-Executed: 1\r\n"


class EarlyAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A connection with an unfinished body must not carry other requests."""

    async def asyncSetUp(self) -> None:
        # Bytes that the target has read after the head, by connection.
        self.reads: list[bytearray] = []
        self.rest = body_stream.BodyStream(
            on_flow=lambda is_paused: None, on_close=lambda: None
        )

    async def ask(self, early: bytes, **options):
        """Returns the targets and the front's answer to a long request.

        Args:
            early: Answer of the target after it has read the head.
            options: Settings of the route.
        """

        async def script(number, reader, writer):
            self.reads.append(bytearray())
            head = await reader.readuntil(b"\r\n\r\n")
            is_long = b"%d" % LENGTH in head
            writer.write(early if is_long else answer("q2", 200))
            while part := await reader.read(65_536):
                self.reads[number] += part

        fleet = scripted_targets.ScriptedTargets(script)
        await fleet.start(count=1)
        self.addAsyncCleanup(fleet.stop)
        fleet.front.config = front_fakes.config(front_fakes.route(**options))
        request = front_fakes.request(
            body=PART, received_s=fleet.front.clock.now()
        )
        request.headers.append((b"content-length", b"%d" % LENGTH))
        request.rest = self.rest
        got = await fleet.front.handle(
            request, caller_presence.CallerPresence()
        )
        return fleet, got

    async def finish_body(self) -> None:
        """Feeds the rest of the body, as a caller does."""
        for _ in range(LENGTH // len(PART) - 1):
            self.rest.feed(PART)
            await asyncio.sleep(0)
        self.rest.end()

    async def test_unsigned_rejection_is_a_bad_gateway(self):
        """Guards against forwarding a rejection without a signature."""
        for status in (400, 413, 503, 429):
            for is_idempotent in (False, True):
                with self.subTest(status=status, is_idempotent=is_idempotent):
                    await self.asyncSetUp()
                    _, got = await self.ask(
                        answer("q1", status, is_signed=False),
                        is_idempotent=is_idempotent,
                    )
                    self.assertEqual(502, got.status)

    async def test_confirmed_refusal_without_an_id_is_forwarded(self):
        """Guards against a 502 for a request that certainly hasn't run."""
        refusal = answer("", 503, headers=NOT_RUN, is_signed=False)
        _, got = await self.ask(refusal, is_idempotent=False)
        self.assertEqual(503, got.status)
        self.assertIsNotNone(got.header(b"retry-after"))

    async def test_signed_rejection_is_forwarded(self):
        """Guards against a 502 in place of the target's own rejection."""
        _, got = await self.ask(answer("q1", 413), is_idempotent=False)
        self.assertEqual(413, got.status)

    async def test_no_other_request_is_sent_before_the_body_ends(self):
        """Guards against a request that the target reads as a body."""
        for status in (200, 413):
            await self.asyncSetUp()
            fleet, _ = await self.ask(answer("q1", status))
            await self.finish_body()
            got = await fleet.ask("q2")
            self.assertEqual(200, got.status)
            self.assertGreater(fleet.accepted, 1)
            self.assertEqual(b"", self.reads[0].strip(b"b"))

    async def test_long_answer_that_starts_early_is_complete(self):
        """Guards against cutting an answer off with an unread body."""
        fleet, got = await self.ask(answer("q1", 200, body=LONG))
        body = got.body
        reading = asyncio.ensure_future(self.finish_body())
        try:
            while part := await got.rest.read():
                body += part
        except errors.BodyTruncated as error:
            self.fail(f"cut off at {len(body)} bytes: {error}")
        await reading
        self.assertEqual(LONG, body)

    async def test_caller_that_stops_its_body_gets_the_long_answer(self):
        """Guards against truncating an answer when the body is aborted."""
        _, got = await self.ask(answer("q1", 200, body=LONG))
        self.rest.close()
        body = got.body
        while part := await got.rest.read():
            body += part
        self.assertEqual(LONG, body)

    async def test_no_other_request_is_sent_after_a_long_early_answer(self):
        """Guards against reusing a connection whose body is unfinished."""
        fleet, got = await self.ask(answer("q1", 200, body=LONG))
        while await got.rest.read():
            self.rest.feed(PART)
        await fleet.ask("q2")
        self.assertEqual(b"", self.reads[0].strip(b"b"))
