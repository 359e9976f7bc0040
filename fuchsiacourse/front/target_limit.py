"""Rate limit that a target states in its answers, and the starts it allows."""

from __future__ import annotations

import math

# Starts that a limit allows at once after a pause, as time at the limited
# rate, in seconds. It is small against the seconds in which targets count, and
# lets a burst use the limit of a target that takes many requests.
BURST_S = 0.5
# Most starts beyond the limit that delay the next ones, as time at the limited
# rate, in seconds. Targets count within a few seconds; older starts don't
# matter to them.
MAX_DEBT_S = 4.0
# Smallest rate at which a target gets requests, in requests per second. Only
# its answers show that a limit of 0 has ended.
MIN_RATE_PER_S = 0.1
# Rate of a target that states no limit.
UNLIMITED = math.inf


class TargetLimit:
    """Spaces the starts of all fronts at one target as its limit asks.

    Attributes:
        rate_per_s: Limit in requests per second from all fronts together,
            UNLIMITED while the target states none.
        opens_at_s: Monotonic time from which the limit allows the next start,
            in seconds.
    """

    __slots__ = ("rate_per_s", "opens_at_s", "_stated_at_s")

    def __init__(self) -> None:
        self.rate_per_s = UNLIMITED
        self.opens_at_s = float("-inf")
        # Monotonic time of the last answer that stated a limit, in seconds.
        self._stated_at_s = float("-inf")

    @property
    def is_stated(self) -> bool:
        """Whether the target states a limit."""
        return self.rate_per_s < UNLIMITED

    def observe(
        self, rate_per_s: float, now_s: float, *, took_s: float
    ) -> bool:
        """Adopts what an answer states; returns whether the limit changed.

        An answer without a limit to a request that was sent before the last
        answer with one is ignored, because it may be the older of the two.

        Args:
            rate_per_s: Limit in requests per second, UNLIMITED if the answer
                states none.
            now_s: Monotonic time of the answer in seconds.
            took_s: Time from the request to the answer in seconds.
        """
        if rate_per_s < UNLIMITED:
            self._stated_at_s = now_s
        elif now_s - took_s < self._stated_at_s:
            return False
        has_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        return has_changed

    def record_start(self, now_s: float, *, share: float) -> None:
        """Counts the start of a request at the target.

        Args:
            now_s: Monotonic time of the start in seconds.
            share: Share of the limit that the counted fronts have, 0 to 1.
        """
        if not self.is_stated:
            return
        interval_s = 1.0 / max(MIN_RATE_PER_S, self.rate_per_s * share)
        opens_at_s = max(self.opens_at_s, now_s - BURST_S) + interval_s
        latest_s = now_s + max(MAX_DEBT_S, interval_s)
        self.opens_at_s = min(opens_at_s, latest_s)
