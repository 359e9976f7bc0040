"""Tracks the usual response time of each service."""

from __future__ import annotations

# Usual time assumed before the first answer, in seconds.
INITIAL_USUAL_S = 0.5
# Weight of a new answer in the moving averages.
_WEIGHT = 0.05
# Number of first answers that have a higher weight, one over their count, so
# that the initial assumption fades fast.
_FIRST_ANSWERS = 20
# A straggler counts as at most this multiple of the usual time.
_MAX_RATIO = 3.0


class _Averages:
    """Moving averages of the response time and of its square."""

    __slots__ = ("answers", "time_s", "square_s2")

    def __init__(self) -> None:
        self.answers = 0
        self.time_s = 0.0
        self.square_s2 = 0.0

    @property
    def usual_s(self) -> float:
        """Average response time in seconds, weighted by the time itself."""
        return self.square_s2 / self.time_s if self.time_s else 0.0


class ServiceTimes:
    """Usual response time by service.

    The average is weighted by the time that requests take: a service also
    answers trivial requests, which say nothing about its ordinary work.
    """

    __slots__ = ("_averages_by_service",)

    def __init__(self) -> None:
        self._averages_by_service: dict[str, _Averages] = {}

    def usual_s(self, service: str) -> float:
        """Returns the usual time of a service in seconds."""
        averages = self._averages_by_service.get(service)
        if averages is None or not averages.usual_s:
            return INITIAL_USUAL_S
        return averages.usual_s

    def add(self, service: str, took_s: float) -> None:
        """Adds the response time of a successful answer.

        Args:
            service: Service that has answered.
            took_s: Time from the start of the attempt to the answer, in
                seconds.
        """
        averages = self._averages_by_service.get(service)
        if averages is None:
            averages = self._averages_by_service[service] = _Averages()
        counted_s = min(took_s, self.usual_s(service) * _MAX_RATIO)
        averages.answers += 1
        weight = max(_WEIGHT, 1.0 / min(averages.answers, _FIRST_ANSWERS))
        averages.time_s += weight * (counted_s - averages.time_s)
        averages.square_s2 += weight * (counted_s**2 - averages.square_s2)
