"""Orders the queue of a shard and decides on admission to it."""

from __future__ import annotations

import typing

from fuchsiacourse import request_queue
from fuchsiacourse import request_row
from fuchsiacourse import run_times
from fuchsiacourse import service_file

# The shard is overloaded when serving its queue takes more than this share
# of the shortest deadline among its kinds.
_OVERLOAD_SHARE = 0.25
# Largest share of the deadline that is reserved for the attempt.
_MAX_RUN_SHARE = 0.5
# Shortest time in seconds after which a caller is asked to retry.
_MIN_RETRY_AFTER_S = 0.1


class Admission:
    """Decides which requests stay in the queue, and in which order.

    Normally short kinds go first, then those of higher worth. Under
    overload, when not all requests can be served in time, kinds go by worth
    per expected slot-second. The requests that can't be served in time are
    then always those of least worth, and they are refused at once instead
    of at their deadline.

    Args:
        queue: Queue of the shard.
        times: Estimated run times of the shard.
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
        """Returns the worth of a kind per expected slot-second."""
        return kind.worth / max(1e-6, self._times.mean_s(kind))

    def is_overloaded(self, slots: int) -> bool:
        """Returns whether the queue is too long to serve all in time.

        Args:
            slots: Number of usable slots.
        """
        queues = self._queue.kind_queues
        if not queues:
            return False
        work_s = sum(self._work_s(item.kind, len(item)) for item in queues)
        shortest_s = min(item.kind.deadline_ms for item in queues) / 1000.0
        return work_s > _OVERLOAD_SHARE * shortest_s * slots

    def ordered(self, slots: int) -> list[request_queue.KindQueue]:
        """Returns the queues that hold requests in the order of service."""
        rank = self._rank(self.is_overloaded(slots))
        return sorted(
            self._queue.kind_queues, key=lambda item: rank(item.kind)
        )

    def meets_deadline(
        self, row: request_row.RequestRow, now: float, slots: int
    ) -> bool:
        """Returns whether a queued request is expected to end in time.

        Args:
            row: The request.
            now: Monotonic time in seconds.
            slots: Number of usable slots.
        """
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
        """Returns queued requests that can no longer be served in time.

        Under overload these are the least valuable ones. The method checks
        the requests with the latest deadlines, which new arrivals push
        back, and those with the earliest, which have waited longer than
        expected.

        Args:
            now: Monotonic time in seconds.
            slots: Number of usable slots.
        """
        if not self.is_overloaded(slots):
            return []
        ahead_s = 0.0
        unservable: list[request_row.RequestRow] = []
        for item in self.ordered(slots):
            mean_s = self._times.mean_s(item.kind)
            kept = len(item)
            for row in item.from_first():
                if now < self.latest_start_s(row):
                    break
                unservable.append(row)
                kept -= 1
            if not kept:
                continue
            for row in item.from_last():
                wait_s = (ahead_s + mean_s * kept) / max(1, slots)
                if now + wait_s < self.latest_start_s(row):
                    break
                unservable.append(row)
                kept -= 1
                if not kept:
                    break
            ahead_s += mean_s * kept
        return list({row.id: row for row in unservable}.values())

    def least_valuable(self) -> request_row.RequestRow | None:
        """Returns the queued request of least worth, None without any."""
        queues = self._queue.kind_queues
        if not queues:
            return None
        return min(
            queues, key=lambda item: self.worth_per_slot_second(item.kind)
        ).last

    def retry_after_s(self, slots: int) -> float:
        """Returns the seconds after which a caller should retry."""
        return max(_MIN_RETRY_AFTER_S, self.queue_s(slots))

    def queue_s(self, slots: int) -> float:
        """Returns the seconds for which the queue keeps the slots busy."""
        work_s = sum(
            self._work_s(item.kind, len(item))
            for item in self._queue.kind_queues
        )
        return work_s / max(1, slots)

    def latest_start_s(self, row: request_row.RequestRow) -> float:
        """Returns when a request must start to end in time in most cases.

        Returns:
            Monotonic time in seconds.
        """
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
