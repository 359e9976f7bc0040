"""Bounded table of identifiers that expire after a fixed time."""

from __future__ import annotations


class IdTable:
    """Stores identifiers for a fixed time.

    Only add_evicting_oldest evicts an identifier before it expires.

    Args:
        lifetime_s: Seconds for which an identifier is kept.
        max_ids: Maximum number of identifiers.
    """

    def __init__(self, *, lifetime_s: float, max_ids: int) -> None:
        self._lifetime_s = lifetime_s
        self._max_ids = max_ids
        # Ordered by expiry, because all identifiers have the same lifetime.
        self._expiry_by_id: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._expiry_by_id)

    def add(self, id: str, now: float, *, force: bool = False) -> bool:
        """Adds an identifier.

        Args:
            id: Identifier to add; one that is kept already is unchanged.
            now: Monotonic time in seconds.
            force: Whether to add it although the table is full.

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
        """Adds an identifier and evicts the oldest one if the table is full.

        Args:
            id: Identifier to add.
            now: Monotonic time in seconds.

        Returns:
            Whether an identifier was evicted before it expired.
        """
        if self.add(id, now):
            return False
        del self._expiry_by_id[next(iter(self._expiry_by_id))]
        self.add(id, now)
        return True

    def contains(self, id: str, now: float) -> bool:
        """Whether an identifier is in the table and has not expired."""
        expiry_s = self._expiry_by_id.get(id)
        return expiry_s is not None and expiry_s > now

    def is_full(self, now: float) -> bool:
        """Removes expired identifiers if need be; returns whether full."""
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
