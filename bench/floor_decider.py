"""An ejecting process with a scripted detector and store faults."""

from __future__ import annotations

import asyncio
import random
import typing

from bench import fake_store
from fuchsiacourse import clock as clocks
from fuchsiacourse import config_table
from fuchsiacourse import detector as detectors
from fuchsiacourse import ejection_agent
from fuchsiacourse import health as healths
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import score as scores
from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import store as stores
from fuchsiacourse import target_client
from fuchsiacourse import target_row

STEP_S = 0.25
_EJECTED_STATES = (
    target_row.TargetState.EJECTED,
    target_row.TargetState.CANARY,
)


class World:
    """Configurations and actual states of targets.

    Args:
        rng: Source of random incarnations.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.services: list[service_file.ServiceFile] = []
        self.incarnation_by_target: dict[str, str] = {}
        self.unhealthy: set[str] = set()
        self.leaving: set[str] = set()

    def publish(self, service: service_file.ServiceFile) -> int:
        """Adds a configuration and returns its number."""
        self.services.append(service)
        for target in service.targets:
            if target.id not in self.incarnation_by_target:
                self.restart(target.id)
        return len(self.services)

    def restart(self, target_id: str) -> None:
        """Gives a target a new incarnation that is healthy and not leaving."""
        self.incarnation_by_target[target_id] = f"{self._rng.random():.9f}"
        self.leaving.discard(target_id)
        self.unhealthy.discard(target_id)


class ScriptedDetector(detectors.Detector):
    """Detector that reports targets as unhealthy by a script.

    Args:
        shard: Tables of the shard.
        is_unhealthy: Returns whether a target id counts as unhealthy.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        is_unhealthy: typing.Callable[[str], bool],
    ) -> None:
        super().__init__(shard=shard, false_ejections_per_target_s=1e-6)
        self._is_unhealthy = is_unhealthy

    def score(self, row: target_row.TargetRow, now: float) -> scores.Score:
        """Returns 100, far over the threshold, if unhealthy, otherwise 0."""
        value = 100.0 if self._is_unhealthy(row.id) else 0.0
        return scores.Score(value=value, reason="latency", kind="")

    def finished(
        self, row, attempt, outcome, now, *, shifts_limits=True
    ) -> bool:
        """Returns whether the attempt's target counts as healthy."""
        return not self._is_unhealthy(row.id)


class DelayedStore(stores.Store):
    """Store connection whose replies are delayed or wait for a pause's end.

    Args:
        connection: Connection to the platform.
        clock: Source of time.
        running: Cleared while the process is paused.
    """

    def __init__(
        self,
        *,
        connection: fake_store.FakeStore,
        clock: clocks.Clock,
        running: asyncio.Event,
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._running = running
        self.reply_delay_s = 0.0

    async def get(self, key):
        """Returns an object."""
        return await self._delay_reply(self._connection.get(key))

    async def list(self, prefix):
        """Returns all objects with a prefix."""
        return await self._delay_reply(self._connection.list(prefix))

    async def put(self, key, value, *, if_version):
        """Writes an object."""
        return await self._delay_reply(
            self._connection.put(key, value, if_version=if_version)
        )

    async def delete(self, key, *, if_version):
        """Deletes an object."""
        await self._delay_reply(
            self._connection.delete(key, if_version=if_version)
        )

    async def watch(self, prefix, *, after_revision, timeout_s):
        """Raises NotImplementedError, as watches are not supported."""
        raise NotImplementedError

    async def hosts(self):
        """Returns the host list."""
        return await self._delay_reply(self._connection.hosts())

    async def _delay_reply(self, call: typing.Awaitable) -> typing.Any:
        try:
            return await call
        finally:
            if self.reply_delay_s:
                await self._clock.sleep(self.reply_delay_s)
            await self._running.wait()


class Decider:
    """Process that owns a shard, or wrongly assumes that it does.

    Args:
        id: Member id.
        region: Region of the shard.
        world: Configurations and targets.
        connection: Connection to the platform.
        clock: Source of time.
        rng: Source of randomness.
        on_step: Called after each step.
    """

    def __init__(
        self,
        *,
        id: str,
        region: str,
        world: World,
        connection: fake_store.FakeStore,
        clock: clocks.Clock,
        rng: random.Random,
        on_step: typing.Callable[[], None],
    ) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.connection = connection
        self.store = DelayedStore(
            connection=connection, clock=clock, running=self.running
        )
        # Targets whose health this process judges wrongly.
        self.misjudged: set[str] = set()
        self._world = world
        self._clock = clock
        self._rng = rng
        self._on_step = on_step
        self._stopped = False
        self._invariants = invariant_checks.Invariants(log=logs.silent())
        self._config = config_table.ConfigTable(invariants=self._invariants)
        self._shard = shards.Shard(service=world.services[-1], region=region)
        self._adopt(len(world.services))
        self._adoptions: list[tuple[float, int]] = []
        detector = ScriptedDetector(
            shard=self._shard, is_unhealthy=self._is_unhealthy
        )
        self._health = healths.Health(
            shard=self._shard,
            rng=rng,
            false_ejections_per_target_s=1e-6,
            invariants=self._invariants,
            log=logs.silent(),
            detector=detector,
        )
        self._agent = ejection_agent.EjectionAgent(
            shard=self._shard,
            health=self._health,
            store=self.store,
            clock=clock,
            config=self._config,
            self_id=id,
            log=logs.silent(),
            invariants=self._invariants,
        )

    @property
    def now(self) -> float:
        """Current monotonic time in seconds."""
        return self._clock.now()

    @property
    def floor_broken(self) -> int:
        """Number of failed floor invariants in the product itself."""
        return self._invariants.broken_by_id[
            invariant_checks.InvariantId.FLOOR
        ]

    def adopt_later(self, number: int, delay_s: float) -> None:
        """Schedules the adoption of a configuration after a delay."""
        self._adoptions.append((self._clock.now() + delay_s, number))

    def ejected(self, now: float) -> set[str]:
        """Returns the targets that get no ordinary work from this process.

        A paused process starts no work; after the pause it first expires
        ejections that are no longer valid, as ``candidates`` does.
        """
        if not self.running.is_set() or self._stopped:
            return set()
        self._health.expire_ejections(now)
        return {
            row.id
            for row in self._shard.targets_by_id.values()
            if row.state in _EJECTED_STATES
        }

    def stop(self) -> None:
        """Ends the process."""
        self._stopped = True

    async def run(self) -> None:
        """Probes, ticks and runs the agent until stopped."""
        agent = None
        while not self._stopped:
            await self._clock.sleep(STEP_S * self._rng.uniform(0.8, 1.2))
            await self.running.wait()
            self._step()
            self._on_step()
            if agent is None or agent.done():
                agent = asyncio.ensure_future(self._agent.run_once())
                agent.add_done_callback(lambda done: self._on_step())

    def _adopt(self, number: int) -> None:
        service = self._world.services[number - 1]
        if self._config.adopt(number, {service.service: service}):
            self._shard.replace(service)

    def _is_unhealthy(self, target_id: str) -> bool:
        return (target_id in self._world.unhealthy) != (
            target_id in self.misjudged
        )

    def _step(self) -> None:
        now = self._clock.now()
        for item in list(self._adoptions):
            if item[0] <= now:
                self._adoptions.remove(item)
                self._adopt(item[1])
        for row in self._shard.targets_by_id.values():
            report = target_client.TargetReport(
                healthy=True,
                draining=row.id in self._world.leaving,
                incarnation=self._world.incarnation_by_target[row.id],
            )
            self._health.record_report(row, report, now)
        self._health.tick(now)
        self._use_canaries(now)

    def _use_canaries(self, now: float) -> None:
        kind = self._shard.service.kinds[0]
        for row in self._health.candidates(kind, now)[:1]:
            if not self._health.is_canary(row):
                continue
            attempt = target_row.Attempt(
                request_id="canary",
                kind=kind,
                fingerprint="",
                target_id=row.id,
                started_s=now,
                is_canary=True,
            )
            self._health.record_start(row, attempt, now)
            self._health.record_finish(
                row, attempt, target_row.Outcome.OK, now + 0.01
            )
