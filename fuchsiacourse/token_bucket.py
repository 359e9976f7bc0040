"""Budget that refills at a constant rate."""

from __future__ import annotations


class TokenBucket:
    """Token bucket.

    Args:
        rate_per_s: Tokens added a second.
        burst: Most tokens that it holds; it starts full.
        now_s: Monotonic time in seconds.
    """

    __slots__ = ("rate_per_s", "burst", "_tokens", "_updated_at")

    def __init__(
        self, *, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_at = now_s

    def take(self, amount: float, *, now_s: float) -> bool:
        """Takes tokens if there are enough.

        Returns:
            Whether the tokens were taken.
        """
        if self.available(now_s=now_s) < amount:
            return False
        self._tokens -= amount
        return True

    def adjust(self, amount: float) -> None:
        """Adds tokens, or takes them even if that leaves a debt."""
        self._tokens = min(self.burst, self._tokens + amount)

    def available(self, *, now_s: float) -> float:
        """Returns the tokens at a time; negative is a debt."""
        elapsed_s = max(0.0, now_s - self._updated_at)
        self._updated_at = max(now_s, self._updated_at)
        self._tokens = min(
            self.burst, self._tokens + elapsed_s * self.rate_per_s
        )
        return self._tokens

    def wait_s(self, amount: float, *, now_s: float) -> float:
        """Returns the seconds until an amount can be taken."""
        missing = amount - self.available(now_s=now_s)
        if missing <= 0 or self.rate_per_s <= 0:
            return 0.0
        return missing / self.rate_per_s
