"""Burst at a service whose one healthy target states a rate limit."""

from __future__ import annotations

import asyncio
import typing

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender

# The operator's bound for a target that takes a number of requests a second:
# so many times that number, and so many requests more, in any window of this
# length in seconds, from this time in seconds after it first says so.
TOLERANCE = 1.5
EXTRA = 5
WINDOW_S = 4.0
SETTLE_S = 3.0
TARGETS = 6
LIMITED_ID = "t0"
FAILING_IDS = ("t1", "t2")
WORK_S = 0.2
# Factor on the work of the targets that neither fail nor have a limit.
SLOW_FACTOR = 3.0
# Requests per second at all fronts together.
RATE_PER_S = 60.0
# Time from the start of the load until the target states its limit, in
# seconds.
CALM_S = 2.0

Script = typing.Callable[
    ["LimitDay", front_fleet.FrontFleet], typing.Awaitable[None]
]


class LimitDay:
    """Plays the burst with a fleet of fronts.

    Attributes:
        rate_limit: Limit that the target states, None for none.
        stated_s: Loop time at which it first did, in seconds.

    Args:
        per_zone: Number of fronts in each availability zone.
        rate_limit: Requests per second that the target takes.
        is_idempotent: Whether requests may run more than once.
        seed: Seed of the arrivals.
        for_s: Length of the load in seconds.
    """

    def __init__(
        self,
        *,
        per_zone: int,
        rate_limit: float,
        is_idempotent: bool = True,
        seed: int = 1,
        for_s: float = 14.0,
    ) -> None:
        self.rate_limit: float | None = None
        self.stated_s = 0.0
        self._per_zone = per_zone
        self._later_limit = rate_limit
        self._is_idempotent = is_idempotent
        self._seed = seed
        self._for_s = for_s

    def play(self, script: Script | None = None) -> front_fleet.FrontFleet:
        """Plays the day and returns the fleet with its records.

        Args:
            script: Called when the target has stated its limit.
        """
        return virtual_loop.run(self._main(script))

    def most_arrivals(self, fleet: front_fleet.FrontFleet) -> int:
        """Returns the most arrivals at the limited target in a window."""
        return fleet.most_in(
            LIMITED_ID, window_s=WINDOW_S, from_s=self.stated_s + SETTLE_S
        )

    async def _main(self, script: Script | None) -> front_fleet.FrontFleet:
        fleet = front_fleet.FrontFleet(
            seed=self._seed,
            per_zone=self._per_zone,
            records=[
                front_fakes.record(
                    f"t{number}", availability_zone="abc"[number % 3]
                )
                for number in range(TARGETS)
            ],
            behave=self._behave,
            found=[front_fakes.route(is_idempotent=self._is_idempotent)],
        )
        await asyncio.sleep(front_fleet.START_S)
        load = asyncio.ensure_future(fleet.send(self._for_s, RATE_PER_S))
        await asyncio.sleep(CALM_S)
        self.rate_limit = self._later_limit
        self.stated_s = asyncio.get_running_loop().time()
        if script is not None:
            await script(self, fleet)
        await load
        failures = fleet.close()
        if failures:
            raise failures[0]
        return fleet

    def _behave(
        self, target: targets.Target
    ) -> tuple[float, target_sender.AttemptResult]:
        id = target.record.id
        if id == LIMITED_ID:
            return WORK_S, front_fakes.answered(rate_limit=self.rate_limit)
        if id in FAILING_IDS:
            return 0.002, front_fakes.result(outcomes.Outcome.FAILED, 500)
        return WORK_S * SLOW_FACTOR, front_fakes.answered()


def allowed(rate_limit: float) -> float:
    """Returns the most arrivals in a window at a target with a limit."""
    return TOLERANCE * rate_limit * WINDOW_S + EXTRA
