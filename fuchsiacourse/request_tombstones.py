"""Memory of the requests that dispatch has ended."""

from __future__ import annotations

from fuchsiacourse import id_table

_LIFETIME_S = 600.0


class RequestTombstones:
    """Tells which requests were withdrawn and which were sent to a target.

    A withdrawn request and a sent non-idempotent one are never forgotten
    early, because either could then run against what was told. Sent
    idempotent requests are many and may be; unknown requests can't be
    withdrawn for a while then.

    Args:
        max_ids: Bound of each of the three tables.
    """

    def __init__(self, *, max_ids: int) -> None:
        self._withdrawn = _table(max_ids)
        self._sent_once = _table(max_ids)
        self._sent = _table(max_ids)
        self._forgot_until_s = 0.0

    def is_full(self, now: float) -> bool:
        """Whether new requests can't be remembered."""
        return self._withdrawn.is_full(now) or self._sent_once.is_full(now)

    def was_withdrawn(self, id: str, now: float) -> bool:
        """Whether a request was withdrawn."""
        return self._withdrawn.contains(id, now)

    def was_sent(self, id: str, now: float) -> bool:
        """Whether a request that has ended was sent to a target."""
        return self._sent.contains(id, now) or self._sent_once.contains(
            id, now
        )

    def add_sent(self, id: str, idempotent: bool, now: float) -> None:
        """Remembers a request that was sent to a target."""
        if not idempotent:
            # Requests that were under way when the table became full go
            # beyond its bound; no new ones are taken meanwhile.
            self._sent_once.add(id, now, force=True)
        elif self._sent.add_dropping(id, now):
            self._forgot_until_s = now + _LIFETIME_S

    def withdraw(self, id: str, now: float) -> bool:
        """Withdraws an unknown request; returns whether that is certain."""
        if now < self._forgot_until_s:
            return False
        return self._withdrawn.add(id, now)

    def withdraw_queued(self, id: str, now: float) -> bool:
        """Withdraws a queued request; returns whether that is certain."""
        return self._withdrawn.add(id, now)


def _table(max_ids: int) -> id_table.IdTable:
    return id_table.IdTable(lifetime_s=_LIFETIME_S, max_ids=max_ids)
