"""Random fault schedules that test the floor of healthy capacity."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from bench import fake_store
from bench import floor_check
from bench import floor_decider
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import platform_model
from fuchsiacourse import service_file
from fuchsiacourse import timers as timer_service

REGIONS = ("north", "south")
TARGETS_PER_REGION = 6
SERVICE = "larder"
FAULT_S = 45.0
# Seconds to settle, longer than the time for which a release is held.
SETTLE_S = 30.0
MAX_DECIDERS = 6


class FloorRun:
    """One random schedule of faults with several deciders.

    Two deciders act as owner of the first region and one as owner of the
    second; replacing an owner adds a decider.

    Args:
        seed: Seed of the schedule.
    """

    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self.counts: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    def run(self) -> list[str]:
        """Runs the schedule and returns the breaches of the floor."""
        virtual_loop.run(self._main())
        return self.broken

    async def _main(self) -> None:
        clock = virtual_loop.VirtualClock()
        timers = timer_service.Timers(
            clock=clock, rng=self._rng, on_error=self._failed
        )
        self._clock = clock
        self._timers = timers
        self._platform = platform_model.PlatformModel(clock=clock)
        self._world = floor_decider.World(rng=self._rng)
        self._check = floor_check.FloorCheck(
            world=self._world, broken=self.broken, counts=self.counts
        )
        self._platform.table = floor_check.RecordingTable(
            on_put=self._check.check_write
        )
        self._deciders: list[floor_decider.Decider] = []
        self._publish()
        for region in (REGIONS[0], REGIONS[0], REGIONS[1]):
            self._add_decider(region)
        end_s = clock.now() + FAULT_S
        while clock.now() < end_s:
            await clock.sleep(self._rng.uniform(0.1, 1.2))
            self._act()
        self._end_faults()
        await clock.sleep(SETTLE_S)
        self._check.check_end(self._platform.table, self._deciders)
        for decider in self._deciders:
            self.counts["invariant_broken"] += decider.floor_broken
            decider.stop()
        if self.counts["invariant_broken"]:
            self.broken.append("the product's own floor check failed")
        timers.close()

    def _failed(self, error: Exception) -> None:
        if not isinstance(error, (asyncio.CancelledError, errors.StoreError)):
            self.broken.append(f"callback failed: {error!r}")

    def _act(self) -> None:
        actions: list[tuple[int, typing.Callable[[], None]]] = [
            (8, self._make_unhealthy),
            (3, self._recover),
            (2, self._differ),
            (2, self._leave),
            (1, self._restart),
            (2, self._publish),
            (3, self._lose_replies),
            (2, self._cut_off),
            (1, self._outage),
            (2, self._slow_replies),
            (3, self._pause),
            (1, self._replace_owner),
        ]
        weights = [weight for weight, _ in actions]
        action = self._rng.choices(actions, weights)[0][1]
        self.counts[action.__name__.strip("_")] += 1
        action()

    def _target(self) -> str:
        return self._rng.choice(sorted(self._world.incarnation_by_target))

    def _decider(self) -> floor_decider.Decider:
        return self._rng.choice(self._deciders)

    def _make_unhealthy(self) -> None:
        self._world.unhealthy.add(self._target())

    def _recover(self) -> None:
        self._world.unhealthy.discard(self._target())

    def _differ(self) -> None:
        self._decider().misjudged ^= {self._target()}

    def _leave(self) -> None:
        self._world.leaving.add(self._target())

    def _restart(self) -> None:
        self._world.restart(self._target())

    def _publish(self) -> None:
        service = make_service(self._rng)
        number = self._world.publish(service)
        for decider in self._deciders:
            delay_s = self._rng.choice((0.0, 1.0, 5.0, 15.0))
            decider.adopt_later(number, delay_s * self._rng.random())

    def _lose_replies(self) -> None:
        faults = self._platform.faults
        faults.lose_write_replies += self._rng.randint(1, 3)

    def _cut_off(self) -> None:
        store = self._decider().connection
        name = self._rng.choice(("loses_replies", "loses_requests"))
        setattr(store, name, True)
        self._timers.after(
            self._rng.uniform(1.0, 50.0), lambda: setattr(store, name, False)
        )

    def _outage(self) -> None:
        faults = self._platform.faults
        faults.outage = True
        self._timers.after(
            self._rng.uniform(0.5, 8.0),
            lambda: setattr(faults, "outage", False),
        )

    def _slow_replies(self) -> None:
        faults = self._platform.faults
        faults.delay_s = self._rng.choice((0.3, 1.0, 2.5))
        self._timers.after(
            self._rng.uniform(0.5, 5.0),
            lambda: setattr(faults, "delay_s", 0.0),
        )
        decider = self._decider()
        decider.store.reply_delay_s = self._rng.uniform(0.0, 25.0)
        self._timers.after(
            5.0, lambda: setattr(decider.store, "reply_delay_s", 0.0)
        )

    def _pause(self) -> None:
        decider = self._decider()
        decider.running.clear()
        self._timers.after(
            self._rng.choice((1.0, 5.0, 30.0)) * self._rng.random(),
            decider.running.set,
        )

    def _replace_owner(self) -> None:
        if len(self._deciders) < MAX_DECIDERS:
            self._add_decider(self._rng.choice(REGIONS))

    def _add_decider(self, region: str) -> None:
        connection = fake_store.FakeStore(
            platform=self._platform,
            clock=self._clock,
            timers=self._timers,
            rng=self._rng,
        )
        decider = floor_decider.Decider(
            id=f"m{len(self._deciders)}",
            region=region,
            world=self._world,
            connection=connection,
            clock=self._clock,
            rng=random.Random(self._rng.random()),
            on_step=lambda: self._check.check_step(
                self._deciders, self._clock.now()
            ),
        )
        self._deciders.append(decider)
        self._timers.spawn(decider.run())

    def _end_faults(self) -> None:
        faults = self._platform.faults
        faults.outage = False
        faults.delay_s = 0.0
        faults.lose_write_replies = 0
        for decider in self._deciders:
            decider.running.set()
            decider.store.reply_delay_s = 0.0
            decider.connection.loses_replies = False
            decider.connection.loses_requests = False


def make_service(rng: random.Random) -> service_file.ServiceFile:
    """Returns a service whose floor is near its capacity.

    Every target has its own availability zone, so that the rule on zones
    prevents no ejection and the floor is reached often.
    """
    targets = [
        service_file.Target(
            id=f"larder-{region}-{index}",
            address=f"127.0.0.1:{9000 + 100 * place + index}",
            availability_zone=f"{region}-{index}",
            region=region,
            slots=1 + (index + place) % 3,
            connection_limit=100,
        )
        for place, region in enumerate(REGIONS)
        for index in range(TARGETS_PER_REGION)
    ]
    slots = sum(target.slots for target in targets)
    return service_file.ServiceFile(
        service=SERVICE,
        targets=targets,
        floor_slots=int(slots * rng.uniform(0.4, 0.85)),
        kinds=[
            service_file.RequestKind(
                name="lookup",
                method="GET",
                path_prefix="/larder",
                idempotent=True,
                worth=1.0,
                deadline_ms=1000,
                length=service_file.Length.SHORT,
            )
        ],
    )
