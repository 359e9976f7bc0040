"""Attempts that may turn out to be stragglers."""

from __future__ import annotations

import heapq
import itertools

from fuchsiacourse import request_row
from fuchsiacourse import run_times

# An attempt that is this many times older than the 95th percentile is more
# likely a straggler than not, with 1 % stragglers of 30 times the run time.
_REPLACE_FACTOR = 1.5
_RECHECK_S = 0.02


class WatchedAttempt:
    """A running attempt that has become old enough to act on."""

    __slots__ = ("row", "run")

    def __init__(
        self, *, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> None:
        self.row = row
        self.run = run

    @property
    def is_running(self) -> bool:
        """Whether it is the only attempt of its request."""
        return (
            self.row.state is request_row.RequestState.RUNNING
            and self.run.id in self.row.runs_by_id
            and len(self.row.runs_by_id) == 1
            and self.run.cancelled_as is None
        )


class Stragglers:
    """Knows when attempts of idempotent requests pass their age limits.

    Args:
        times: Learned run times of the shard.
    """

    def __init__(self, *, times: run_times.RunTimes) -> None:
        self._times = times
        self._heap: list[tuple[float, int, WatchedAttempt]] = []
        self._sequence = itertools.count()

    def watch(
        self, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> None:
        """Watches a new attempt."""
        limit_s = self._times.straggler_s(row.kind)
        if not row.kind.is_short:
            limit_s *= _REPLACE_FACTOR
        self._push(
            run.attempt.started_s + limit_s, WatchedAttempt(row=row, run=run)
        )

    def reschedule(self, watched: WatchedAttempt, now: float) -> None:
        """Looks at an attempt again soon."""
        self._push(now + _RECHECK_S, watched)

    def due(self, now: float) -> list[WatchedAttempt]:
        """Returns the running attempts that are past their limit."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            watched = heapq.heappop(self._heap)[2]
            if watched.is_running:
                found.append(watched)
        return found

    def is_replaceable(self, watched: WatchedAttempt, now: float) -> bool:
        """Whether a new attempt would likely end before this one."""
        age_s = now - watched.run.attempt.started_s
        limit_s = self._times.straggler_s(watched.row.kind)
        return age_s >= _REPLACE_FACTOR * limit_s

    def _push(self, due_s: float, watched: WatchedAttempt) -> None:
        heapq.heappush(self._heap, (due_s, next(self._sequence), watched))
