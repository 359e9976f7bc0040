"""Creates the fleet, platform, targets and callers of one soak run."""

from __future__ import annotations

import asyncio
import collections
import random

from bench import fake_links
from bench import fake_targets
from bench import soak_callers
from bench import soak_operators
from bench import soak_process
from bench import soak_services
from bench import soak_targets
from bench import virtual_loop
from fuchsiacourse import members as member_tables
from fuchsiacourse import platform_model
from fuchsiacourse import store as stores

CALLERS = 16
CALLER_PAUSE_S = 0.3
PORT = 7000

_PROGRAMS = {
    member_tables.ENTRY: soak_process.SoakEntry,
    member_tables.DISPATCH: soak_process.SoakDispatch,
}


class SoakFleet:
    """Two regions of two availability zones, each with entry and dispatch.

    Create it inside a running virtual loop.

    Args:
        seed: Seed of all randomness.
    """

    def __init__(self, *, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(f"{seed}/fleet")
        self.clock = virtual_loop.VirtualClock()
        self.broken: list[str] = []
        self.failed_invariants: list[str] = []
        self.links = fake_links.FakeLinks(rng=random.Random(f"{seed}/links"))
        self.platform = platform_model.PlatformModel(clock=self.clock)
        self.targets = self._new_targets()
        self.surroundings = soak_process.Surroundings(
            links=self.links,
            platform=self.platform,
            targets=self.targets,
            seeds=[],
            on_broken=self.broken.append,
            on_invariant_failure=self.failed_invariants.append,
        )
        self.operators = soak_operators.SoakOperators(
            platform=self.platform,
            seed=str(seed),
            on_broken=self.broken.append,
        )
        self.processes: list[soak_process.SoakProcess] = []
        self._started_by_subnet: collections.Counter[str] = (
            collections.Counter()
        )
        self.results = soak_callers.CallerResults()
        self.callers = [self._new_caller(index) for index in range(CALLERS)]
        self._tasks: list[asyncio.Future[None]] = []

    @property
    def running(self) -> list[soak_process.SoakProcess]:
        """Processes that have neither ended nor begun their shutdown."""
        return [item for item in self.processes if item.is_running]

    async def start(self) -> None:
        """Publishes the first configuration and starts all processes."""
        await self.operators.publish(*soak_services.SERVICES)
        for region, zones in soak_services.ZONES_BY_REGION.items():
            for zone in zones:
                for role in _PROGRAMS:
                    self.start_process(role, region, zone)
        self._tasks = [
            asyncio.ensure_future(caller.run()) for caller in self.callers
        ]

    def start_process(
        self, role: str, region: str, zone: str
    ) -> soak_process.SoakProcess:
        """Starts a process on a new host."""
        place = soak_process.Place(
            region=region,
            availability_zone=zone,
            ip=self._new_ip(role, region),
        )
        process = _PROGRAMS[role](
            place=place,
            surroundings=self.surroundings,
            seed=f"{self.seed}/{place.ip}",
        )
        self.processes.append(process)
        address = process.settings.gossip_address
        # A new host's seeds are the members that run when it is set up.
        self.surroundings.seeds[:] = [
            item.settings.gossip_address for item in self.running[-4:]
        ]
        self._list_host(process, address)
        process.start()
        return process

    def replace(
        self, process: soak_process.SoakProcess
    ) -> soak_process.SoakProcess:
        """Starts a process on a new host and delists the old host."""
        self.platform.remove_host(
            process.place.ip, process.settings.gossip_address
        )
        return self.start_process(
            process.role,
            process.place.region,
            process.place.availability_zone,
        )

    async def stop_callers(self) -> None:
        """Stops the callers and waits for their last requests."""
        for caller in self.callers:
            caller.is_stopped = True
        await asyncio.gather(*self._tasks)

    def known_entries(self) -> list[str]:
        """Returns entry addresses; some of the processes may have ended."""
        return [
            process.settings.http_address
            for process in self.processes
            if process.role == member_tables.ENTRY
        ][-8:]

    def _new_ip(self, role: str, region: str) -> str:
        place = list(soak_services.ZONES_BY_REGION).index(region)
        subnet = f"10.{list(_PROGRAMS).index(role) + 1}.{place}"
        self._started_by_subnet[subnet] += 1
        return f"{subnet}.{self._started_by_subnet[subnet]}"

    def _list_host(
        self, process: soak_process.SoakProcess, address: str
    ) -> None:
        self.platform.set_host(
            stores.HostRecord(
                host=process.place.ip,
                availability_zone=process.place.availability_zone,
                region=process.place.region,
                address=address,
            )
        )

    def _new_targets(self) -> soak_targets.SoakTargets:
        means = {
            f"/{service}/{kind}": mean_s
            for service in soak_services.SERVICES
            for kind, mean_s in soak_services.MEAN_S_BY_KIND.items()
        }
        targets = soak_targets.SoakTargets(
            clock=self.clock,
            rng=random.Random(f"{self.seed}/targets"),
            run_time=fake_targets.exponential_by_prefix(means),
            straggler_share=0.01,
        )
        targets.is_recording = False
        for service in soak_services.SERVICES:
            for address in soak_services.target_addresses(service):
                target = targets.add(address, slots=soak_services.SLOTS)
                target.crash_mark = soak_callers.CRASH_MARK
        return targets

    def _new_caller(self, index: int) -> soak_callers.SoakCaller:
        return soak_callers.SoakCaller(
            ip=f"10.9.0.{index + 1}",
            account=f"account-{index // 2}",
            network=self.surroundings.network,
            rng=random.Random(f"{self.seed}/caller/{index}"),
            results=self.results,
            known_entries=self.known_entries,
            pause_s=CALLER_PAUSE_S,
        )
