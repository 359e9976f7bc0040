"""Tests of a front whose targets answer without proof."""

import typing
import unittest

from bench import scripted_targets

answer = scripted_targets.answer
# Statuses that tell a caller that its request is wrong or answered elsewhere.
DENIALS = (
    *(301, 302, 304, 307, 400, 401, 403, 404, 405, 406, 409, 410, 411, 412),
    *(413, 414, 415, 416, 417, 418, 422, 426, 431, 451),
)
NOT_RUN = "X-Fuchsiacourse-Not-Executed: 1\r\n"


class UnprovenAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A denial must be the target's own."""

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
        """Returns the front's answer and the count of sendings.

        Args:
            first: What the first sending is answered.
            then: What the others are answered, empty for the same.
            changes: Values of the route.
        """

        async def script(number, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(then if number and then else first)
            await reader.read()

        fleet = await self.start(script)
        got = await fleet.ask(**changes)
        await fleet.stop()
        return got, fleet

    async def test_unsigned_denial_of_safe_request_is_repeated(self):
        for status in DENIALS:
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, is_signed=False), answer("q1", 200)
                )
                self.assertEqual((200, b"body"), (got.status, got.body))
                self.assertEqual(2, fleet.accepted)

    async def test_unsigned_denial_of_unsafe_request_is_a_bad_gateway(self):
        for status in (*DENIALS, 408, 429):
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, is_signed=False), is_idempotent=False
                )
                self.assertEqual((502, 1), (got.status, fleet.accepted))

    async def test_unsigned_denials_of_all_targets_deny_nothing(self):
        got, _ = await self.answers_to(answer("q1", 404, is_signed=False))
        self.assertEqual(502, got.status)

    async def test_signed_denial_is_passed_on_unchanged(self):
        for status in DENIALS:
            with self.subTest(status=status):
                got, fleet = await self.answers_to(
                    answer("q1", status, headers="X-Own: 1\r\n")
                )
                self.assertEqual((status, 1), (got.status, fleet.accepted))
                self.assertEqual(b"1", got.header(b"x-own"))
                self.assertEqual(b"" if status == 304 else b"body", got.body)

    async def test_target_with_unsigned_denials_is_suspected(self):
        _, fleet = await self.answers_to(
            answer("q1", 404, is_signed=False), answer("q1", 200)
        )
        sick = [
            target.health.probability(fleet.front.clock.now())
            for target in fleet.front.table.by_key.values()
        ]
        self.assertGreater(max(sick), 0.4)

    async def test_unsigned_server_error_stays_a_server_error(self):
        got, _ = await self.answers_to(
            answer("q1", 500, is_signed=False), is_idempotent=False
        )
        self.assertEqual(500, got.status)
