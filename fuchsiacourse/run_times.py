"""Estimates the run times of a shard's request kinds."""

from __future__ import annotations

import collections

import sortedcontainers

from fuchsiacourse import service_file
from fuchsiacourse import target_row

# Number of requests over which the mean decays. A few hundred are needed,
# because one straggler in a hundred requests runs 30 times longer than the
# mean.
_DECAY_COUNT = 400.0
# Number of requests that the expected time of the service file counts as.
_PRIOR_COUNT = 50.0
# Number of attempts in the quantile, and the fewest for which it is used.
_WINDOW = 400
_MIN_SAMPLES = 40
_STRAGGLER_QUANTILE = 0.95
# 95th percentile of an exponential distribution, in means.
_INITIAL_QUANTILE_MEANS = 3.0


Outcome = target_row.Outcome


class _KindTimes:
    __slots__ = ("_slot_s", "_served", "_recent", "_sorted")

    def __init__(self, *, expected_s: float) -> None:
        # Decaying sums of the slot time and of the served requests.
        self._slot_s = expected_s * _PRIOR_COUNT
        self._served = _PRIOR_COUNT
        # Latest run times in seconds, by arrival and sorted.
        self._recent: collections.deque[float] = collections.deque()
        self._sorted = sortedcontainers.SortedList()

    @property
    def mean_s(self) -> float:
        # Slot time per served request. A request that is cut off at its
        # deadline adds its time but not to the number, so that a kind that
        # often starts late does not look cheap.
        return self._slot_s / self._served

    def add_slot_time(self, slot_s: float, is_served: bool) -> None:
        keep = 1.0 - 1.0 / _DECAY_COUNT
        self._slot_s = self._slot_s * keep + slot_s
        self._served = max(1.0, self._served * keep + is_served)

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
    """Estimates run times by kind, starting from the service file."""

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
        """Returns the 95th percentile of an attempt's time in seconds.

        With fewer than _MIN_SAMPLES attempts it is estimated from the mean.
        """
        return self._of(kind).straggler_s

    def ended(
        self,
        kind: service_file.RequestKind,
        outcome: target_row.Outcome,
        run_s: float,
    ) -> None:
        """Records the end of an attempt.

        Args:
            kind: Kind of the request.
            outcome: How the attempt ended.
            run_s: Age of the attempt in seconds.
        """
        if outcome in (Outcome.SHED, Outcome.UNREACHABLE):
            return
        is_served = outcome is Outcome.OK
        self.add_slot_time(kind, run_s, is_served=is_served)
        # The age of an attempt that was cut off only counts if it is above
        # the percentile; otherwise it would lower it.
        if is_served or run_s >= self.straggler_s(kind):
            self.add_run_time(kind, run_s)

    def add_slot_time(
        self,
        kind: service_file.RequestKind,
        slot_s: float,
        *,
        is_served: bool,
    ) -> None:
        """Adds the slot time of an attempt.

        Args:
            kind: Kind of the request.
            slot_s: Slot time of the attempt in seconds.
            is_served: Whether the attempt ended with the request's answer.
        """
        self._of(kind).add_slot_time(slot_s, is_served)

    def add_run_time(
        self, kind: service_file.RequestKind, run_s: float
    ) -> None:
        """Adds the run time of an attempt in seconds."""
        self._of(kind).add_run_time(run_s)
