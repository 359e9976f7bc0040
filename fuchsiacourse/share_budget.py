"""Budget as a share of traffic."""

from __future__ import annotations

# Tokens that a quiet shard has for its first failures.
_BURST = 10.0


class ShareBudget:
    """Allows extra attempts up to a share of the requests.

    Args:
        share: Extra attempts for each request, from 0 to 1.
    """

    __slots__ = ("_share", "_tokens")

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._tokens = _BURST if share else 0.0

    def earn(self) -> None:
        """Counts one request."""
        self._tokens = min(_BURST, self._tokens + self._share)

    def take(self) -> bool:
        """Uses the budget for one attempt; returns whether there is any."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
