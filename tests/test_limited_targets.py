"""Tests of fronts that share targets with a rate limit."""

import asyncio
import unittest

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
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
