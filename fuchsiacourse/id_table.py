"""Bounded memory of request identifiers."""

from __future__ import annotations


class IdTable:
    """Identifiers kept for a fixed time.

    They are dropped earlier only on the wish of the table's user.

    Args:
        lifetime_s: Seconds for which an identifier is kept.
        max_ids: Bound of the table.
    """

    def __init__(self, *, lifetime_s: float, max_ids: int) -> None:
        self._lifetime_s = lifetime_s
        self._max_ids = max_ids
        # In the order of expiry, because the lifetime is the same for all.
        self._expiry_by_id: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._expiry_by_id)

    def add(self, id: str, now: float, *, force: bool = False) -> bool:
        """Adds an identifier.

        Args:
            id: The identifier.
            now: Monotonic time in seconds.
            force: Whether to add it beyond the bound.

        Returns:
            False if the table is full and the identifier was not added.
        """
        if id in self._expiry_by_id:
            return True
        if self.is_full(now) and not force:
            return False
        self._expiry_by_id[id] = now + self._lifetime_s
        return True

    def add_evicting_oldest(self, id: str, now: float) -> bool:
        """Adds an identifier, in place of the oldest one if need be.

        Returns:
            Whether an identifier was dropped before its time.
        """
        if self.add(id, now):
            return False
        del self._expiry_by_id[next(iter(self._expiry_by_id))]
        self.add(id, now)
        return True

    def contains(self, id: str, now: float) -> bool:
        """Whether an identifier is kept."""
        expiry_s = self._expiry_by_id.get(id)
        return expiry_s is not None and expiry_s > now

    def is_full(self, now: float) -> bool:
        """Whether no identifier can be added."""
        if len(self._expiry_by_id) < self._max_ids:
            return False
        self._drop_expired(now)
        return len(self._expiry_by_id) >= self._max_ids

    def _drop_expired(self, now: float) -> None:
        expired = []
        for id, expiry_s in self._expiry_by_id.items():
            if expiry_s > now:
                break
            expired.append(id)
        for id in expired:
            del self._expiry_by_id[id]
