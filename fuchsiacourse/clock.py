"""Interface to the clock.

All decisions read time through it, so that tests can run on virtual time.
"""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Reads the time and sleeps; the only source of time for decisions."""

    __slots__ = ()

    @abc.abstractmethod
    def now(self) -> float:
        """Returns the monotonic time in seconds."""

    def time_since_boot(self) -> float:
        """Returns monotonic seconds, including time spent in suspend."""
        return self.now()

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns the Unix time in seconds."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Sleeps for a number of seconds."""
