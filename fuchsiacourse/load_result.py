"""Counts and latencies of a load run, as JSON and as a table."""

from __future__ import annotations

import collections
import json
import typing

import hdrh.histogram
import rich.table

# Range of the latency histogram, 1 microsecond to 10 minutes, and its
# precision in decimal digits.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class KindResult:
    """Counts and latencies of one request kind."""

    __slots__ = (
        "sent",
        "good",
        "worth",
        "worth_good",
        "verdicts",
        "statuses",
        "retry_after_s",
        "latency",
    )

    def __init__(self) -> None:
        self.sent = 0
        self.good = 0
        self.worth = 0.0
        self.worth_good = 0.0
        self.verdicts: collections.Counter[str] = collections.Counter()
        # Number of last answers by status, 0 for no answer.
        self.statuses: collections.Counter[int] = collections.Counter()
        # Longest time after which a caller was asked to return, in seconds,
        # None if none was.
        self.retry_after_s: float | None = None
        self.latency = hdrh.histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )

    def add(
        self,
        *,
        latency_s: float,
        verdict: str,
        is_good: bool,
        worth: float,
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        """Records a finished request.

        Args:
            latency_s: Seconds from its scheduled arrival to its answer.
            verdict: Verdict of the last attempt.
            is_good: Whether it was answered completely and in time.
            worth: Worth of the request kind.
            status: HTTP status of the last answer, 0 if there was none.
            retry_after_s: Time after which the last answer asks the caller to
                return, in seconds, None if it asks for none.
        """
        self.sent += 1
        self.worth += worth
        self.verdicts[verdict] += 1
        self.statuses[status] += 1
        if retry_after_s is not None:
            self.retry_after_s = max(retry_after_s, self.retry_after_s or 0.0)
        if is_good:
            self.good += 1
            self.worth_good += worth
        microseconds = int(latency_s * MICROSECONDS_PER_SECOND)
        self.latency.record_value(
            min(max(microseconds, LOWEST_US), HIGHEST_US)
        )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a latency percentile, from 0 to 100, in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1000


class LoadResult:
    """Results of a load run by request kind."""

    def __init__(self) -> None:
        self.kinds_by_name: dict[str, KindResult] = {}
        self.retries = 0

    def kind(self, name: str) -> KindResult:
        """Returns the result of a kind, created at the first call."""
        return self.kinds_by_name.setdefault(name, KindResult())

    @property
    def worth_ratio(self) -> float:
        """Worth served in time as a share of the worth of all requests."""
        total = sum(item.worth for item in self.kinds_by_name.values())
        good = sum(item.worth_good for item in self.kinds_by_name.values())
        return good / total if total else 0.0

    def to_json(self) -> str:
        """Returns the summary as JSON text."""
        return json.dumps(self.summary(), indent=1, sort_keys=True)

    def summary(self) -> dict[str, typing.Any]:
        """Returns the counts and percentiles as JSON values."""
        return {
            "worth_ratio": self.worth_ratio,
            "resends": self.retries,
            "kinds": {
                name: {
                    "sent": item.sent,
                    "good": item.good,
                    "verdicts": dict(item.verdicts),
                    "statuses": {
                        str(status): count
                        for status, count in item.statuses.items()
                    },
                    "longest_retry_after_s": item.retry_after_s,
                    "latency_ms": {
                        str(percentile): item.percentile_ms(percentile)
                        for percentile in PERCENTILES
                    },
                }
                for name, item in self.kinds_by_name.items()
            },
        }

    def table(self) -> rich.table.Table:
        """Returns the result as a table for a terminal."""
        table = rich.table.Table(
            "kind",
            "sent",
            "in time",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "verdicts",
            "statuses",
            "retry after s",
        )
        for name, item in sorted(self.kinds_by_name.items()):
            table.add_row(
                name,
                str(item.sent),
                str(item.good),
                f"{item.percentile_ms(50.0):.1f}",
                f"{item.percentile_ms(99.0):.1f}",
                f"{item.percentile_ms(99.9):.1f}",
                ", ".join(
                    f"{verdict} {count}"
                    for verdict, count in sorted(item.verdicts.items())
                ),
                ", ".join(
                    f"{status} {count}"
                    for status, count in sorted(item.statuses.items())
                ),
                (
                    ""
                    if item.retry_after_s is None
                    else f"{item.retry_after_s:g}"
                ),
            )
        table.add_row("worth in time", "", f"{self.worth_ratio:.1%}")
        return table
