"""Measurements of the queue: blocking, peak load and leaving targets."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses

from bench import baseline_policies
from bench import dispatch_world
from bench import fake_targets
from bench import figure
from bench import queue_load
from bench import virtual_loop

_BLOCKING_BOUND = 1.5
_PEAK_WORTH_BOUND = 0.9
_LEAVING_BOUND_S = 3.0
_ORDINARY_USE = 0.6
_PEAK_USE = 2.0
_LEAVE_AT_S = 5.0
# Seconds after which a leaving target is unreachable for the baselines.
_STOP_AFTER_S = 10.0
# Seconds of load after a source reports that a target is leaving.
_LEAVING_RUN_S = 12.0
_MILLISECONDS = 1000.0
_POLICIES = (queue_load.DISPATCH, *baseline_policies.BASELINES)


class User:
    """A user of the fleet and the size of one of its shards.

    Args:
        name: Name of the user in figures.
        targets: Targets of the shard.
        slots: Slots of each target.
        long_worth: Worth of a request of the long kind.
    """

    __slots__ = ("name", "targets", "slots", "long_worth")

    def __init__(
        self, *, name: str, targets: int, slots: int, long_worth: float
    ) -> None:
        self.name = name
        self.targets = targets
        self.slots = slots
        self.long_worth = long_worth

    @property
    def parts(self) -> list[queue_load.LoadPart]:
        """Kinds and shares: 80 % short and 20 % long requests."""
        search = dataclasses.replace(
            dispatch_world.SEARCH, worth=self.long_worth
        )
        return [
            queue_load.LoadPart(kind=dispatch_world.LOOKUP, share=0.7),
            queue_load.LoadPart(kind=dispatch_world.BOOKING, share=0.1),
            queue_load.LoadPart(kind=search, share=0.2),
        ]

    @property
    def short_parts(self) -> list[queue_load.LoadPart]:
        """The short kinds alone, in the same proportion."""
        return [
            queue_load.LoadPart(kind=dispatch_world.LOOKUP, share=0.875),
            queue_load.LoadPart(kind=dispatch_world.BOOKING, share=0.125),
        ]


# Shards of the services larder and horaires. A long request is worth less
# per slot-second than a short one for the first user, more for the second.
USERS = (
    User(name="glenmorach", targets=8, slots=3, long_worth=2.0),
    User(name="piste", targets=8, slots=6, long_worth=6.0),
)


def blocking(seconds: float = 60.0) -> list[figure.Figure]:
    """Measures the p99 latency of short requests mixed with long ones.

    The bound is 1.5 times the p99 of short requests alone.
    """
    loads = []
    for user in USERS:
        alone = queue_load.Load(
            parts=user.short_parts,
            targets=user.targets,
            slots=user.slots,
            use=_ORDINARY_USE,
            seconds=seconds,
            straggler_share=0.0,
        )
        mixed = _mixed(user, _ORDINARY_USE, seconds)
        loads.append((alone, queue_load.DISPATCH))
        loads += [(mixed, policy) for policy in _POLICIES]
    figures = []
    results = iter(queue_load.run_all(loads))
    for user in USERS:
        alone_s = queue_load.p99_s(next(results))
        mixed_ms = {
            policy: _short_p99_ms(next(results)) for policy in _POLICIES
        }
        figures.append(
            figure.Figure(
                name=f"blocking_{user.name}",
                value=mixed_ms[queue_load.DISPATCH],
                unit="ms",
                bound=_BLOCKING_BOUND * alone_s * _MILLISECONDS,
                baselines=_baselines(mixed_ms),
            )
        )
    return figures


def peak_worth(seconds: float = 30.0) -> list[figure.Figure]:
    """Measures the in-time share of optimal worth at twice the capacity."""
    loads = [
        (_mixed(user, _PEAK_USE, seconds), policy)
        for user in USERS
        for policy in _POLICIES
    ]
    results = iter(queue_load.run_all(loads))
    figures = []
    for user in USERS:
        load = _mixed(user, _PEAK_USE, seconds)
        shares = {
            policy: _worth_share(load, next(results)) for policy in _POLICIES
        }
        figures.append(
            figure.Figure(
                name=f"crest_{user.name}",
                value=shares[queue_load.DISPATCH],
                unit="share",
                bound=_PEAK_WORTH_BOUND,
                at_least=True,
                baselines=_baselines(shares),
            )
        )
    return figures


def _mixed(user: User, use: float, seconds: float) -> queue_load.Load:
    return queue_load.Load(
        parts=user.parts,
        targets=user.targets,
        slots=user.slots,
        use=use,
        seconds=seconds,
    )


def _short_p99_ms(outcomes: list[queue_load.Outcome]) -> float:
    short = [item for item in outcomes if item.kind.is_short]
    return queue_load.p99_s(short) * _MILLISECONDS


def _worth_share(
    load: queue_load.Load, outcomes: list[queue_load.Outcome]
) -> float:
    return queue_load.worth(outcomes) / queue_load.optimum(load, outcomes)


def _baselines(values: dict[str, float]) -> dict[str, float]:
    return {name: values[name] for name in baseline_policies.BASELINES}


def leaving() -> list[figure.Figure]:
    """Measures how long a target known to be leaving still gets new work.

    The baselines do not detect leaving targets; theirs is unreachable 10 s
    after it began to leave.
    """
    figures = []
    for user in USERS:
        baselines = {
            name: virtual_loop.run(_leaving_baseline(user, name))
            for name in baseline_policies.BASELINES
        }
        for source in ("target", "hosts"):
            figures.append(
                figure.Figure(
                    name=f"leaving_{user.name}_{source}",
                    value=virtual_loop.run(_leaving(user, source)),
                    unit="s",
                    bound=_LEAVING_BOUND_S,
                    baselines=baselines,
                )
            )
    return figures


async def _leaving(user: User, source: str) -> float:
    world = _lookup_world(user)
    target = world.target(1)

    def leave() -> None:
        target.is_draining = True
        target.reports_draining = source == "target"
        if source == "hosts":
            world.platform.set_host(
                dispatch_world.leaving_host(world.file.targets[0]), lag_s=0.0
            )

    async def send(number: int) -> None:
        await world.dispatch.execute(world.request(dispatch_world.LOOKUP))

    known_s = await _lookups(world, user, leave, send)
    return _last_work_s(world.targets, target.address, known_s)


async def _leaving_baseline(user: User, policy: str) -> float:
    world = _lookup_world(user)
    client = queue_load.baseline_client(world, world.file.kinds, seed=1)
    entries = queue_load.baseline_entries(world, client, policy, seed=1)
    target = client.targets_by_address[world.file.targets[0].address]
    loop = asyncio.get_running_loop()

    def leave() -> None:
        loop.call_later(
            _STOP_AFTER_S, lambda: setattr(target, "is_unreachable", True)
        )

    async def send(number: int) -> None:
        kind = dispatch_world.LOOKUP
        await world.rng.choice(entries).run(
            f"entry-{number}", kind, f"{kind.path_prefix}/{number}"
        )

    known_s = await _lookups(world, user, leave, send)
    return _last_work_s(client, target.address, known_s)


def _lookup_world(user: User) -> dispatch_world.DispatchWorld:
    return dispatch_world.DispatchWorld(
        file=dispatch_world.service(
            targets=user.targets,
            slots=user.slots,
            kinds=[part.kind for part in user.parts],
        ),
        straggler_share=queue_load.STRAGGLER_SHARE,
        with_detection=True,
    )


async def _lookups(
    world: dispatch_world.DispatchWorld,
    user: User,
    leave: collections.abc.Callable[[], None],
    send: collections.abc.Callable[
        [int], collections.abc.Coroutine[None, None, None]
    ],
) -> float:
    """Sends lookups and returns when the target began to leave, in seconds."""
    mean_s = dispatch_world.LOOKUP.expected_ms / _MILLISECONDS
    rate_per_s = _ORDINARY_USE * user.targets * user.slots / mean_s
    known_s = 0.0
    tasks = []
    while world.clock.now() < _LEAVE_AT_S + _LEAVING_RUN_S:
        await world.clock.sleep(world.rng.expovariate(rate_per_s))
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        if not known_s and world.clock.now() >= _LEAVE_AT_S:
            known_s = world.clock.now()
            leave()
    await asyncio.gather(*tasks)
    world.close()
    return known_s


def _last_work_s(
    targets: fake_targets.FakeTargets, address: str, known_s: float
) -> float:
    last_s = max(
        record.started_s
        for record in targets.records
        if record.address == address
    )
    return max(0.0, last_s - known_s)


MEASURES: dict[str, collections.abc.Callable[[], list[figure.Figure]]] = {
    "blocking": blocking,
    "crest": peak_worth,
    "leaving": leaving,
}
