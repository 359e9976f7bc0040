"""One run of the soak test on the virtual loop."""

from __future__ import annotations

import asyncio
import collections
import contextlib

from bench import soak_checks
from bench import soak_faults
from bench import soak_fleet
from bench import soak_mutations
from bench import soak_services
from bench import virtual_loop

# Seconds without faults at the start.
START_S = 5.0
# Maximum seconds of faults without a pause.
PHASE_S = 45.0
# Seconds without faults after each phase; then a publish must take effect.
SETTLE_S = soak_checks.QUIET_S + 2.0


class SoakResult:
    """Counts and broken guarantees of a run.

    Args:
        seed: Seed of the run.
        fleet: Fleet of the run.
        faults: Faults of the run.
        checks: Checks of the run.
    """

    def __init__(
        self,
        *,
        seed: int,
        fleet: soak_fleet.SoakFleet,
        faults: soak_faults.SoakFaults,
        checks: soak_checks.SoakChecks,
    ) -> None:
        self.seed = seed
        self.bookings = len(fleet.results.bookings)
        self.attempts = fleet.results.attempts
        self.answers = collections.Counter(fleet.results.answers)
        self.runs = fleet.targets.requests
        self.ejections = checks.ejections
        self.faults = collections.Counter(faults.counts)
        self.checked = collections.Counter(checks.checked)
        self.broken = list(checks.broken)
        self.failed_invariants = list(fleet.failed_invariants)

    @property
    def is_good(self) -> bool:
        """Whether all guarantees and the product's invariants held."""
        return not self.broken and not self.failed_invariants

    def lines(self) -> list[str]:
        """Returns a report with one fact on each line."""
        return [
            f"seed={self.seed} attempts={self.attempts}"
            f" bookings={self.bookings} runs={self.runs}"
            f" ejections={self.ejections}",
            f"answers: {_counts(self.answers)}",
            f"faults: {_counts(self.faults)}",
            f"checked: {_counts(self.checked)}",
            f"broken: {len(self.broken)}",
            *(f"  {text}" for text in self.broken[:20]),
            f"failed invariants of the product: {len(self.failed_invariants)}",
            *(f"  {text}" for text in self.failed_invariants[:10]),
        ]


def run(
    seed: int,
    seconds: float,
    *,
    mutation: str | None = None,
    is_settling: bool = True,
) -> SoakResult:
    """Runs the fleet under random faults.

    Args:
        seed: Seed of all randomness.
        seconds: Virtual seconds with faults.
        mutation: Name of a safeguard to switch off.
        is_settling: Whether a time without faults and a publish follow
            the faults.
    """
    patch: contextlib.AbstractContextManager[None] = contextlib.nullcontext()
    if mutation is not None:
        patch = soak_mutations.MUTATIONS_BY_NAME[mutation].patch()
    with patch:
        return virtual_loop.run(_run(seed, seconds, is_settling))


async def _run(seed: int, seconds: float, is_settling: bool) -> SoakResult:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    fleet = soak_fleet.SoakFleet(seed=seed)
    faults = soak_faults.SoakFaults(fleet=fleet)
    checks = soak_checks.SoakChecks(fleet=fleet, faults=faults)
    await fleet.start()
    watch = asyncio.ensure_future(checks.watch())
    await asyncio.sleep(START_S)
    while seconds > 0:
        await faults.run(loop.time() + min(seconds, PHASE_S))
        seconds -= PHASE_S
        faults.clear()
        if is_settling:
            await asyncio.sleep(SETTLE_S)
            await fleet.operators.publish(*soak_services.SERVICES)
            await asyncio.sleep(soak_checks.IN_FORCE_S + 1.0)
    await fleet.stop_callers()
    watch.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch
    checks.finish()
    fleet.links.allow_cancellation()
    return SoakResult(seed=seed, fleet=fleet, faults=faults, checks=checks)


def _counts(counter: collections.Counter[str]) -> str:
    return " ".join(f"{name}={counter[name]}" for name in sorted(counter))
