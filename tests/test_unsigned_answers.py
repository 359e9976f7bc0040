"""Tests of targets whose answers carry no signature."""

import typing
import unittest

from bench import scripted_targets

answer = scripted_targets.answer
# Statuses that reject a request or point the caller elsewhere (3xx and 4xx).
REJECTIONS = (
    *(301, 302, 304, 307, 400, 401, 403, 404, 405, 406, 409, 410, 411, 412),
    *(413, 414, 415, 416, 417, 418, 422, 426, 431, 451),
)
NOT_RUN = "X-Fuchsiacourse-Not-Executed: 1\r\n"


class UnsignedAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Only a signed rejection may be forwarded."""

    async def start(
        self, script: scripted_targets.Script, **options: typing.Any
    ) -> scripted_targets.ScriptedTargets:
        """Starts targets that follow a script."""
        fleet = scripted_targets.ScriptedTargets(script)
        await fleet.start(**options)
        self.addAsyncCleanup(fleet.stop)
        return fleet

    async def answers_to(
        self, first: bytes, then: bytes = b"", **changes: typing.Any
    ):
        """Returns the front's answer and the targets.

        Args:
            first: Answer to the first attempt.
            then: Answer to the others; empty for the same.
            changes: Settings of the route.
        """

        async def script(number, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(then if number and then else first)
            await reader.read()

        fleet = await self.start(script)
        got = await fleet.ask(**changes)
        await fleet.stop()
        return got, fleet

    async def test_unsigned_rejection_of_idempotent_request_is_retried(self):
        """Guards against forwarding an unsigned rejection without a retry."""
        for status in REJECTIONS:
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, is_signed=False), answer("q1", 200)
                )
                self.assertEqual((200, b"body"), (got.status, got.body))
                self.assertEqual(2, fleet.accepted)

    async def test_unsigned_rejection_of_non_idempotent_is_a_bad_gateway(self):
        """Guards against forwarding an unsigned rejection, and a retry."""
        for status in (*REJECTIONS, 408, 429):
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, is_signed=False), is_idempotent=False
                )
                self.assertEqual((502, 1), (got.status, fleet.accepted))

    async def test_unsigned_rejections_of_all_targets_are_a_bad_gateway(self):
        """Guards against forwarding a rejection because all targets agree."""
        got, _ = await self.answers_to(answer("q1", 404, is_signed=False))
        self.assertEqual(502, got.status)

    async def test_signed_rejection_is_forwarded_unchanged(self):
        """Guards against retrying or altering the target's own rejection."""
        for status in REJECTIONS:
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, headers="X-Own: 1\r\n")
                )
                self.assertEqual((status, 1), (got.status, fleet.accepted))
                self.assertEqual(b"1", got.header(b"x-own"))
                self.assertEqual(b"" if status == 304 else b"body", got.body)

    async def test_target_with_unsigned_rejections_is_suspected(self):
        """Guards against unsigned rejections that count as healthy answers."""
        _, fleet = await self.answers_to(
            answer("q1", 404, is_signed=False), answer("q1", 200)
        )
        failure_probabilities = [
            target.health.probability(fleet.front.clock.now())
            for target in fleet.front.table.by_key.values()
        ]
        self.assertGreater(max(failure_probabilities), 0.4)

    async def test_unsigned_server_error_stays_a_server_error(self):
        """Guards against rejecting a server error for lack of a signature."""
        got, _ = await self.answers_to(
            answer("q1", 500, is_signed=False), is_idempotent=False
        )
        self.assertEqual(500, got.status)
