"""Token bucket, a budget that refills at a constant rate."""

from __future__ import annotations


class TokenBucket:
    """Token bucket whose balance may also be corrected.

    Args:
        rate_per_s: Tokens added per second.
        burst: Capacity in tokens; the bucket starts full.
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
        """Removes tokens if there are enough.

        Returns:
            Whether the tokens were taken.
        """
        if self.available(now_s=now_s) < amount:
            return False
        self._tokens -= amount
        return True

    def adjust(self, amount: float) -> None:
        """Adds a positive or negative amount; the balance may go negative."""
        self._tokens = min(self.burst, self._tokens + amount)

    def available(self, *, now_s: float) -> float:
        """Returns the number of tokens, which may be negative."""
        elapsed_s = max(0.0, now_s - self._updated_at)
        self._updated_at = max(now_s, self._updated_at)
        self._tokens = min(
            self.burst, self._tokens + elapsed_s * self.rate_per_s
        )
        return self._tokens

    def wait_s(self, amount: float, *, now_s: float) -> float:
        """Returns the seconds until an amount is available.

        Returns 0 if it is available now or if the bucket never refills.
        """
        missing = amount - self.available(now_s=now_s)
        if missing <= 0 or self.rate_per_s <= 0:
            return 0.0
        return missing / self.rate_per_s
