"""Tests of fronts that share targets with a rate limit."""

import asyncio
import unittest

from bench import front_fakes
from bench import limit_day
from bench import virtual_loop
from fuchsiacourse.front import caller_presence


class LimitedTargetsTest(unittest.TestCase):
    """A target must get no more than it takes from all fronts together."""

    def check(self, rate_limit: float, script=None, **options) -> None:
        day = limit_day.LimitDay(rate_limit=rate_limit, **options)
        fleet = day.play(script)
        self.assertLessEqual(
            day.most_arrivals(fleet), limit_day.allowed(rate_limit)
        )

    def test_fronts_together_keep_to_the_limit(self):
        """Guards against fronts whose sum exceeds what a target takes."""
        for rate_limit in (1.0, 2.1, 8.0):
            self.check(rate_limit, per_zone=8)

    def test_fronts_of_large_zones_keep_to_the_limit(self):
        """Guards against the same where reports go through hubs."""
        self.check(2.1, per_zone=16)

    def test_retries_keep_to_the_limit(self):
        """Guards against retries of requests that may run once."""
        self.check(2.1, per_zone=8, is_idempotent=False)

    def test_lost_packets_and_a_partition_keep_to_the_limit(self):
        """Guards against fronts that don't hear of each other's starts."""

        async def part_the_zones(day, fleet):
            fleet.links.default.loss = 0.03
            # Until the fronts count each other as down.
            await asyncio.sleep(1.0)
            for here in range(1, 9):
                for there in range(1, 9):
                    first, second = f"10.0.0.{here}", f"10.0.1.{there}"
                    fleet.links.cut(first, second)
                    fleet.links.cut(second, first)

        self.check(4.0, part_the_zones, per_zone=8, for_s=18.0)

    def test_limit_is_used(self):
        """Guards against a limited target that gets far less than it takes."""
        day = limit_day.LimitDay(per_zone=8, rate_limit=4.0)
        fleet = day.play()
        since_s = day.stated_s + limit_day.SETTLE_S
        late = [
            item
            for item in fleet.arrivals_by_id[limit_day.LIMITED_ID]
            if item.at_s >= since_s
        ]
        self.assertGreaterEqual(
            len(late), 0.5 * 4.0 * (12.0 - limit_day.SETTLE_S)
        )

    def test_target_without_a_limit_again_is_used(self):
        """Guards against a limit that fronts keep when the need is over."""
        ended_s = 0.0

        async def end_the_need(day, fleet):
            nonlocal ended_s
            await asyncio.sleep(6.0)
            day.rate_limit = None
            ended_s = asyncio.get_running_loop().time()

        day = limit_day.LimitDay(per_zone=8, rate_limit=1.0)
        fleet = day.play(end_the_need)
        after = fleet.most_in(
            limit_day.LIMITED_ID,
            window_s=limit_day.WINDOW_S,
            from_s=ended_s + limit_day.SETTLE_S,
        )
        self.assertGreater(after, 5 * limit_day.allowed(1.0) / 2)


class FullServiceTest(unittest.TestCase):
    """Callers must be refused at once when no target takes their request."""

    def test_callers_are_refused_at_once_and_return_in_order(self):
        """Guards against callers that wait in vain or return together."""

        async def main():
            sender = front_fakes.FakeSender(
                lambda *_: (0.2, front_fakes.answered(rate_limit=1.0))
            )
            front = front_fakes.forwarder(
                sender, front_fakes.record("t0"), front_fakes.record("t1")
            )
            front.config = front_fakes.config(front_fakes.route())
            presence = caller_presence.CallerPresence()
            await front.handle(front_fakes.request(), presence)
            await front.handle(front_fakes.request(), presence)
            loop = asyncio.get_running_loop()
            waits = []
            for number in range(4):
                before_s = loop.time()
                answer = await front.handle(
                    front_fakes.request(f"/orders/{number}"), presence
                )
                self.assertEqual(503, answer.status)
                self.assertEqual(before_s, loop.time())
                waits.append(float(answer.header(b"retry-after")))
            self.assertEqual(2, len(sender.sent_ids))
            return waits

        waits = virtual_loop.run(main())
        self.assertEqual(sorted(waits), waits)
        self.assertGreater(waits[0], 0.1)
        self.assertGreater(waits[-1] - waits[0], 1.0)
