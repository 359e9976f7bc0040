"""Clock that reads the event loop's and the host's time."""

from __future__ import annotations

import asyncio
import time

from fuchsiacourse import clock


class SystemClock(clock.Clock):
    """Reads the time of the running event loop and of the host."""

    __slots__ = ()

    def now(self) -> float:
        """Returns the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def time_since_boot(self) -> float:
        """Returns monotonic seconds, including time spent in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the host's Unix time in seconds."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for a number of seconds."""
        await asyncio.sleep(delay_s)
