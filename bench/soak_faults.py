"""Random overlapping faults of the soak test."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random

from bench import fake_links
from bench import soak_fleet
from bench import soak_process
from bench import soak_services
from bench import soak_target_faults

# Weights of faults that start more often than the others; with equal weights
# few runs have several of them.
WEIGHTS_BY_NAME = {"rolling_restart": 4, "kill": 2, "targets_unhealthy": 2}

# Mean time between the beginnings of faults, in seconds.
INTERVAL_S = 1.2

Fault = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class SoakFaults:
    """Starts random faults, each of which ends after a random time.

    Args:
        fleet: Fleet that the faults act on.
    """

    def __init__(self, *, fleet: soak_fleet.SoakFleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"{fleet.seed}/faults")
        self._links = fleet.links
        self._active: dict[asyncio.Future[None], str] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.ended_s = 0.0
        targets = soak_target_faults.SoakTargetFaults(
            fleet=fleet, rng=self._rng
        )
        self._faults_by_name: dict[str, Fault] = {
            "loss": self._loss,
            "delay": self._delay,
            "duplication": self._duplication,
            "reordering": self._reordering,
            "one_way_cut": self._one_way_cut,
            "region_cut": self._region_cut,
            "kill": self._kill,
            "pause": self._pause,
            "host_replacement": self._host_replacement,
            "rolling_restart": self._rolling_restart,
            "store_outage": self._store_outage,
            "store_delay": self._store_delay,
            "store_unreachable": self._store_unreachable,
            "lost_write_reply": self._lost_write_reply,
            "concurrent_publish": self._concurrent_publish,
            "load_swing": self._load_swing,
            **targets.faults_by_name,
        }

    @property
    def is_quiet(self) -> bool:
        """Whether no fault is active."""
        return not self._active

    async def run(self, until_s: float) -> None:
        """Starts faults until ``until_s``, then waits for all to end."""
        loop = asyncio.get_running_loop()
        names = list(self._faults_by_name)
        weights = [WEIGHTS_BY_NAME.get(name, 1) for name in names]
        while True:
            wait_s = self._rng.expovariate(1.0 / INTERVAL_S)
            await asyncio.sleep(wait_s)
            if loop.time() >= until_s:
                break
            self.start(self._rng.choices(names, weights)[0])
        while self._active:
            await asyncio.wait(list(self._active))
        self.ended_s = loop.time()

    def start(self, name: str) -> None:
        """Starts a fault by its name."""
        self.counts[name] += 1
        task = asyncio.ensure_future(self._faults_by_name[name]())
        self._active[task] = name
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Future[None]) -> None:
        name = self._active.pop(task)
        if not task.cancelled() and task.exception() is not None:
            self._fleet.broken.append(
                f"run: fault {name} failed: {task.exception()!r}"
            )

    async def _sleep_between(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(min_s, max_s))

    async def _change_links(self, **changes: float) -> None:
        link = self._links.default
        for name, change in changes.items():
            setattr(link, name, getattr(link, name) + change)
        await self._sleep_between(1, 8)
        for name, change in changes.items():
            setattr(link, name, max(0.0, getattr(link, name) - change))

    async def _loss(self) -> None:
        await self._change_links(loss=self._rng.uniform(0.01, 0.15))

    async def _delay(self) -> None:
        await self._change_links(delay_s=self._rng.uniform(0.005, 0.2))

    async def _duplication(self) -> None:
        await self._change_links(duplication=self._rng.uniform(0.05, 0.5))

    async def _reordering(self) -> None:
        await self._change_links(spread_s=self._rng.uniform(0.01, 0.3))

    def _pick_process(self) -> soak_process.SoakProcess | None:
        running = self._fleet.running
        return self._rng.choice(running) if running else None

    async def _cut(self, pairs: list[tuple[str, str]], max_s: float) -> None:
        # Skips pairs that another fault has cut, which restores them itself.
        own = [pair for pair in pairs if not self._links.link(*pair).is_cut]
        for source, destination in own:
            self._links.cut(source, destination)
        await self._sleep_between(1, max_s)
        for source, destination in own:
            self._links.restore(source, destination)

    async def _one_way_cut(self) -> None:
        running = self._fleet.running
        if len(running) < 2:
            return
        one, other = self._rng.sample(running, 2)
        others = [other]
        if self._rng.random() < 0.2:
            others = [item for item in running if item is not one]
        pairs = [(one.place.ip, item.place.ip) for item in others]
        if self._rng.random() < 0.5:
            pairs = [(there, here) for here, there in pairs]
        await self._cut(pairs, 12)

    async def _region_cut(self) -> None:
        running = self._fleet.running
        pairs = [
            (one.place.ip, other.place.ip)
            for one in running
            for other in running
            if one.place.region != other.place.region
        ]
        await self._cut(pairs, 15)

    async def _kill(self) -> None:
        process = self._pick_process()
        if process is None:
            return
        process.kill()
        await self._sleep_between(0.5, 6)
        self._fleet.replace(process)

    async def _pause(self) -> None:
        process = self._pick_process()
        if process is None:
            return
        process.gate.pause()
        await self._sleep_between(0.2, 10)
        process.gate.resume()

    async def _host_replacement(self) -> None:
        """Kills all processes of one zone and starts replacements."""
        process = self._pick_process()
        if process is None:
            return
        zone = process.place.availability_zone
        lost = [
            item
            for item in self._fleet.running
            if item.place.availability_zone == zone
        ]
        for item in lost:
            item.kill()
        await self._sleep_between(0.2, 3)
        for item in lost:
            self._fleet.replace(item)

    async def _rolling_restart(self) -> None:
        """Replaces and gracefully stops processes one after the other."""
        for _ in range(self._rng.randint(1, 3)):
            process = self._pick_process()
            if process is None:
                return
            # Starts the replacement before the stop, so that each region
            # keeps a process of each role.
            self._fleet.replace(process)
            await asyncio.sleep(1.0)
            if process.is_running:
                stop = asyncio.ensure_future(process.stop())
                await self._wait_for_stop(process, stop)

    async def _wait_for_stop(
        self, process: soak_process.SoakProcess, stop: asyncio.Future[None]
    ) -> None:
        while not stop.done() and not process.gate.is_killed:
            await asyncio.sleep(0.1)
        if stop.done():
            stop.result()

    async def _store_outage(self) -> None:
        faults = self._fleet.platform.faults
        if faults.outage:
            return
        faults.outage = True
        await self._sleep_between(1, 15)
        faults.outage = False

    async def _store_delay(self) -> None:
        faults = self._fleet.platform.faults
        change = self._rng.uniform(0.1, 3.0)
        faults.delay_s += change
        await self._sleep_between(1, 8)
        faults.delay_s = max(0.0, faults.delay_s - change)

    async def _store_unreachable(self) -> None:
        process = self._pick_process()
        if process is None:
            return
        name = self._rng.choice(("loses_requests", "loses_replies"))
        setattr(process.store, name, True)
        await self._sleep_between(1, 10)
        setattr(process.store, name, False)

    async def _lost_write_reply(self) -> None:
        self._fleet.platform.faults.lose_write_replies += self._rng.randint(
            1, 5
        )

    async def _concurrent_publish(self) -> None:
        services = soak_services.SERVICES
        await asyncio.gather(
            *(
                self._fleet.operators.publish(self._rng.choice(services))
                for _ in range(self._rng.randint(2, 4))
            )
        )

    async def _load_swing(self) -> None:
        factor = self._rng.uniform(0.05, 0.5)
        callers = self._fleet.callers
        for caller in callers:
            caller.pause_s = soak_fleet.CALLER_PAUSE_S * factor
        await self._sleep_between(1, 6)
        for caller in callers:
            caller.pause_s = soak_fleet.CALLER_PAUSE_S

    def clear(self) -> None:
        """Resets links and write faults that outlast the faults' ends."""
        self._links.links_by_pair.clear()
        self._links.default = fake_links.Link()
        self._fleet.platform.faults.lose_write_replies = 0
