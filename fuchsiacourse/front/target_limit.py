"""Rate limit that a target states in its answers."""

from __future__ import annotations


class TargetLimit:
    """Requests per second that a target takes from all fronts together.

    Attributes:
        rate_per_s: Limit in requests per second, None while the target states
            none.
    """

    __slots__ = ("rate_per_s", "_stated_at_s")

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        # Monotonic time of the last answer that stated a limit, in seconds.
        self._stated_at_s = float("-inf")

    def observe(
        self, rate_per_s: float | None, now_s: float, *, took_s: float
    ) -> bool:
        """Adopts what an answer states; returns whether the limit changed.

        An answer without a limit to a request that was sent before the last
        answer with one is ignored, because it may be the older of the two.

        Args:
            rate_per_s: Limit in requests per second, None if the answer
                states none.
            now_s: Monotonic time of the answer in seconds.
            took_s: Time from the request to the answer in seconds.
        """
        if rate_per_s is None and now_s - took_s < self._stated_at_s:
            return False
        if rate_per_s is not None:
            self._stated_at_s = now_s
        has_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        return has_changed
