"""Counters and histograms of a front in the Prometheus text format."""

from __future__ import annotations

import bisect
import typing

# Upper bounds of the latency histograms, in seconds.
LATENCY_BOUNDS_S = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
# Most series of counters and histograms; further ones are dropped. It bounds
# the memory if a label has more values than expected.
MAX_SERIES = 2000

Labels = tuple[tuple[str, str], ...]
Gauges = typing.Callable[[], dict[str, float]]


class _Histogram:
    """Counts of values per bucket, and the sum of the values."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total = 0.0


class FrontMetrics:
    """Counters, histograms and gauges of one process.

    Args:
        gauges: Returns the gauges' values; called for each rendering.
    """

    __slots__ = ("_counters", "_histograms", "_gauges", "_dropped_series")

    def __init__(self, *, gauges: Gauges) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges = gauges
        self._dropped_series = 0

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter; each label must have few values.

        A new series above ``MAX_SERIES`` is dropped and counted.
        """
        key = name, tuple(labels.items())
        if key not in self._counters and self._is_full():
            return
        self._counters[key] = self._counters.get(key, 0.0) + 1.0

    def observe(self, name: str, took_s: float, **labels: str) -> None:
        """Adds a duration in seconds to a histogram.

        A new series above ``MAX_SERIES`` is dropped and counted.
        """
        key = name, tuple(labels.items())
        histogram = self._histograms.get(key)
        if histogram is None:
            if self._is_full():
                return
            histogram = self._histograms[key] = _Histogram()
        index = bisect.bisect_left(LATENCY_BOUNDS_S, took_s)
        histogram.counts[index] += 1
        histogram.total += took_s

    def render(self) -> bytes:
        """Returns all series in the Prometheus text format."""
        lines = [
            f"{name}{_label_text(labels)} {value:g}"
            for (name, labels), value in sorted(self._counters.items())
        ]
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            lines.extend(_buckets(name, labels, histogram))
        for name, value in sorted(self._gauges().items()):
            lines.append(f"{name} {value:g}")
        lines.append(f"front_series_lost {self._dropped_series}")
        return ("\n".join(lines) + "\n").encode()

    def _is_full(self) -> bool:
        if len(self._counters) + len(self._histograms) < MAX_SERIES:
            return False
        self._dropped_series += 1
        return True


def _buckets(
    name: str, labels: Labels, histogram: _Histogram
) -> typing.Iterator[str]:
    seen = 0
    bounds = [f"{bound:g}" for bound in LATENCY_BOUNDS_S] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts):
        seen += count
        bucket = _label_text((*labels, ("le", bound)))
        yield f"{name}_bucket{bucket} {seen}"
    yield f"{name}_sum{_label_text(labels)} {histogram.total:g}"
    yield f"{name}_count{_label_text(labels)} {seen}"


def _label_text(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
