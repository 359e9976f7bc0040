"""Ordinary load at targets that turn unhealthy by turns.

The load is that of the service of unsafe requests at piste-carthage-grown.
Reports between the fronts go through hubs as in zones of their size.
"""

from __future__ import annotations

import asyncio
import random

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender

FRONTS_PER_ZONE = 14
TARGETS = 43
SLOTS = 6
# Requests per second at all fronts together.
RATE_PER_S = 135.0
WORK_S = 0.4
WORK_SPREAD = 0.3
# Each target is unhealthy for this share of each period in seconds, and then
# fails this share of its requests.
UNHEALTHY_SHARE = 0.3
PERIOD_S = 12.0
FAILED_SHARE = 0.75
# Share of the requests that fail at healthy targets.
ERROR_SHARE = 0.012
# The operator's floor: the share of the sound targets that must get requests
# in any window of this length in seconds. A target that failed by itself is
# sound again after as long.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
# Time in which the fronts learn the state of the targets, in seconds.
WARM_UP_S = 10.0


class GrayDay:
    """Plays the load with a fleet of fronts.

    Args:
        seed: Seed of the arrivals and of the targets' states.
        for_s: Length of the load in seconds, with the warm-up.
    """

    def __init__(self, *, seed: int, for_s: float = 30.0) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._for_s = for_s
        self._phase_s_by_id = {
            f"t{number}": self._rng.uniform(0.0, PERIOD_S)
            for number in range(TARGETS)
        }
        self._fleet: front_fleet.FrontFleet | None = None

    def play(self) -> list[float]:
        """Plays the load.

        Returns:
            Share of the sound targets that got requests, for each window;
            windows begin half a second apart.
        """
        return virtual_loop.run(self._main())

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed, from the start."""
        assert self._fleet is not None
        answers = self._fleet.answers
        return sum(answer.status >= 500 for answer in answers) / len(answers)

    async def _main(self) -> list[float]:
        self._fleet = fleet = front_fleet.FrontFleet(
            seed=self._seed,
            per_zone=FRONTS_PER_ZONE,
            records=[
                front_fakes.record(
                    id, availability_zone="abc"[number % 3], slots=SLOTS
                )
                for number, id in enumerate(self._phase_s_by_id)
            ],
            behave=self._behave,
            found=[
                front_fakes.route(
                    is_idempotent=False, objective_s=2.0, timeout_s=5.0
                )
            ],
        )
        await asyncio.sleep(front_fleet.START_S)
        start_s = asyncio.get_running_loop().time()
        await fleet.send(self._for_s, RATE_PER_S)
        end_s = asyncio.get_running_loop().time()
        failures = fleet.close()
        if failures:
            raise failures[0]
        shares = []
        from_s = start_s + WARM_UP_S
        while from_s + WINDOW_S <= end_s:
            shares.append(self._share_in_use(from_s))
            from_s += 0.5
        return shares

    def _share_in_use(self, from_s: float) -> float:
        assert self._fleet is not None
        until_s = from_s + WINDOW_S
        arrivals_by_id = self._fleet.arrivals_by_id
        sound = [
            id
            for id in self._phase_s_by_id
            if self._is_sound(id, from_s - WINDOW_S, until_s)
        ]
        used = sum(
            any(from_s <= item.at_s < until_s for item in arrivals_by_id[id])
            for id in sound
        )
        return used / len(sound)

    def _is_healthy(self, id: str, at_s: float) -> bool:
        phase_s = (at_s + self._phase_s_by_id[id]) % PERIOD_S
        return phase_s >= UNHEALTHY_SHARE * PERIOD_S

    def _is_sound(self, id: str, from_s: float, until_s: float) -> bool:
        steps = range(int((until_s - from_s) * 10.0) + 1)
        return all(self._is_healthy(id, from_s + n / 10.0) for n in steps)

    def _behave(
        self, target: targets.Target
    ) -> tuple[float, target_sender.AttemptResult]:
        now_s = asyncio.get_running_loop().time()
        work_s = WORK_S * self._rng.lognormvariate(0.0, WORK_SPREAD)
        if not self._is_healthy(target.record.id, now_s):
            if self._rng.random() < FAILED_SHARE:
                failed = front_fakes.result(outcomes.Outcome.FAILED, 500)
                return 0.002, failed
        elif self._rng.random() < ERROR_SHARE:
            failed = front_fakes.result(outcomes.Outcome.FAILED, 500)
            return work_s, failed
        return work_s, front_fakes.answered()
