"""Retry or hedge budget as a share of the requests."""

from __future__ import annotations

# Capacity in tokens; it lets a shard with little traffic retry its first
# failures.
_BURST = 10.0


class ShareBudget:
    """Allows extra attempts up to a share of the requests.

    Args:
        share: Extra attempts per request, from 0 to 1.
    """

    __slots__ = ("_share", "_tokens")

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._tokens = _BURST if share else 0.0

    def deposit(self) -> None:
        """Adds the share of one request to the budget."""
        self._tokens = min(_BURST, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Takes one extra attempt from the budget.

        Returns:
            Whether the budget allowed it.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
