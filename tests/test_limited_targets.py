"""Tests of fronts that share targets with a rate limit."""

import asyncio
import unittest

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import outcome

# The operator's bound for a target that takes a number of requests a second,
# in any window of this length, from this time after it first says so.
WINDOW_S = 4.0
SETTLE_S = 3.0
TOLERANCE = 1.5
EXTRA = 5
WORK_S = 0.2
RATE_PER_S = 60.0
LIMITED_ID = "t0"


def allowed(rate_limit: float) -> float:
    """Returns the most arrivals in a window at a target with a limit."""
    return TOLERANCE * rate_limit * WINDOW_S + EXTRA


class LimitedTargetsTest(unittest.TestCase):
    """A target must get no more than it takes from all fronts together."""

    def run_day(
        self,
        *,
        per_zone: int,
        rate_limit: float,
        is_idempotent: bool = True,
        script=None,
        for_s: float = 14.0,
        seed: int = 1,
    ) -> front_fleet.FrontFleet:
        """Plays a burst while the one healthy target of six has a limit."""
        self.limit = None

        def behave(target):
            id = target.record.id
            if id == LIMITED_ID:
                return WORK_S, front_fakes.answered(rate_limit=self.limit)
            if id in ("t1", "t2"):
                return 0.002, front_fakes.result(outcome.Outcome.FAILED, 500)
            return WORK_S * 3, front_fakes.answered()

        async def main():
            fleet = front_fleet.FrontFleet(
                seed=seed,
                per_zone=per_zone,
                records=[
                    front_fakes.record(
                        f"t{number}", availability_zone="abc"[number % 3]
                    )
                    for number in range(6)
                ],
                behave=behave,
                route=front_fakes.route(is_idempotent=is_idempotent),
            )
            await asyncio.sleep(front_fleet.START_S)
            load = asyncio.ensure_future(fleet.send(for_s, RATE_PER_S))
            await asyncio.sleep(2.0)
            self.limit = rate_limit
            self.stated_s = asyncio.get_running_loop().time()
            if script is not None:
                await script(fleet)
            await load
            self.assertEqual([], fleet.close())
            return fleet

        return virtual_loop.run(main())

    def most(self, fleet: front_fleet.FrontFleet) -> int:
        return fleet.most_in(
            LIMITED_ID,
            window_s=WINDOW_S,
            from_s=self.stated_s + SETTLE_S,
        )

    def test_fronts_together_keep_to_the_limit(self):
        """Guards against fronts whose sum exceeds what a target takes."""
        for rate_limit in (1.0, 2.1, 8.0):
            fleet = self.run_day(per_zone=8, rate_limit=rate_limit)
            self.assertLessEqual(self.most(fleet), allowed(rate_limit))

    def test_fronts_of_large_zones_keep_to_the_limit(self):
        """Guards against the same where reports go through hubs."""
        fleet = self.run_day(per_zone=16, rate_limit=2.1)
        self.assertLessEqual(self.most(fleet), allowed(2.1))

    def test_retries_keep_to_the_limit(self):
        """Guards against retries of requests that may run once."""
        fleet = self.run_day(per_zone=8, rate_limit=2.1, is_idempotent=False)
        self.assertLessEqual(self.most(fleet), allowed(2.1))

    def test_lost_packets_and_a_partition_keep_to_the_limit(self):
        """Guards against fronts that don't hear of each other's starts."""

        async def part_the_zones(fleet):
            fleet.links.default.loss = 0.03
            # Until the fronts count each other as down.
            await asyncio.sleep(1.0)
            for here in range(1, 9):
                for there in range(1, 9):
                    first, second = f"10.0.0.{here}", f"10.0.1.{there}"
                    fleet.links.cut(first, second)
                    fleet.links.cut(second, first)

        fleet = self.run_day(
            per_zone=8, rate_limit=4.0, script=part_the_zones, for_s=18.0
        )
        self.assertLessEqual(self.most(fleet), allowed(4.0))

    def test_limit_is_used(self):
        """Guards against a limited target that gets far less than it takes."""
        fleet = self.run_day(per_zone=8, rate_limit=4.0)
        late = [
            item
            for item in fleet.arrivals_by_id[LIMITED_ID]
            if item.at_s >= self.stated_s + SETTLE_S
        ]
        self.assertGreaterEqual(len(late), 0.5 * 4.0 * (12.0 - SETTLE_S))

    def test_target_without_a_limit_again_is_used(self):
        """Guards against a limit that fronts keep when the need is over."""

        async def end_the_need(fleet):
            await asyncio.sleep(6.0)
            self.limit = None
            self.ended_s = asyncio.get_running_loop().time()

        fleet = self.run_day(per_zone=8, rate_limit=1.0, script=end_the_need)
        after = fleet.most_in(
            LIMITED_ID, window_s=WINDOW_S, from_s=self.ended_s + SETTLE_S
        )
        self.assertGreater(after, 5 * allowed(1.0) / 2)


class FullServiceTest(unittest.TestCase):
    """Callers must be refused at once when no target takes their request."""

    def test_callers_are_refused_at_once_and_return_in_order(self):
        """Guards against callers that wait in vain or return together."""

        async def main():
            sender = front_fakes.FakeSender(
                lambda *_: (WORK_S, front_fakes.answered(rate_limit=1.0))
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
