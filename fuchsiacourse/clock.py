"""Source of time."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Gives the time and waits; the only source of time for decisions."""

    __slots__ = ()

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def time_since_boot(self) -> float:
        """Returns seconds that also run on while the host is suspended."""
        return self.now()

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix time in seconds."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Waits for a number of seconds."""
