"""Clock of the running event loop and the host."""

from __future__ import annotations

import asyncio
import time

from fuchsiacourse import clock


class SystemClock(clock.Clock):
    """Clock that follows the event loop and the host's wall clock."""

    __slots__ = ()

    def now(self) -> float:
        """Returns the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def time_since_boot(self) -> float:
        """Returns seconds that also run on while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the host's Unix time in seconds."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Waits for a number of seconds."""
        await asyncio.sleep(delay_s)
