"""Tracks which share of a service's attempts fails."""

from __future__ import annotations

import math

from fuchsiacourse.front import outcome as outcomes

# Time in which an attempt's weight decays to 1/e, in seconds; the operator
# counts failures over 2 s.
DECAY_S = 1.5
# Failures that don't count: among few attempts, one or two say nothing about
# the service.
CHANCE_FAILURES = 1.5

_COUNTED = frozenset(outcomes.Outcome) - {
    outcomes.Outcome.LATE,
    outcomes.Outcome.CANCELLED,
}


class _Counts:
    """Decaying counts of the attempts of a service and of the failed ones."""

    __slots__ = ("attempts", "failed", "at_s")

    def __init__(self) -> None:
        self.attempts = 0.0
        self.failed = 0.0
        self.at_s = 0.0

    def decay(self, now_s: float) -> None:
        """Reduces the weight of earlier attempts."""
        factor = math.exp(min(0.0, self.at_s - now_s) / DECAY_S)
        self.attempts *= factor
        self.failed *= factor
        self.at_s = now_s


class FailureShare:
    """Share of the recent attempts that failed, by service."""

    __slots__ = ("_counts_by_service",)

    def __init__(self) -> None:
        self._counts_by_service: dict[str, _Counts] = {}

    def observe(
        self, service: str, outcome: outcomes.Outcome, now_s: float
    ) -> None:
        """Counts the end of an attempt at any front.

        Args:
            service: Service of the target.
            outcome: How the attempt ended.
            now_s: Monotonic time of its end in seconds.
        """
        if outcome not in _COUNTED:
            return
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _Counts()
        counts.decay(now_s)
        counts.attempts += 1.0
        counts.failed += outcome is not outcomes.Outcome.ANSWERED

    def rate_per_s(self, service: str, now_s: float) -> float:
        """Returns the recent attempts per second at a service.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.
        """
        counts = self._counts_by_service.get(service)
        if counts is None:
            return 0.0
        counts.decay(now_s)
        return counts.attempts / DECAY_S

    def share(self, service: str, now_s: float) -> float:
        """Returns the share of the attempts that failed, 0 to 1.

        Failures that may be chance don't count.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.
        """
        counts = self._counts_by_service.get(service)
        if counts is None:
            return 0.0
        counts.decay(now_s)
        failed = counts.failed - CHANCE_FAILURES
        return max(0.0, failed / max(1.0, counts.attempts))
