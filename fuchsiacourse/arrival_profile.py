"""Arrival rates over the course of a load run."""

from __future__ import annotations

import abc
import math

# Period of the sine wave of the rate, in seconds.
SWING_PERIOD_S = 10.0
# Ratio of the highest rate of the swing, the base rate, to the lowest.
SWING_FACTOR = 10.0
# Ratio of the rate during the crest to the base rate.
CREST_FACTOR = 10.0
# Length of the crest as a share of the run.
CREST_SHARE = 0.2


class ArrivalProfile(abc.ABC):
    """Arrival rate as a function of time.

    Args:
        rate_per_s: Base rate, in requests per second.
        length_s: Length of the run in seconds.
    """

    def __init__(self, *, rate_per_s: float, length_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.length_s = length_s

    @abc.abstractmethod
    def rate(self, elapsed_s: float) -> float:
        """Returns the requests per second at a time since the start."""


class SteadyProfile(ArrivalProfile):
    """Constant base rate."""

    def rate(self, elapsed_s: float) -> float:
        """Returns the base rate."""
        return self.rate_per_s


class SwingProfile(ArrivalProfile):
    """Sine wave between the base rate and a tenth of it."""

    def rate(self, elapsed_s: float) -> float:
        """Returns the rate that the sine wave has at this time."""
        low = self.rate_per_s / SWING_FACTOR
        phase = math.sin(2 * math.pi * elapsed_s / SWING_PERIOD_S)
        return low + (self.rate_per_s - low) * (1 + phase) / 2


class CrestProfile(ArrivalProfile):
    """Ten times the base rate during the middle fifth of the run."""

    def rate(self, elapsed_s: float) -> float:
        """Returns the base rate, or ten times as much during the crest."""
        begin = self.length_s * (1 - CREST_SHARE) / 2
        if begin <= elapsed_s < begin + self.length_s * CREST_SHARE:
            return self.rate_per_s * CREST_FACTOR
        return self.rate_per_s


PROFILES_BY_NAME: dict[str, type[ArrivalProfile]] = {
    "steady": SteadyProfile,
    "swing": SwingProfile,
    "crest": CrestProfile,
}
