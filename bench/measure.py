"""Runs measurements and compares their figures with the bounds."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import importlib
import importlib.util
import sys
import traceback

import typer

from bench import figure

MODULES = (
    "bench.measure_health",
    "bench.measure_queue",
    "bench.measure_latency",
    "bench.measure_fronts",
    "bench.measure_floods",
    "bench.measure_limits",
    "bench.measure_placement",
)
ALL = "all"

Measure = Callable[[], Sequence[figure.Figure]]


def collect(modules: Sequence[str] = MODULES) -> dict[str, Measure]:
    """Returns the measurements of all existing modules by name.

    Each module has a dict MEASURES of functions that return figures.

    Raises:
        ValueError: Two modules define a measurement of the same name.
    """
    found: dict[str, Measure] = {}
    for name in modules:
        if importlib.util.find_spec(name) is None:
            continue
        for key, measure in importlib.import_module(name).MEASURES.items():
            if key in found:
                raise ValueError(f"{name}: measurement {key} is defined twice")
            found[key] = measure
    return found


def run(names: Sequence[str], measures: dict[str, Measure]) -> int:
    """Runs measurements and prints their figures.

    A measurement that raises an error does not stop the others.

    Returns:
        The number of figures that miss their bound and of measurements
        that failed.
    """
    missed = 0
    for name in names:
        try:
            figures = measures[name]()
        except Exception as error:
            traceback.print_exc()
            print(f"measure={name} failed={error!r}", flush=True)
            missed += 1
            continue
        for item in figures:
            print(item.line(), flush=True)
            missed += not item.is_met
    return missed


def main(measure: str = ALL) -> None:
    """Runs one measurement or all of them.

    Args:
        measure: Name of the measurement.
    """
    measures = collect()
    names = sorted(measures) if measure == ALL else [measure]
    if not set(names) <= set(measures):
        print(
            f"no measure {measure}; there are {', '.join(sorted(measures))}",
            file=sys.stderr,
        )
        raise typer.Exit(2)
    missed = run(names, measures)
    print(f"{missed} figures miss their bound or failed")
    if missed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
