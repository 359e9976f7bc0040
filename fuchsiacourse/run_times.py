"""Run times of a shard's request kinds."""

from __future__ import annotations

import collections

import sortedcontainers

from fuchsiacourse import service_file

# Weight of the newest request in the mean. Stragglers of 30 times the mean
# would swing a faster average.
_MEAN_WEIGHT = 0.02
_WINDOW = 400
_MIN_SAMPLES = 40
_STRAGGLER_QUANTILE = 0.95
# 95th percentile of an exponential distribution, in means.
_INITIAL_QUANTILE_MEANS = 3.0


class _KindTimes:
    __slots__ = ("mean_s", "_recent", "_sorted")

    def __init__(self, *, expected_s: float) -> None:
        self.mean_s = expected_s
        self._recent: collections.deque[float] = collections.deque()
        self._sorted = sortedcontainers.SortedList()

    def add_slot_time(self, slot_s: float) -> None:
        self.mean_s += _MEAN_WEIGHT * (slot_s - self.mean_s)

    def add_run_time(self, run_s: float) -> None:
        self._recent.append(run_s)
        self._sorted.add(run_s)
        if len(self._recent) > _WINDOW:
            self._sorted.remove(self._recent.popleft())

    @property
    def straggler_s(self) -> float:
        count = len(self._sorted)
        if count < _MIN_SAMPLES:
            return _INITIAL_QUANTILE_MEANS * self.mean_s
        return self._sorted[int(_STRAGGLER_QUANTILE * count)]


class RunTimes:
    """Learned run times by kind, starting from the service file."""

    def __init__(self) -> None:
        self._times_by_kind: dict[str, _KindTimes] = {}

    def _of(self, kind: service_file.RequestKind) -> _KindTimes:
        times = self._times_by_kind.get(kind.name)
        if times is None:
            times = _KindTimes(expected_s=kind.expected_ms / 1000.0)
            self._times_by_kind[kind.name] = times
        return times

    def mean_s(self, kind: service_file.RequestKind) -> float:
        """Returns the expected slot time of a request in seconds."""
        return self._of(kind).mean_s

    def straggler_s(self, kind: service_file.RequestKind) -> float:
        """Returns the 95th percentile of an attempt in seconds."""
        return self._of(kind).straggler_s

    def add_slot_time(
        self, kind: service_file.RequestKind, slot_s: float
    ) -> None:
        """Adds the slot time of one request over all its attempts."""
        self._of(kind).add_slot_time(slot_s)

    def add_run_time(
        self, kind: service_file.RequestKind, run_s: float
    ) -> None:
        """Adds an attempt's run time, or its age when it was cancelled.

        Only attempts older than the 95th percentile are cancelled, so
        their ages do not move that percentile.
        """
        self._of(kind).add_run_time(run_s)
