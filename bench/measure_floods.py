"""Measures what bytes without end cost a front and the other requests.

Front processes, a store, targets and callers run on loopback. The callers or
the targets of one service flood while two callers a front use another service
at a steady rate.

    python -m bench.measure_floods --form answer-header-lines --callers 5
"""

from __future__ import annotations

import asyncio
import math
import pathlib
import sys
import tempfile
import typing

import typer

from bench import figure
from bench import flood_form
from bench import flood_testbed
from bench import steady_callers

# Numbers of callers a front that flood, or ask the flooding targets.
CALLERS = (5, 40)
# Forms of front_floods. A front rejects the others at their first bytes, or
# they cost as much as long chunks.
FORMS = tuple(
    form
    for form in flood_form.Form
    if form
    not in (
        flood_form.Form.ANSWER_JUNK,
        flood_form.Form.ANSWER_BLANK_LINES,
        flood_form.Form.ANSWER_LENGTH,
        flood_form.Form.ANSWER_UNTIL_CLOSE,
    )
)
STEADY_PER_FRONT = 2
# Time of steady requests before they are measured, without a flood and beside
# each flood, in seconds.
WARM_UP_S = 0.5
QUIET_S = 2.0
FLOOD_S = 5.0
GROWTH_BOUND_MB = 30.0
P99_FACTOR_BOUND = 2.0
_MEGABYTE = 1_000_000
_MILLISECONDS = 1000.0


class FloodResult:
    """What one flood has cost.

    Args:
        form: Form of the flood.
        callers: Number of callers a front.
        growth_bytes: Peak memory of the front that grew most, less its memory
            before the first flood.
        latencies_s: Latencies of the other service's served requests.
        unserved: Number of its requests that were not served.
        used_share: Processor time of the busiest front by elapsed time.
        waited_share: Time in which that front was ready and had no processor,
            by elapsed time.
        note: What was sent and read.
    """

    __slots__ = (
        "form",
        "callers",
        "growth_bytes",
        "latencies_s",
        "unserved",
        "used_share",
        "waited_share",
        "note",
    )

    def __init__(
        self,
        *,
        form: flood_form.Form,
        callers: int,
        growth_bytes: int,
        latencies_s: list[float],
        unserved: int,
        used_share: float,
        waited_share: float,
        note: str,
    ) -> None:
        self.form = form
        self.callers = callers
        self.growth_bytes = growth_bytes
        self.latencies_s = latencies_s
        self.unserved = unserved
        self.used_share = used_share
        self.waited_share = waited_share
        self.note = note

    def figures(self, quiet_s: float) -> list[figure.Figure]:
        """Returns the figures of the flood.

        Args:
            quiet_s: The other service's p99 without a flood, in seconds.
        """
        name = f"front_floods_{self.form.value}_{self.callers}"
        quiet_ms = quiet_s * _MILLISECONDS
        served = len(self.latencies_s)
        # A request that is not served has no latency that could meet a bound.
        waits_s = [*self.latencies_s, *[math.inf] * self.unserved]
        return [
            figure.Figure(
                name=f"{name}_memory",
                value=self.growth_bytes / _MEGABYTE,
                unit="MB",
                bound=GROWTH_BOUND_MB,
                note=self.note,
            ),
            figure.Figure(
                name=f"{name}_p99",
                value=p99(waits_s) * _MILLISECONDS,
                unit="ms",
                bound=P99_FACTOR_BOUND * quiet_ms,
                baselines={"quiet": quiet_ms},
                note=(
                    f"busiest front ran {100 * self.used_share:.0f} %, "
                    f"waited for a core {100 * self.waited_share:.0f} %"
                ),
            ),
            figure.Figure(
                name=f"{name}_unserved",
                value=self.unserved,
                unit="requests",
                bound=0.0,
                note=f"of {served + self.unserved}",
            ),
        ]


def p99(values: typing.Sequence[float]) -> float:
    """Returns the 99th percentile, NaN without values."""
    if not values:
        return float("nan")
    return sorted(values)[int(0.99 * (len(values) - 1) + 0.5)]


async def measure_form(
    form: flood_form.Form, callers: typing.Sequence[int], number: int
) -> tuple[list[float], list[FloodResult]]:
    """Measures the floods of one form on fronts started for them.

    Args:
        form: Form of the floods.
        callers: Number of callers a front of each flood, in their order.
        number: Number of the form in the run.

    Returns:
        Latencies of the other service without a flood, and the results.

    Raises:
        RuntimeError: A request was not served without a flood, a front ended,
            or nothing was sent.
    """
    with tempfile.TemporaryDirectory() as folder:
        testbed = flood_testbed.FloodTestbed(
            folder=pathlib.Path(folder), number=number
        )
        try:
            await testbed.start()
            return await _measure_floods(testbed, form, callers)
        finally:
            await testbed.stop()


async def _measure_floods(
    testbed: flood_testbed.FloodTestbed,
    form: flood_form.Form,
    callers: typing.Sequence[int],
) -> tuple[list[float], list[FloodResult]]:
    steady = steady_callers.SteadyCallers(
        fronts=testbed.front_addresses,
        per_front=STEADY_PER_FRONT,
        host=flood_testbed.HOST,
        path=flood_testbed.STEADY_ROUTE,
    )
    try:
        await steady.run(WARM_UP_S)
        steady.take()
        await steady.run(QUIET_S)
        quiet, unserved = steady.take()
        if unserved:
            raise RuntimeError(f"{unserved} not served without a flood")
        before = testbed.memory_bytes("VmRSS")
        results = [
            await _measure_flood(testbed, steady, form, count, before)
            for count in callers
        ]
    finally:
        steady.close()
    return quiet, results


async def _measure_flood(
    testbed: flood_testbed.FloodTestbed,
    steady: steady_callers.SteadyCallers,
    form: flood_form.Form,
    callers: int,
    before: list[int],
) -> FloodResult:
    await testbed.prepare_flood(form, callers=callers, seconds=FLOOD_S)
    loop = asyncio.get_running_loop()
    begin_s, begin = loop.time(), testbed.processor_s()
    flood, _ = await asyncio.gather(testbed.run_flood(), steady.run(FLOOD_S))
    used_s, waited_s = max(
        (end[0] - start[0], end[1] - start[1])
        for start, end in zip(begin, testbed.processor_s(), strict=True)
    )
    elapsed_s = loop.time() - begin_s
    peaks = testbed.memory_bytes("VmHWM")
    sender = "callers" if form in flood_form.UPLOADS else "targets"
    if not flood[sender]["sent_bytes"]:
        raise RuntimeError(f"{form.value}: nothing was sent")
    latencies_s, unserved = steady.take()
    sent_mb = flood[sender]["sent_bytes"] / _MEGABYTE
    return FloodResult(
        form=form,
        callers=callers,
        growth_bytes=max(
            peak - held for peak, held in zip(peaks, before, strict=True)
        ),
        latencies_s=latencies_s,
        unserved=unserved,
        used_share=used_s / elapsed_s,
        waited_share=waited_s / elapsed_s,
        note=f"{flood['callers']['requests']} requests, {sent_mb:.0f} MB sent",
    )


async def _measure(
    forms: typing.Sequence[flood_form.Form], callers: typing.Sequence[int]
) -> list[figure.Figure]:
    quiet: list[float] = []
    results: list[FloodResult] = []
    for number, form in enumerate(forms):
        more_quiet, more_results = await measure_form(form, callers, number)
        quiet += more_quiet
        results += more_results
    return [item for result in results for item in result.figures(p99(quiet))]


def front_floods() -> list[figure.Figure]:
    """Measures the floods of ``FORMS`` with few and with many callers."""
    return asyncio.run(_measure(FORMS, CALLERS))


def main(
    form: typing.Annotated[list[flood_form.Form], typer.Option()] = [],
    callers: typing.Annotated[list[int], typer.Option()] = [],
) -> None:
    """Measures some forms and prints their figures.

    Args:
        form: Forms, all if none is given.
        callers: Numbers of callers a front, ``CALLERS`` if none is given.
    """
    figures = asyncio.run(
        _measure(form or list(flood_form.Form), callers or CALLERS)
    )
    for item in figures:
        print(item.line(), flush=True)
    sys.exit(any(not item.is_met for item in figures))


if __name__ == "__main__":
    typer.run(main)


MEASURES = {"front_floods": front_floods}
