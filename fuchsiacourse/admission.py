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
# Share of the deadline that is kept free for the run at most.
_MAX_RUN_SHARE = 0.5
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

    def worth_per_slot_second(self, kind: service_file.RequestKind) -> float:
        """Returns the worth per expected slot-second."""
        return kind.worth / max(1e-6, self._times.mean_s(kind))

    def is_overloaded(self, slots: int) -> bool:
        """Whether the queue holds too much to be served in any order."""
        queues = self._queue.kind_queues
        if not queues:
            return False
        work_s = sum(self._work_s(item.kind, len(item)) for item in queues)
        shortest_s = min(item.kind.deadline_ms for item in queues) / 1000.0
        return work_s > _PEAK_SHARE * shortest_s * slots

    def ordered(self, slots: int) -> list[request_queue.KindQueue]:
        """Returns the queues that hold requests, the first served first."""
        rank = self._rank(self.is_overloaded(slots))
        return sorted(
            self._queue.kind_queues, key=lambda item: rank(item.kind)
        )

    def meets_deadline(
        self, row: request_row.RequestRow, now: float, slots: int
    ) -> bool:
        """Whether a queued request can be expected to be served in time."""
        rank = self._rank(self.is_overloaded(slots))
        own = rank(row.kind)
        work_s = self._times.mean_s(row.kind)
        for item in self._queue.kind_queues:
            if item.kind.name == row.kind.name:
                work_s += self._work_s(item.kind, item.ahead_of(row.order))
            elif rank(item.kind) < own:
                work_s += self._work_s(item.kind, len(item))
        wait_s = work_s / max(1, slots)
        return now + wait_s < self.latest_start_s(row)

    def unservable(
        self, now: float, slots: int
    ) -> list[request_row.RequestRow]:
        """Returns queued requests that can't be served in time any more.

        At peak these are the least valuable. Looked at are the requests
        with the latest deadlines, which new arrivals push back, and those
        with the earliest, which have waited longer than expected.
        """
        if not self.is_overloaded(slots):
            return []
        ahead_s = 0.0
        found: list[request_row.RequestRow] = []
        for item in self.ordered(slots):
            mean_s = self._times.mean_s(item.kind)
            kept = len(item)
            for row in item.from_first():
                if now < self.latest_start_s(row):
                    break
                found.append(row)
                kept -= 1
            if not kept:
                continue
            for row in item.from_last():
                wait_s = (ahead_s + mean_s * kept) / max(1, slots)
                if now + wait_s < self.latest_start_s(row):
                    break
                found.append(row)
                kept -= 1
                if not kept:
                    break
            ahead_s += mean_s * kept
        return list({row.id: row for row in found}.values())

    def least_valuable(self) -> request_row.RequestRow | None:
        """Returns the queued request that is worth least."""
        queues = self._queue.kind_queues
        if not queues:
            return None
        return min(
            queues, key=lambda item: self.worth_per_slot_second(item.kind)
        ).last

    def retry_after_s(self, slots: int) -> float:
        """Returns after how long the present queue will be served."""
        return max(_MIN_RETRY_AFTER_S, self.queue_s(slots))

    def queue_s(self, slots: int) -> float:
        """Returns how long the present queue keeps the slots busy."""
        work_s = sum(
            self._work_s(item.kind, len(item))
            for item in self._queue.kind_queues
        )
        return work_s / max(1, slots)

    def latest_start_s(self, row: request_row.RequestRow) -> float:
        """Returns when a request must start to end in time, mostly."""
        run_s = min(
            self._times.straggler_s(row.kind),
            _MAX_RUN_SHARE * row.kind.deadline_ms / 1000.0,
        )
        return row.deadline_s - run_s

    def _work_s(self, kind: service_file.RequestKind, count: int) -> float:
        return count * self._times.mean_s(kind)

    def _rank(
        self, is_overloaded: bool
    ) -> typing.Callable[[service_file.RequestKind], tuple]:
        if is_overloaded:
            return lambda kind: (-self.worth_per_slot_second(kind), kind.name)
        return lambda kind: (not kind.is_short, -kind.worth, kind.name)
