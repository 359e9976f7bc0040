"""Request counters for the report on service-level objectives."""

from __future__ import annotations

import datetime
import functools
import zoneinfo

from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
from fuchsiacourse import service_file
from fuchsiacourse import verdict as verdicts

_FIRST_SERVER_ERROR = 500
_QUARTER_HOUR_S = 900
_MONTH_LENGTH = len("2026-01")


class BurnCounter:
    """Counts of one service, kind and month since the process started.

    Args:
        service: Name of the service.
        kind: Name of the request kind.
        month: Calendar month in the service's time zone, ``2026-01``.
    """

    __slots__ = (
        "service",
        "kind",
        "month",
        "total",
        "good",
        "worth",
        "worth_served",
    )

    def __init__(self, *, service: str, kind: str, month: str) -> None:
        self.service = service
        self.kind = kind
        self.month = month
        self.total = 0
        self.good = 0
        self.worth = 0.0
        self.worth_served = 0.0

    def copied(self) -> BurnCounter:
        """Returns a copy that later requests don't change."""
        copy = BurnCounter(
            service=self.service, kind=self.kind, month=self.month
        )
        copy.total = self.total
        copy.good = self.good
        copy.worth = self.worth
        copy.worth_served = self.worth_served
        return copy


class BurnCounters:
    """Counts answers by service, kind and calendar month.

    Args:
        clock: Source of the wall time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._counters: dict[tuple[str, str, str], BurnCounter] = {}

    def record(
        self,
        service: service_file.ServiceFile,
        kind: service_file.RequestKind,
        answer: caller_request.CallerAnswer,
        *,
        elapsed_s: float,
    ) -> None:
        """Counts one answer.

        Rejections for a fault of the request itself (status below 500) are
        not counted, because they say nothing about the service.

        Args:
            service: Service of the request.
            kind: Request kind.
            answer: Answer sent to the caller.
            elapsed_s: Seconds from the request's arrival to its answer.
        """
        if answer.is_refusal and answer.status < _FIRST_SERVER_ERROR:
            return
        counter = self._counter(service, kind)
        counter.total += 1
        counter.worth += kind.worth
        if _is_good(service, kind, answer, elapsed_s):
            counter.good += 1
            counter.worth_served += kind.worth

    def snapshot(self) -> list[BurnCounter]:
        """Returns copies of all counters."""
        return [counter.copied() for counter in self._counters.values()]

    def _counter(
        self,
        service: service_file.ServiceFile,
        kind: service_file.RequestKind,
    ) -> BurnCounter:
        month = month_of(self._clock.wall(), time_zone=service.time_zone)
        key = (service.service, kind.name, month)
        counter = self._counters.get(key)
        if counter is None:
            counter = BurnCounter(
                service=service.service, kind=kind.name, month=month
            )
            self._counters[key] = counter
        return counter


def month_of(wall_s: float, *, time_zone: str) -> str:
    """Returns the calendar month of a time in a time zone, ``2026-01``."""
    # Time zone offsets are multiples of a quarter of an hour, so all times
    # within one are in the same month and the result can be cached.
    return _month_of_quarter_hour(int(wall_s // _QUARTER_HOUR_S), time_zone)


@functools.lru_cache(maxsize=4096)
def _month_of_quarter_hour(quarter_hour: int, time_zone: str) -> str:
    at = datetime.datetime.fromtimestamp(
        quarter_hour * _QUARTER_HOUR_S, zoneinfo.ZoneInfo(time_zone)
    )
    return at.isoformat()[:_MONTH_LENGTH]


def _is_good(
    service: service_file.ServiceFile,
    kind: service_file.RequestKind,
    answer: caller_request.CallerAnswer,
    elapsed_s: float,
) -> bool:
    if answer.is_refusal or answer.verdict is not verdicts.Verdict.RAN:
        return False
    within_ms = next(
        (
            objective.within_ms
            for objective in service.objectives
            if objective.kind == kind.name
        ),
        kind.deadline_ms,
    )
    return (
        answer.status < _FIRST_SERVER_ERROR and elapsed_s * 1000 <= within_ms
    )
