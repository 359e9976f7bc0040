"""Virtual clock of a simulated process that can be paused."""

from __future__ import annotations

import asyncio

from bench import process_gate
from bench import virtual_loop


class PausedClock(virtual_loop.VirtualClock):
    """Clock whose sleeps do not end while the process is paused.

    Time advances meanwhile, as for a process that the host's kernel has
    stopped.

    Args:
        gate: Running state of the process.
        wall_offset_s: Error of this clock's wall time in seconds.
    """

    __slots__ = ("_gate",)

    def __init__(
        self, *, gate: process_gate.ProcessGate, wall_offset_s: float = 0.0
    ) -> None:
        super().__init__(wall_offset_s=wall_offset_s)
        self._gate = gate

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for virtual seconds, then until the process is running."""
        await asyncio.sleep(delay_s)
        await self._gate.wait_until_running()
