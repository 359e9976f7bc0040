"""Queues the requests of one shard, by kind and deadline."""

from __future__ import annotations

import collections.abc
import itertools

import sortedcontainers

from fuchsiacourse import request_row
from fuchsiacourse import service_file


class KindQueue:
    """Holds the queued requests of one kind in the order of deadlines.

    Args:
        kind: The request kind.
    """

    __slots__ = ("kind", "_rows_by_order")

    def __init__(self, *, kind: service_file.RequestKind) -> None:
        self.kind = kind
        self._rows_by_order = sortedcontainers.SortedDict()

    def __len__(self) -> int:
        return len(self._rows_by_order)

    @property
    def last(self) -> request_row.RequestRow:
        """Request with the latest deadline."""
        return self._rows_by_order.peekitem(-1)[1]

    def first(self, count: int) -> list[request_row.RequestRow]:
        """Returns at most ``count`` requests, the earliest deadline first."""
        return list(itertools.islice(self._rows_by_order.values(), count))

    def from_first(self) -> collections.abc.Iterator[request_row.RequestRow]:
        """Yields the requests, the earliest deadline first."""
        return iter(self._rows_by_order.values())

    def from_last(self) -> collections.abc.Iterator[request_row.RequestRow]:
        """Yields the requests, the latest deadline first."""
        return (
            self._rows_by_order[order]
            for order in reversed(self._rows_by_order)
        )

    def ahead_of(self, order: tuple[float, int]) -> int:
        """Returns the number of requests before a position."""
        return self._rows_by_order.bisect_left(order)

    def push(self, row: request_row.RequestRow) -> None:
        """Adds a request."""
        self._rows_by_order[row.order] = row

    def remove(self, row: request_row.RequestRow) -> None:
        """Removes a request."""
        del self._rows_by_order[row.order]


class RequestQueue:
    """Holds the requests that wait for a slot, in one queue for each kind.

    A shard has few kinds, so sorting the kinds at each step is cheap and
    lets the order between them depend on the load. Adding and removing a
    request takes O(log n).
    """

    def __init__(self) -> None:
        self._queues_by_kind: dict[str, KindQueue] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def kind_queues(self) -> collections.abc.Iterable[KindQueue]:
        """Queues that hold requests, in no particular order."""
        return [queue for queue in self._queues_by_kind.values() if queue]

    def queue_of(self, kind: service_file.RequestKind) -> KindQueue:
        """Returns the queue of a kind, which may be empty."""
        queue = self._queues_by_kind.get(kind.name)
        if queue is None:
            queue = KindQueue(kind=kind)
            self._queues_by_kind[kind.name] = queue
        return queue

    def push(self, row: request_row.RequestRow) -> None:
        """Adds a request."""
        self.queue_of(row.kind).push(row)
        self._size += 1

    def remove(self, row: request_row.RequestRow) -> None:
        """Removes a request."""
        self._queues_by_kind[row.kind.name].remove(row)
        self._size -= 1

    def replace_kinds(
        self, kinds_by_name: dict[str, service_file.RequestKind]
    ) -> None:
        """Applies a new configuration of the kinds.

        Queued requests of a removed kind are kept in their order.

        Args:
            kinds_by_name: All configured kinds.
        """
        for name, queue in list(self._queues_by_kind.items()):
            if name in kinds_by_name:
                queue.kind = kinds_by_name[name]
            elif not queue:
                del self._queues_by_kind[name]
