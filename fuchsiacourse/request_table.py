"""Stores the requests of a shard, queued or running."""

from __future__ import annotations

import sortedcontainers

from fuchsiacourse import request_queue
from fuchsiacourse import request_row

# Seconds for which a request that is not idempotent goes on after its
# deadline once it has started, so that a retry by the caller gets the
# answer.
RUN_ON_S = 30.0


class RequestTable:
    """Indexes requests by identifier and by the time at which they expire.

    Args:
        queue: Queue of the shard.
    """

    def __init__(self, *, queue: request_queue.RequestQueue) -> None:
        self._queue = queue
        self._rows_by_id: dict[str, request_row.RequestRow] = {}
        self._rows_by_expiry = sortedcontainers.SortedDict()

    def __len__(self) -> int:
        return len(self._rows_by_id)

    def get(self, request_id: str) -> request_row.RequestRow | None:
        """Returns a queued or running request, None without one."""
        return self._rows_by_id.get(request_id)

    def queued(self) -> list[request_row.RequestRow]:
        """Returns the queued requests."""
        return [
            row
            for row in self._rows_by_id.values()
            if row.state is request_row.RequestState.QUEUED
        ]

    def add(self, row: request_row.RequestRow) -> None:
        """Adds a request and queues it."""
        self._rows_by_id[row.id] = row
        self._rows_by_expiry[_expiry(row)] = row
        self._queue.push(row)

    def remove(self, row: request_row.RequestRow) -> None:
        """Ends a request and removes it, also from the queue."""
        if row.state is request_row.RequestState.QUEUED:
            self._queue.remove(row)
        del self._rows_by_id[row.id]
        del self._rows_by_expiry[_expiry(row)]
        row.state = request_row.RequestState.DONE

    def due(self, now: float) -> request_row.RequestRow | None:
        """Returns a request that has expired, None without one.

        A request that is not idempotent and is running at its deadline
        expires RUN_ON_S later.

        Args:
            now: Monotonic time in seconds.
        """
        while self._rows_by_expiry:
            expiry, row = self._rows_by_expiry.peekitem(0)
            if expiry[0] > now:
                return None
            if row.kind.idempotent or row.is_late or not row.runs_by_id:
                return row
            del self._rows_by_expiry[expiry]
            row.is_late = True
            self._rows_by_expiry[_expiry(row)] = row
        return None


def _expiry(row: request_row.RequestRow) -> tuple[float, int]:
    late_s = RUN_ON_S if row.is_late else 0.0
    return row.deadline_s + late_s, row.sequence
