"""Rates of requests over the time of a load run."""

from __future__ import annotations

import abc
import math

# Length of a full swing of demand, in seconds.
SWING_PERIOD_S = 10.0
SWING_FACTOR = 10.0
CREST_FACTOR = 10.0
CREST_SHARE = 0.2


class ArrivalProfile(abc.ABC):
    """Rate of requests as a function of time.

    Args:
        rate_per_s: Ordinary rate.
        length_s: Length of the run.
    """

    def __init__(self, *, rate_per_s: float, length_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.length_s = length_s

    @abc.abstractmethod
    def rate(self, elapsed_s: float) -> float:
        """Returns the requests per second at a time of the run."""


class SteadyProfile(ArrivalProfile):
    """The ordinary rate throughout."""

    def rate(self, elapsed_s: float) -> float:
        """Returns the ordinary rate."""
        return self.rate_per_s


class SwingProfile(ArrivalProfile):
    """Swings between the ordinary rate and a tenth of it."""

    def rate(self, elapsed_s: float) -> float:
        """Returns a rate that follows a sine within the two bounds."""
        low = self.rate_per_s / SWING_FACTOR
        phase = math.sin(2 * math.pi * elapsed_s / SWING_PERIOD_S)
        return low + (self.rate_per_s - low) * (1 + phase) / 2


class CrestProfile(ArrivalProfile):
    """Ten times the ordinary rate in the middle fifth of the run."""

    def rate(self, elapsed_s: float) -> float:
        """Returns the ordinary rate or that of the crest."""
        begin = self.length_s * (1 - CREST_SHARE) / 2
        if begin <= elapsed_s < begin + self.length_s * CREST_SHARE:
            return self.rate_per_s * CREST_FACTOR
        return self.rate_per_s


PROFILES_BY_NAME: dict[str, type[ArrivalProfile]] = {
    "steady": SteadyProfile,
    "swing": SwingProfile,
    "crest": CrestProfile,
}
