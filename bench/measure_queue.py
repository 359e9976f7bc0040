"""Measures of the queue: blocking, crest and leaving targets."""

from __future__ import annotations

import argparse
import asyncio
import collections.abc
import dataclasses

from bench import baseline_policies
from bench import dispatch_world
from bench import figure
from bench import queue_load
from bench import virtual_loop

_BLOCKING_BOUND = 1.5
_CREST_BOUND = 0.9
_LEAVING_BOUND_S = 3.0
_ORDINARY_USE = 0.6
_PEAK_USE = 2.0
# A baseline learns of a leaving target only when it is gone.
_STOP_AFTER_S = 30.0
_MILLISECONDS = 1000.0


class User:
    """A user of the system and one of its shards.

    Args:
        name: Name in figures.
        targets: Targets of the shard.
        slots: Slots of each.
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
        """Kinds and shares: 80 % short work, 20 % long work."""
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
        """The short kinds alone."""
        return [
            queue_load.LoadPart(kind=dispatch_world.LOOKUP, share=0.875),
            queue_load.LoadPart(kind=dispatch_world.BOOKING, share=0.125),
        ]


# The services larder and horaires. For one user a long request is worth
# less per slot-second than a short one, for the other more.
USERS = (
    User(name="glenmorach", targets=8, slots=3, long_worth=2.0),
    User(name="piste", targets=8, slots=6, long_worth=6.0),
)


def blocking(seconds: float = 60.0) -> list[figure.Figure]:
    """Measures short work beside long work against short work alone."""
    return [_blocking(user, seconds) for user in USERS]


def _blocking(user: User, seconds: float) -> figure.Figure:
    alone_s = queue_load.p99_s(
        queue_load.run(
            queue_load.Load(
                parts=user.short_parts,
                targets=user.targets,
                slots=user.slots,
                use=_ORDINARY_USE,
                seconds=seconds,
                straggler_share=0.0,
            ),
            queue_load.DISPATCH,
        )
    )
    mixed_s = {
        policy: _short_p99_s(user, policy, seconds)
        for policy in (queue_load.DISPATCH, *baseline_policies.BASELINES)
    }
    return figure.Figure(
        name=f"blocking_{user.name}",
        value=mixed_s[queue_load.DISPATCH] * _MILLISECONDS,
        unit="ms",
        bound=_BLOCKING_BOUND * alone_s * _MILLISECONDS,
        baselines={
            name: mixed_s[name] * _MILLISECONDS
            for name in baseline_policies.BASELINES
        },
    )


def _short_p99_s(user: User, policy: str, seconds: float) -> float:
    outcomes = queue_load.run(
        queue_load.Load(
            parts=user.parts,
            targets=user.targets,
            slots=user.slots,
            use=_ORDINARY_USE,
            seconds=seconds,
        ),
        policy,
    )
    return queue_load.p99_s(item for item in outcomes if item.kind.is_short)


def crest(seconds: float = 30.0) -> list[figure.Figure]:
    """Measures the worth served in time at twice the capacity."""
    return [_crest(user, seconds) for user in USERS]


def _crest(user: User, seconds: float) -> figure.Figure:
    load = queue_load.Load(
        parts=user.parts,
        targets=user.targets,
        slots=user.slots,
        use=_PEAK_USE,
        seconds=seconds,
    )
    shares = {}
    for policy in (queue_load.DISPATCH, *baseline_policies.BASELINES):
        outcomes = queue_load.run(load, policy)
        shares[policy] = queue_load.worth(outcomes) / queue_load.optimum(
            load, outcomes
        )
    return figure.Figure(
        name=f"crest_{user.name}",
        value=shares[queue_load.DISPATCH],
        unit="share",
        bound=_CREST_BOUND,
        at_least=True,
        baselines={name: shares[name] for name in baseline_policies.BASELINES},
    )


def leaving() -> list[figure.Figure]:
    """Measures the last new work to a target after a source knew."""
    return [
        virtual_loop.run(_leaving(user, source))
        for user in USERS
        for source in ("target", "hosts")
    ]


async def _leaving(user: User, source: str) -> figure.Figure:
    world = dispatch_world.DispatchWorld(
        file=dispatch_world.service(
            targets=user.targets,
            slots=user.slots,
            kinds=[part.kind for part in user.parts],
        ),
        straggler_share=queue_load.STRAGGLER_SHARE,
    )
    kind = dispatch_world.LOOKUP
    rate_per_s = _ORDINARY_USE * user.targets * user.slots * 20.0
    target = world.target(1)
    known_s = 5.0
    tasks = []
    while world.clock.now() < known_s + _STOP_AFTER_S:
        await world.clock.sleep(world.rng.expovariate(rate_per_s))
        tasks.append(world.execute(world.request(kind)))
        if world.clock.now() < known_s or target.is_draining:
            continue
        target.is_draining = True
        target.tells_draining = source == "target"
        if source == "hosts":
            world.platform.set_host(
                dispatch_world.leaving_host(world.file.targets[0]), lag_s=0.0
            )
    await asyncio.gather(*tasks)
    world.close()
    last_s = max(
        record.started_s
        for record in world.targets.records
        if record.target_id == world.file.targets[0].id
    )
    return figure.Figure(
        name=f"leaving_{user.name}_{source}",
        value=last_s - known_s,
        unit="s",
        bound=_LEAVING_BOUND_S,
    )


MEASURES: dict[str, collections.abc.Callable[[], list[figure.Figure]]] = {
    "blocking": blocking,
    "crest": crest,
    "leaving": leaving,
}


def main() -> int:
    """Prints the figures of the named measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measure", nargs="*", default=list(MEASURES))
    is_met = True
    for name in parser.parse_args().measure:
        for item in MEASURES[name]():
            print(item.line(), flush=True)
            is_met = is_met and item.is_met
    return 0 if is_met else 1


if __name__ == "__main__":
    raise SystemExit(main())
