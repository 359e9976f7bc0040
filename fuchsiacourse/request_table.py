"""Requests that a shard holds, queued or running."""

from __future__ import annotations

import sortedcontainers

from fuchsiacourse import request_queue
from fuchsiacourse import request_row

# An entry waits this long after the deadline for a booking that has
# started, so that its caller's next attempt can learn the answer.
LATE_ANSWER_S = 30.0


class RequestTable:
    """Requests by identifier and by the time at which they end.

    Args:
        queue: Queue of the shard.
    """

    def __init__(self, *, queue: request_queue.RequestQueue) -> None:
        self._queue = queue
        self._rows_by_id: dict[str, request_row.RequestRow] = {}
        self._rows_by_end = sortedcontainers.SortedDict()

    def __len__(self) -> int:
        return len(self._rows_by_id)

    def get(self, request_id: str) -> request_row.RequestRow | None:
        """Returns a request that is queued or running."""
        return self._rows_by_id.get(request_id)

    def queued(self) -> list[request_row.RequestRow]:
        """Returns the requests in the queue."""
        return [
            row
            for row in self._rows_by_id.values()
            if row.state is request_row.RequestState.QUEUED
        ]

    def add(self, row: request_row.RequestRow) -> None:
        """Adds a request and queues it."""
        self._rows_by_id[row.id] = row
        self._rows_by_end[_end(row)] = row
        self._queue.push(row)

    def remove(self, row: request_row.RequestRow) -> None:
        """Removes a request, also from the queue."""
        if row.state is request_row.RequestState.QUEUED:
            self._queue.remove(row)
        del self._rows_by_id[row.id]
        del self._rows_by_end[_end(row)]
        row.state = request_row.RequestState.DONE

    def due(self, now: float) -> request_row.RequestRow | None:
        """Returns a request that ends now, if there is one.

        A request that is not idempotent and is at a target at its deadline
        goes on for a while.
        """
        while self._rows_by_end:
            end, row = self._rows_by_end.peekitem(0)
            if end[0] > now:
                return None
            if row.kind.idempotent or row.is_late or not row.runs_by_id:
                return row
            del self._rows_by_end[end]
            row.is_late = True
            self._rows_by_end[_end(row)] = row
        return None


def _end(row: request_row.RequestRow) -> tuple[float, int]:
    late_s = LATE_ANSWER_S if row.is_late else 0.0
    return row.deadline_s + late_s, row.sequence
