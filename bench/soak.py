"""Soak test: runs several service instances under random faults.

Run as ``python -m bench.soak --seed 1 --seconds 30``. Exits with status 1
if a guarantee is broken or, with ``--mutations``, if a mutation goes
undetected.
"""

from __future__ import annotations

import itertools
import os
import sys
import time
import typing

import typer

from bench import soak_mutations
from bench import soak_run

# Seeds tried before a mutation counts as undetected.
MUTATION_SEEDS = 4

_HASH_SEED = "PYTHONHASHSEED"


def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Virtual seconds with faults.")
    ] = 30.0,
    seeds: typing.Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    wall_seconds: typing.Annotated[
        float,
        typer.Option(help="Run further seeds for this many real seconds."),
    ] = 0.0,
    mutation: typing.Annotated[
        str, typer.Option(help="Safeguard to switch off.")
    ] = "",
    mutations: typing.Annotated[
        bool, typer.Option(help="Switch off each safeguard in turn.")
    ] = False,
) -> None:
    """Runs the soak test and prints the checks and broken guarantees."""
    if mutations:
        raise typer.Exit(_run_mutations(seed, seconds))
    failed = 0
    begin_s = time.monotonic()
    for number in itertools.count(seed):
        started_s = time.monotonic()
        is_enough = number >= seed + seeds
        if is_enough and started_s - begin_s >= wall_seconds:
            break
        result = soak_run.run(number, seconds, mutation=mutation or None)
        failed += not result.is_good
        print("\n".join(result.lines()))
        print(f"wall_s={time.monotonic() - started_s:.1f}", flush=True)
    print(f"{number - seed} seeds, {failed} with a broken guarantee")
    raise typer.Exit(1 if failed else 0)


def _run_mutations(seed: int, seconds: float) -> int:
    """Returns 1 if a mutation goes undetected, otherwise 0."""
    seeds = _good_seeds(seed, seconds)
    missed = 0
    for name in soak_mutations.MUTATIONS_BY_NAME:
        found = _find(name, seeds, seconds)
        missed += not found
        print(f"mutation={name} found={found or 'no'}", flush=True)
    return 1 if missed else 0


def _good_seeds(seed: int, seconds: float) -> list[int]:
    """Returns seeds for which no guarantee breaks without a mutation."""
    good = []
    for number in range(seed, seed + 2 * MUTATION_SEEDS):
        if not soak_run.run(number, seconds).broken:
            good.append(number)
        if len(good) == MUTATION_SEEDS:
            break
    print(f"seeds without a break: {good}", flush=True)
    return good


def _find(name: str, seeds: list[int], seconds: float) -> str:
    for number in seeds:
        result = soak_run.run(number, seconds, mutation=name)
        mutation = soak_mutations.MUTATIONS_BY_NAME[name]
        found = mutation.first_break(result.broken)
        if found:
            return f"seed {number}: {found}"
    return ""


if __name__ == "__main__":
    if os.environ.get(_HASH_SEED) != "0":
        # A fixed hash seed gives sets of strings the same order in each run.
        os.environ[_HASH_SEED] = "0"
        os.execv(
            sys.executable, [sys.executable, "-m", "bench.soak", *sys.argv[1:]]
        )
    typer.run(main)
