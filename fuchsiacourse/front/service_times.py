"""Usual time that the requests of each service take."""

from __future__ import annotations

# Assumed before the first answer, in seconds.
FIRST_GUESS_S = 0.5
# Weight of a new answer in the moving average.
_WEIGHT = 0.05
# Weight while there are few answers, so that the first guess fades fast.
_FIRST_ANSWERS = 20
# A straggler counts as at most this multiple of the average.
_MAX_RATIO = 4.0


class ServiceTimes:
    """Moving average of the time to an answer by service."""

    __slots__ = ("_usual_s_by_service", "_answers_by_service")

    def __init__(self) -> None:
        self._usual_s_by_service: dict[str, float] = {}
        self._answers_by_service: dict[str, int] = {}

    def usual_s(self, service: str) -> float:
        """Returns the usual time of a service in seconds."""
        return self._usual_s_by_service.get(service, FIRST_GUESS_S)

    def add(self, service: str, took_s: float) -> None:
        """Adds the time of a successful answer in seconds."""
        answers = self._answers_by_service.get(service, 0) + 1
        self._answers_by_service[service] = answers
        if answers == 1:
            self._usual_s_by_service[service] = took_s
            return
        usual_s = self._usual_s_by_service[service]
        weight = max(_WEIGHT, 1.0 / min(answers, _FIRST_ANSWERS))
        counted_s = min(took_s, usual_s * _MAX_RATIO)
        self._usual_s_by_service[service] = usual_s + weight * (
            counted_s - usual_s
        )
