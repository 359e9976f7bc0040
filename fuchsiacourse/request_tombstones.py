"""Keeps the identifiers of requests that were withdrawn or have ended.

They prevent a request from running again after it was withdrawn or sent.
"""

from __future__ import annotations

from fuchsiacourse import id_table

# Seconds for which an identifier is kept.
_LIFETIME_S = 600.0


class RequestTombstones:
    """Records which requests were withdrawn and which were sent to a target.

    The identifiers of withdrawn requests, and of sent ones that are not
    idempotent, are never dropped early, because such a request could then
    run although its reply says otherwise. Sent idempotent requests are many,
    so their oldest identifiers are dropped when the table is full. For the
    lifetime of an identifier after that, unknown requests can't be
    withdrawn, because they may have been sent.

    Args:
        max_ids: Bound on the identifiers in each of the three tables.
    """

    def __init__(self, *, max_ids: int) -> None:
        self._withdrawn = _table(max_ids)
        self._sent_non_idempotent = _table(max_ids)
        self._sent_idempotent = _table(max_ids)
        self._incomplete_until_s = 0.0

    def is_full(self, now: float) -> bool:
        """Returns whether no further request can be recorded."""
        return self._withdrawn.is_full(
            now
        ) or self._sent_non_idempotent.is_full(now)

    def was_withdrawn(self, id: str, now: float) -> bool:
        """Returns whether a request was withdrawn."""
        return self._withdrawn.contains(id, now)

    def was_sent(self, id: str, now: float) -> bool:
        """Returns whether a request that has ended was sent to a target."""
        return self._sent_idempotent.contains(
            id, now
        ) or self._sent_non_idempotent.contains(id, now)

    def add_sent(self, id: str, idempotent: bool, now: float) -> None:
        """Records a request that was sent to a target.

        Args:
            id: Identifier of the request.
            idempotent: Whether the request is idempotent.
            now: Monotonic time in seconds.
        """
        if not idempotent:
            # Requests that were running when the table became full may
            # exceed its bound; new ones are refused meanwhile.
            self._sent_non_idempotent.add(id, now, force=True)
        elif self._sent_idempotent.add_evicting_oldest(id, now):
            self._incomplete_until_s = now + _LIFETIME_S

    def withdraw(self, id: str, now: float) -> bool:
        """Withdraws an unknown request.

        Returns:
            Whether it is certain that the request will not run.
        """
        if now < self._incomplete_until_s:
            return False
        return self._withdrawn.add(id, now)

    def withdraw_queued(self, id: str, now: float) -> bool:
        """Withdraws a queued request.

        Returns:
            Whether it is certain that the request will not run.
        """
        return self._withdrawn.add(id, now)


def _table(max_ids: int) -> id_table.IdTable:
    return id_table.IdTable(lifetime_s=_LIFETIME_S, max_ids=max_ids)
