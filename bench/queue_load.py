"""Open load on one shard, the same for dispatch and for the baselines."""

from __future__ import annotations

import asyncio
import collections.abc
from concurrent import futures
import math
import random

from bench import baseline_policies
from bench import dispatch_world
from bench import fake_targets
from bench import virtual_loop
from fuchsiacourse import fleet_pb2
from fuchsiacourse import service_file

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 30.0
DISPATCH = "dispatch"
_WORKERS = 4
_OK = 200


class LoadPart:
    """A request kind and its share of all requests."""

    __slots__ = ("kind", "share")

    def __init__(
        self, *, kind: service_file.RequestKind, share: float
    ) -> None:
        self.kind = kind
        self.share = share


class Load:
    """Open load with independent arrivals.

    Args:
        parts: Kinds and their shares, which add up to 1.
        targets: Number of targets.
        slots: Slots of each target.
        use: Offered work as a share of the slots; above 1 is overload.
        seconds: Duration of arrivals in virtual seconds.
        straggler_share: Share of the requests that run 30 times longer.
        seed: Seed of arrivals, run times and choices.
    """

    def __init__(
        self,
        *,
        parts: collections.abc.Sequence[LoadPart],
        targets: int,
        slots: int,
        use: float,
        seconds: float,
        straggler_share: float = STRAGGLER_SHARE,
        seed: int = 1,
    ) -> None:
        self.parts = list(parts)
        self.targets = targets
        self.slots = slots
        self.use = use
        self.seconds = seconds
        self.straggler_share = straggler_share
        self.seed = seed

    @property
    def rate_per_s(self) -> float:
        """Arrivals per second, from the mean run time and ``use``."""
        longer = 1.0 + self.straggler_share * (STRAGGLER_FACTOR - 1.0)
        mean_s = sum(
            part.share * part.kind.expected_ms / 1000.0 for part in self.parts
        )
        return self.use * self.targets * self.slots / (mean_s * longer)


class Outcome:
    """Latency and success of one request."""

    __slots__ = ("kind", "latency_s", "is_served")

    def __init__(
        self,
        *,
        kind: service_file.RequestKind,
        latency_s: float,
        is_served: bool,
    ) -> None:
        self.kind = kind
        self.latency_s = latency_s
        self.is_served = is_served


def run(load: Load, policy: str) -> list[Outcome]:
    """Runs a load under dispatch or the named baseline policy."""
    return virtual_loop.run(_run(load, policy))


def p99_s(outcomes: collections.abc.Iterable[Outcome]) -> float:
    """Returns the 99th percentile latency; unserved counts as infinite."""
    latencies = sorted(
        item.latency_s if item.is_served else math.inf for item in outcomes
    )
    return latencies[int(0.99 * len(latencies))]


def worth(outcomes: collections.abc.Iterable[Outcome]) -> float:
    """Returns the total worth of requests served by their deadline."""
    return sum(
        item.kind.worth
        for item in outcomes
        if item.is_served and item.latency_s <= item.kind.deadline_ms / 1000
    )


def optimum(load: Load, outcomes: collections.abc.Sequence[Outcome]) -> float:
    """Returns the optimal worth: the fractional knapsack of the arrivals.

    The sizes are the expected run times of the kinds, because the run time
    of a single request is not known beforehand. Stragglers count as if they
    ran no longer than others, which no policy can achieve.
    """
    left_s = load.targets * load.slots * load.seconds
    total = 0.0
    kinds = {item.kind.name: item.kind for item in outcomes}.values()
    for kind in sorted(kinds, key=lambda kind: -kind.worth / kind.expected_ms):
        size_s = kind.expected_ms / 1000.0
        count = sum(item.kind.name == kind.name for item in outcomes)
        served_count = min(count, left_s / size_s)
        left_s -= served_count * size_s
        total += served_count * kind.worth
    return total


def run_all(loads: list[tuple[Load, str]]) -> list[list[Outcome]]:
    """Runs loads in a pool of worker processes; returns their outcomes."""
    with futures.ProcessPoolExecutor(max_workers=_WORKERS) as pool:
        return list(pool.map(run, *zip(*loads)))


async def _run(load: Load, policy: str) -> list[Outcome]:
    world = dispatch_world.DispatchWorld(
        seed=load.seed,
        file=dispatch_world.service(
            targets=load.targets,
            slots=load.slots,
            kinds=[part.kind for part in load.parts],
        ),
        straggler_share=load.straggler_share,
        with_detection=True,
    )
    world.targets.is_recording = False
    send = (
        _dispatch_sender(world)
        if policy == DISPATCH
        else _baseline_sender(world, load, policy)
    )
    outcomes = await _arrivals(world, load, send)
    world.close()
    if world.broken or world.failures:
        raise RuntimeError(f"{world.broken[:3]} {world.failures[:3]}")
    return outcomes


Sender = collections.abc.Callable[
    [service_file.RequestKind, int], collections.abc.Awaitable[bool]
]


async def _arrivals(
    world: dispatch_world.DispatchWorld, load: Load, send: Sender
) -> list[Outcome]:
    rng = random.Random(load.seed + 100)
    outcomes: list[Outcome] = []

    async def send_one(kind: service_file.RequestKind, number: int) -> None:
        started_s = world.clock.now()
        is_served = await send(kind, number)
        outcomes.append(
            Outcome(
                kind=kind,
                latency_s=world.clock.now() - started_s,
                is_served=is_served,
            )
        )

    tasks: set[asyncio.Task] = set()
    number = 0
    while world.clock.now() < load.seconds:
        await world.clock.sleep(rng.expovariate(load.rate_per_s))
        number += 1
        part = rng.choices(
            load.parts, weights=[item.share for item in load.parts]
        )[0]
        task = asyncio.ensure_future(send_one(part.kind, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return outcomes


def _dispatch_sender(world: dispatch_world.DispatchWorld) -> Sender:
    async def send(kind: service_file.RequestKind, number: int) -> bool:
        reply = await world.dispatch.execute(world.request(kind))
        return reply.verdict == fleet_pb2.RAN and reply.status == _OK

    return send


def baseline_client(
    world: dispatch_world.DispatchWorld,
    kinds: collections.abc.Iterable[service_file.RequestKind],
    *,
    seed: int,
    straggler_share: float = STRAGGLER_SHARE,
) -> fake_targets.FakeTargets:
    """Returns fake targets that queue requests beyond their slots."""
    client = fake_targets.FakeTargets(
        clock=world.clock,
        rng=random.Random(seed + 1),
        run_time=fake_targets.exponential_by_prefix(
            {kind.path_prefix: kind.expected_ms / 1000.0 for kind in kinds}
        ),
        straggler_share=straggler_share,
        queues=True,
    )
    for target in world.file.targets:
        client.add(target.address, slots=target.slots)
    return client


def baseline_entries(
    world: dispatch_world.DispatchWorld,
    client: fake_targets.FakeTargets,
    policy: str,
    *,
    seed: int,
) -> list[baseline_policies.BaselineEntry]:
    """Returns the entries that run a baseline policy."""
    return [
        baseline_policies.BASELINES[policy](
            targets=world.file.targets,
            client=client,
            clock=world.clock,
            rng=random.Random(seed + 1000 + index),
        )
        for index in range(baseline_policies.ENTRIES)
    ]


def _baseline_sender(
    world: dispatch_world.DispatchWorld, load: Load, policy: str
) -> Sender:
    client = baseline_client(
        world,
        world.file.kinds,
        seed=load.seed,
        straggler_share=load.straggler_share,
    )
    client.is_recording = False
    entries = baseline_entries(world, client, policy, seed=load.seed)
    rng = random.Random(load.seed + 200)

    async def send(kind: service_file.RequestKind, number: int) -> bool:
        result = await rng.choice(entries).run(
            f"entry-{number}", kind, f"{kind.path_prefix}/{number}"
        )
        return result.is_served

    return send
