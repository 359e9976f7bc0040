"""Tests of targets that say in their answers that they want no requests."""

import asyncio
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.platform import wire_headers


def declined(retry_after_s: float | None = None):
    """Returns the result of an attempt that a target has turned away."""
    found = front_fakes.result(outcomes.Outcome.DECLINED, 503)
    front_fakes.stating(found, None)
    found.fields.retry_after_s = retry_after_s
    return found


def leaving():
    """Returns the result of a successful attempt at a leaving target."""
    found = front_fakes.answered()
    found.fields.is_leaving = True
    return found


class TargetWishesTest(unittest.TestCase):
    """One front before three targets, which it may use by turns."""

    def run_script(self, script, behave, **route) -> None:
        async def main():
            self.sender = front_fakes.FakeSender(behave)
            self.front = front_fakes.forwarder(
                self.sender, *(front_fakes.record(f"t{n}") for n in range(3))
            )
            self.front.config = front_fakes.config(front_fakes.route(**route))
            await script()

        virtual_loop.run(main())

    async def ask(self, number: int = 0):
        loop = asyncio.get_running_loop()
        return await self.front.handle(
            front_fakes.request(f"/orders/{number}", received_s=loop.time()),
            caller_presence.CallerPresence(),
        )

    def arrivals(self, id: str) -> int:
        return self.sender.sent_ids.count(id)

    def test_target_that_says_it_leaves_gets_nothing_new(self):
        """Guards against requests that a leaving target cuts off."""

        def behave(target, count):
            is_t0 = target.record.id == "t0"
            return 0.1, leaving() if is_t0 else front_fakes.answered()

        async def script():
            for number in range(60):
                await self.ask(number)
            self.assertEqual(1, self.arrivals("t0"))
            # A registration that still calls it ready changes nothing.
            self.front.table.put(front_fakes.record("t0"))
            self.front.table.remove("t0", reason="lapsed")
            self.front.table.put(front_fakes.record("t0"))
            for number in range(60):
                await self.ask(number)
            self.assertEqual(1, self.arrivals("t0"))
            # The next incarnation is used.
            self.front.table.put(front_fakes.record("t0", started_ms=2))
            await self.ask()
            for number in range(60):
                await self.ask(number)
            self.assertEqual(2, self.arrivals("t0"))

        self.run_script(script, behave)

    def test_target_that_wants_nothing_for_a_time_gets_nothing(self):
        """Guards against retries and trials at a target that is full."""

        def behave(target, count):
            if target.record.id == "t0" and count == 0:
                return 0.01, declined(3.0)
            return 0.02, front_fakes.answered()

        async def script():
            loop = asyncio.get_running_loop()
            held_from_s = None
            for number in range(1000):
                if held_from_s is None and self.arrivals("t0"):
                    held_from_s = loop.time()
                if held_from_s is not None:
                    if loop.time() < held_from_s + 2.9:
                        self.assertEqual(1, self.arrivals("t0"))
                await self.ask(number)
            self.assertGreater(self.arrivals("t0"), 1)

        self.run_script(script, behave)

    def test_service_that_wants_nothing_answers_at_once(self):
        """Guards against callers that wait in vain or return too early."""

        async def script():
            loop = asyncio.get_running_loop()
            for number in range(3):
                await self.ask(number)
            before_s = loop.time()
            count = len(self.sender.sent_ids)
            answer = await self.ask()
            self.assertEqual(503, answer.status)
            self.assertEqual(before_s, loop.time())
            self.assertEqual(count, len(self.sender.sent_ids))
            wait_s = float(answer.header(b"retry-after"))
            self.assertGreater(wait_s, 6.0)
            self.assertLess(wait_s, 8.0)

        self.run_script(
            script, lambda *_: (0.01, declined(8.0)), is_idempotent=False
        )

    def test_next_incarnation_is_not_held(self):
        """Guards against a target lost for the day by one odd value."""

        async def script():
            target = self.front.table.by_id["t0"]
            self.front.limiter.hold(target, 1e9)
            self.assertFalse(self.front.limiter.permits(target))
            self.front.table.put(front_fakes.record("t0", started_ms=2))
            target = self.front.table.by_id["t0"]
            self.assertTrue(self.front.limiter.permits(target))

        self.run_script(script, lambda *_: (0.01, front_fakes.answered()))


class WishHeadersTest(unittest.TestCase):
    """What a target says is read once, odd values included."""

    def fields(self, status: int, **headers: str):
        found = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        return wire_headers.WireHeaders().answer_fields(
            http_answer.HttpAnswer(status=status, headers=found)
        )

    def test_leaving(self):
        """Guards against a leaving target that isn't understood."""
        for status in (200, 404, 500, 503):
            self.assertTrue(self.fields(status, server_leaving="1").is_leaving)
        self.assertFalse(self.fields(200, server_leaving="0").is_leaving)
        self.assertFalse(self.fields(200).is_leaving)

    def test_retry_after(self):
        """Guards against odd values and statuses that mean no such thing."""
        for text, expected_s in (
            ("2", 2.0),
            ("0.25", 0.25),
            (" 3 ", 3.0),
            ("0", 0.0),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("soon", None),
            ("", None),
            ("1e300", 1e300),
        ):
            with self.subTest(text=text):
                fields = self.fields(503, retry_after=text)
                self.assertEqual(expected_s, fields.retry_after_s)
        self.assertIsNone(self.fields(429, retry_after="2").retry_after_s)
        self.assertIsNone(self.fields(200, retry_after="2").retry_after_s)
