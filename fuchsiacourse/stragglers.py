"""Watches running attempts for stragglers."""

from __future__ import annotations

import heapq
import itertools

from fuchsiacourse import request_row
from fuchsiacourse import run_times

# With 1 % stragglers of 30 times the run time, an attempt whose age exceeds
# the 95th percentile by this factor is more likely a straggler than not.
_REPLACE_FACTOR = 1.5
# Seconds until an attempt is checked again that could be neither hedged nor
# replaced.
_RECHECK_S = 0.02


class WatchedAttempt:
    """Holds a running attempt and its request.

    Args:
        row: The request.
        run: The attempt.
    """

    __slots__ = ("row", "run")

    def __init__(
        self, *, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> None:
        self.row = row
        self.run = run

    @property
    def is_running(self) -> bool:
        """Whether the attempt is running and the only one of its request."""
        return (
            self.row.state is request_row.RequestState.RUNNING
            and self.run.id in self.row.runs_by_id
            and len(self.row.runs_by_id) == 1
            and self.run.cancelled_as is None
        )


class Stragglers:
    """Determines when attempts of idempotent requests pass an age limit.

    Args:
        times: Estimated run times of the shard.
    """

    def __init__(self, *, times: run_times.RunTimes) -> None:
        self._times = times
        self._heap: list[tuple[float, int, WatchedAttempt]] = []
        self._sequence = itertools.count()

    def watch(
        self, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> None:
        """Watches a new attempt.

        Args:
            row: Its request.
            run: The attempt.
        """
        limit_s = self._times.straggler_s(row.kind)
        if not row.kind.is_short:
            # Attempts of long kinds are replaced but never hedged.
            limit_s *= _REPLACE_FACTOR
        self._push(
            run.attempt.started_s + limit_s, WatchedAttempt(row=row, run=run)
        )

    def reschedule(self, watched: WatchedAttempt, now: float) -> None:
        """Makes an attempt due again after _RECHECK_S."""
        self._push(now + _RECHECK_S, watched)

    def due(self, now: float) -> list[WatchedAttempt]:
        """Returns the running attempts that have passed their limit."""
        due_attempts = []
        while self._heap and self._heap[0][0] <= now:
            watched = heapq.heappop(self._heap)[2]
            if watched.is_running:
                due_attempts.append(watched)
        return due_attempts

    def is_replaceable(self, watched: WatchedAttempt, now: float) -> bool:
        """Returns whether a new attempt would probably end earlier."""
        age_s = now - watched.run.attempt.started_s
        limit_s = self._times.straggler_s(watched.row.kind)
        return age_s >= _REPLACE_FACTOR * limit_s

    def _push(self, due_s: float, watched: WatchedAttempt) -> None:
        heapq.heappush(self._heap, (due_s, next(self._sequence), watched))
