"""Faults that the fault soak plays one after the other all the while."""

from __future__ import annotations

import asyncio

from bench import fault_target
from bench import fault_testbed

# Targets that answer in the same wrong way at the same time.
MOST_SPOILT = 3
# Time for which they do, in seconds.
SPOILT_S = (0.5, 2.0)
# Changes of the configuration in a series, and the time between two.
MOST_CHANGES = 5
CHANGE_S = (0.0, 0.5)
# Limits on callers, in bytes; the first ones are in between.
HEAD_LIMITS = (8192, 16384, 28672)
BODY_LIMITS = (500_000, 1_000_000, 2_000_000)


class FaultSeries:
    """Changes of the configuration and targets that spoil answers.

    Args:
        world: What the faults are played on.
    """

    def __init__(self, *, testbed: fault_testbed.FaultTestbed) -> None:
        self._testbed = testbed
        self._rng = testbed.rng
        self._checker = testbed.checker
        self._added = 0
        self.all = (self._spoil_targets, self._configure)

    async def _spoil_targets(self) -> None:
        targets = list(self._testbed.targets_by_id.values())
        spoilt = self._rng.sample(targets, self._rng.randint(1, MOST_SPOILT))
        mode = self._rng.choice(fault_target.INVALID_ANSWER_MODES)
        self._checker.faults[mode.value] += 1
        for target in spoilt:
            target.mode = mode
        await asyncio.sleep(self._rng.uniform(*SPOILT_S))
        for target in spoilt:
            target.mode = fault_target.Mode.HEALTHY

    async def move_route(self) -> None:
        """Gives a route to another service."""
        route = self._rng.choice(list(self._testbed.service_by_route))
        self._testbed.set_route(
            route, self._rng.choice(fault_testbed.SERVICES)
        )

    async def add_route(self) -> None:
        """Adds a route."""
        kind = self._rng.choice(("safe", "unsafe"))
        self._added += 1
        self._testbed.set_route(
            f"{kind}-{self._added}", self._rng.choice(fault_testbed.SERVICES)
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
        """Several follow each other at once."""
        changes = (
            self.add_route,
            self._remove_route,
            self.move_route,
            self._change_limits,
        )
        for _ in range(self._rng.randint(1, MOST_CHANGES)):
            await self._rng.choice(changes)()
            await asyncio.sleep(self._rng.uniform(*CHANGE_S))
