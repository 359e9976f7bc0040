"""Random faults of the targets in the soak test."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from bench import fake_targets
from bench import soak_fleet
from bench import soak_services
from fuchsiacourse import platform_model
from fuchsiacourse import store as stores

SERVICES = soak_services.SERVICES
_POLL_S = 0.1

Fault = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class SoakTargetFaults:
    """Applies temporary faults to targets.

    Args:
        fleet: Fleet whose targets fail.
        rng: Source of randomness.
    """

    def __init__(
        self, *, fleet: soak_fleet.SoakFleet, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._reserved: set[str] = set()
        self.faults_by_name: dict[str, Fault] = {
            "target_slow": self._slow,
            "target_wrong": self._wrong,
            "target_truncated": self._truncated,
            "target_errors": self._errors,
            "target_loses_answers": self._loses_answers,
            "target_sheds": self._sheds,
            "target_hung": self._hung,
            "target_flapping": self._flapping,
            "target_crash": self._crash,
            "target_leaving": self._leaving,
            "targets_unhealthy": self._many_unhealthy,
        }

    def _reserve_target(self) -> fake_targets.FakeTarget | None:
        free = [
            target
            for address, target in (
                self._fleet.targets.targets_by_address.items()
            )
            if address not in self._reserved
        ]
        if not free:
            return None
        target = self._rng.choice(free)
        self._reserved.add(target.address)
        return target

    async def _apply_temporarily(self, name: str, value: object) -> None:
        target = self._reserve_target()
        if target is None:
            return
        previous = getattr(target, name)
        setattr(target, name, value)
        await asyncio.sleep(self._rng.uniform(2, 12))
        setattr(target, name, previous)
        self._reserved.discard(target.address)

    async def _slow(self) -> None:
        await self._apply_temporarily("slow_factor", self._rng.uniform(3, 40))

    async def _wrong(self) -> None:
        await self._apply_temporarily("wrong_share", self._rng.uniform(0.1, 1))

    async def _truncated(self) -> None:
        await self._apply_temporarily(
            "truncated_share", self._rng.uniform(0.1, 1)
        )

    async def _errors(self) -> None:
        await self._apply_temporarily("error_share", self._rng.uniform(0.1, 1))

    async def _loses_answers(self) -> None:
        await self._apply_temporarily("lost_share", self._rng.uniform(0.1, 1))

    async def _sheds(self) -> None:
        await self._apply_temporarily("shed_share", self._rng.uniform(0.1, 1))

    async def _hung(self) -> None:
        await self._apply_temporarily("is_hung", True)

    async def _flapping(self) -> None:
        target = self._reserve_target()
        if target is None:
            return
        for _ in range(self._rng.randint(2, 6)):
            target.error_share = 1.0
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            target.error_share = 0.0
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        self._reserved.discard(target.address)

    async def _crash(self) -> None:
        target = self._reserve_target()
        if target is None:
            return
        target.restart_s = self._rng.uniform(0.2, 3)
        self._fleet.targets.crash(target)
        await asyncio.sleep(target.restart_s + 0.5)
        self._reserved.discard(target.address)

    async def _many_unhealthy(self) -> None:
        """Makes half of a service unhealthy, one target in each zone.

        These are more targets than the floor allows to eject, but too few
        for the observer to attribute the fault to itself.
        """
        targets = soak_services.targets(self._rng.choice(SERVICES))
        by_zone = {item["availability_zone"]: item for item in targets}
        unhealthy = [
            self._fleet.targets.targets_by_address[item["address"]]
            for item in by_zone.values()
            if item["address"] not in self._reserved
        ]
        for target in unhealthy:
            self._reserved.add(target.address)
            target.error_share = 1.0
        await asyncio.sleep(self._rng.uniform(8, 15))
        for target in unhealthy:
            target.error_share = 0.0
            self._reserved.discard(target.address)

    async def _leaving(self) -> None:
        target = self._reserve_target()
        if target is None:
            return
        is_listed = self._rng.random() < 0.5
        target.is_draining = True
        target.reports_draining = not is_listed or self._rng.random() < 0.5
        if is_listed:
            self._set_leaving(target, is_leaving=True)
        shown_s = self._fleet.clock.now()
        if not target.reports_draining:
            shown_s += platform_model.HOST_LAG_S
        await self._watch_leaving(target, shown_s)
        self._fleet.targets.leaving_known_s.pop(target.address, None)
        target.is_draining = False
        target.reports_draining = True
        target.restart_s = 1.0
        self._set_leaving(target, is_leaving=False)
        # A new process replaces the target at the same address.
        self._fleet.targets.crash(target)
        await asyncio.sleep(2.0)
        self._reserved.discard(target.address)

    async def _watch_leaving(
        self, target: fake_targets.FakeTarget, shown_s: float
    ) -> None:
        """Records since when the product can detect that a target leaves.

        While the platform can't be read, the host list reports nothing.
        """
        known_by_address = self._fleet.targets.leaving_known_s
        end_s = self._fleet.clock.now() + self._rng.uniform(6, 12)
        while (now_s := self._fleet.clock.now()) < end_s:
            if target.reports_draining or self._is_platform_readable():
                known_by_address.setdefault(target.address, shown_s)
            else:
                known_by_address.pop(target.address, None)
                shown_s = max(shown_s, now_s + _POLL_S)
            await asyncio.sleep(_POLL_S)

    def _is_platform_readable(self) -> bool:
        faults = self._fleet.platform.faults
        if faults.outage or faults.delay_s > 0:
            return False
        return not any(
            process.store.loses_requests or process.store.loses_replies
            for process in self._fleet.running
        )

    def _set_leaving(
        self, target: fake_targets.FakeTarget, *, is_leaving: bool
    ) -> None:
        ip = target.address.partition(":")[0]
        self._fleet.platform.set_host(
            stores.HostRecord(
                host=ip,
                availability_zone="",
                region="",
                leaving=is_leaving,
                address=target.address,
            )
        )
