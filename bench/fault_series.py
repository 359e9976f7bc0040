"""Faults of the fault soak that are injected in series during a whole run."""

from __future__ import annotations

import asyncio

from bench import fault_target
from bench import fault_testbed

# Most targets that give the same kind of invalid answers at the same time.
MAX_INVALID_TARGETS = 3
# Range of the duration of invalid answers, in seconds.
INVALID_S = (0.5, 2.0)
# Most configuration changes in a burst, and range of the time between two of
# them, in seconds.
MAX_CHANGES = 5
CHANGE_S = (0.0, 0.5)
# Limits on callers, in bytes; the initial ones lie in between.
HEAD_LIMITS = (8192, 16384, 28672)
BODY_LIMITS = (500_000, 1_000_000, 2_000_000)


class FaultSeries:
    """Injects configuration changes and invalid answers of targets.

    Args:
        testbed: Processes and stand-ins that the faults affect.
    """

    def __init__(self, *, testbed: fault_testbed.FaultTestbed) -> None:
        self._testbed = testbed
        self._rng = testbed.rng
        self._checker = testbed.checker
        # Number of routes added so far, for unique names.
        self._added_count = 0
        # Functions that each inject one fault and are called in series.
        self.all = (self._invalidate_answers, self._configure)

    async def _invalidate_answers(self) -> None:
        targets = list(self._testbed.targets_by_id.values())
        chosen = self._rng.sample(
            targets, self._rng.randint(1, MAX_INVALID_TARGETS)
        )
        mode = self._rng.choice(fault_target.INVALID_ANSWER_MODES)
        self._checker.faults[mode.value] += 1
        for target in chosen:
            target.mode = mode
        await asyncio.sleep(self._rng.uniform(*INVALID_S))
        for target in chosen:
            target.mode = fault_target.Mode.HEALTHY

    async def move_route(self) -> None:
        """Moves a random route to a random service."""
        route = self._rng.choice(list(self._testbed.service_by_route))
        self._testbed.set_route(
            route, self._rng.choice(fault_testbed.SERVICES)
        )

    async def add_route(self) -> None:
        """Adds a route to a random service."""
        kind = self._rng.choice(("safe", "unsafe"))
        self._added_count += 1
        self._testbed.set_route(
            f"{kind}-{self._added_count}",
            self._rng.choice(fault_testbed.SERVICES),
        )

    async def _remove_route(self) -> None:
        added = set(self._testbed.service_by_route)
        added -= self._checker.permanent_routes
        if added:
            self._testbed.remove_route(self._rng.choice(sorted(added)))

    async def _change_limits(self) -> None:
        self._testbed.change_limits(
            max_header_bytes=self._rng.choice(HEAD_LIMITS),
            max_body_bytes=self._rng.choice(BODY_LIMITS),
        )

    async def _configure(self) -> None:
        """Makes a burst of random configuration changes."""
        changes = (
            self.add_route,
            self._remove_route,
            self.move_route,
            self._change_limits,
        )
        for _ in range(self._rng.randint(1, MAX_CHANGES)):
            await self._rng.choice(changes)()
            await asyncio.sleep(self._rng.uniform(*CHANGE_S))
