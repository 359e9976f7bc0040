"""Order of the queue and admission to it."""

from __future__ import annotations

import typing

from fuchsiacourse import request_queue
from fuchsiacourse import request_row
from fuchsiacourse import run_times
from fuchsiacourse import service_file

# The queue is at peak when its work takes more than this share of the
# shortest deadline among its kinds.
_PEAK_SHARE = 0.25
# Seconds a caller is asked to wait at least before it sends again.
_MIN_RETRY_AFTER_S = 0.1


class Admission:
    """Decides which requests are worth their place in the queue.

    Normally short kinds go first, then higher worth. At peak, when not all
    can be served in time, kinds go by worth per expected slot-second: what
    can't be served in time is then always what is worth least, and is
    refused at once instead of at its deadline.

    Args:
        queue: Queue of the shard.
        times: Learned run times of the shard.
    """

    def __init__(
        self,
        *,
        queue: request_queue.RequestQueue,
        times: run_times.RunTimes,
    ) -> None:
        self._queue = queue
        self._times = times

    def density(self, kind: service_file.RequestKind) -> float:
        """Returns the worth per expected slot-second."""
        return kind.worth / max(1e-6, self._times.mean_s(kind))

    def is_peak(self, slots: int) -> bool:
        """Whether the queue holds too much to be served in any order."""
        queues = self._queue.kind_queues
        if not queues:
            return False
        work_s = sum(self._work_s(item.kind, len(item)) for item in queues)
        shortest_s = min(item.kind.deadline_ms for item in queues) / 1000.0
        return work_s > _PEAK_SHARE * shortest_s * slots

    def ordered(self, slots: int) -> list[request_queue.KindQueue]:
        """Returns the queues that hold requests, the first served first."""
        order = self._order(self.is_peak(slots))
        return sorted(
            self._queue.kind_queues, key=lambda item: order(item.kind)
        )

    def wait_s(
        self,
        kind: service_file.RequestKind,
        order: tuple[float, int],
        slots: int,
        *,
        free_slots: int = 0,
    ) -> float:
        """Returns the expected time in the queue of a request.

        Args:
            kind: Its kind.
            order: Its position among the requests of its kind.
            slots: Usable slots of the shard.
            free_slots: Slots that are not in use.
        """
        if not self._queue and free_slots > 0:
            return 0.0
        rank = self._order(self.is_peak(slots))
        own = rank(kind)
        work_s = self._times.mean_s(kind)
        for item in self._queue.kind_queues:
            if item.kind.name == kind.name:
                work_s += self._work_s(item.kind, item.ahead_of(order))
            elif rank(item.kind) < own:
                work_s += self._work_s(item.kind, len(item))
        return work_s / max(1, slots)

    def meets_deadline(
        self,
        row: request_row.RequestRow,
        now: float,
        slots: int,
        *,
        free_slots: int = 0,
    ) -> bool:
        """Whether a request can be expected to be served in time."""
        wait_s = self.wait_s(row.kind, row.order, slots, free_slots=free_slots)
        return now + wait_s < self._latest_start_s(row)

    def crowded_out(
        self, now: float, slots: int
    ) -> list[request_row.RequestRow]:
        """Returns queued requests that no longer can be served in time.

        They are the least valuable ones, and only those at the end of the
        queues of their kinds are looked at.
        """
        if not self.is_peak(slots):
            return []
        ordered = self.ordered(slots)
        ahead_s = 0.0
        crowded = []
        for item in ordered:
            mean_s = self._times.mean_s(item.kind)
            kept = len(item)
            for row in item.from_last():
                wait_s = (ahead_s + mean_s * kept) / max(1, slots)
                if now + wait_s < self._latest_start_s(row):
                    break
                crowded.append(row)
                kept -= 1
            ahead_s += mean_s * kept
        return crowded

    def least_valuable(self) -> request_row.RequestRow | None:
        """Returns the queued request that is worth least."""
        queues = self._queue.kind_queues
        if not queues:
            return None
        return min(queues, key=lambda item: self.density(item.kind)).last

    def retry_after_s(self, slots: int) -> float:
        """Returns after how long the present queue will be served."""
        work_s = sum(
            self._work_s(item.kind, len(item))
            for item in self._queue.kind_queues
        )
        return max(_MIN_RETRY_AFTER_S, work_s / max(1, slots))

    def _work_s(self, kind: service_file.RequestKind, count: int) -> float:
        return count * self._times.mean_s(kind)

    def _latest_start_s(self, row: request_row.RequestRow) -> float:
        return row.deadline_s - self._times.mean_s(row.kind)

    def _order(
        self, is_peak: bool
    ) -> typing.Callable[[service_file.RequestKind], tuple]:
        if is_peak:
            return lambda kind: (-self.density(kind), kind.name)
        return lambda kind: (not kind.is_short, -kind.worth, kind.name)
