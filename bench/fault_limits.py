"""Checks that fronts keep to the rate limits that targets state."""

from __future__ import annotations

import collections

# The operator's bound: arrivals in a window of this length, in seconds, from
# this time after the target first stated its limit.
WINDOW_S = 4.0
SETTLE_S = 3.0
TOLERANCE = 1.5
EXTRA = 5
# Time after which a front counts as told by an answer, in seconds.
TOLD_S = 0.5


class LimitCheck:
    """Counts the arrivals at one target from the fronts that it has told.

    Args:
        rate_per_s: Limit that the target states, in requests per second.
        now_s: Monotonic time at which it begins to, in seconds.
    """

    __slots__ = ("rate_per_s", "_since_s", "_told_s_by_front", "_arrivals")

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._since_s = now_s
        self._told_s_by_front: dict[str, float] = {}
        self._arrivals: collections.deque[float] = collections.deque()

    def record_answer(self, front: str, now_s: float) -> None:
        """Records an answer with the limit that a front gets."""
        self._told_s_by_front.setdefault(front, now_s)

    def forget(self, front: str) -> None:
        """Records that a front has started anew and knows nothing."""
        self._told_s_by_front.pop(front, None)

    def record_arrival(self, front: str, now_s: float) -> int | None:
        """Records an arrival; returns the arrivals if they are too many.

        Args:
            front: IP address of the front that sent it.
            now_s: Monotonic time in seconds.
        """
        told_s = self._told_s_by_front.get(front)
        if told_s is None or now_s - told_s < TOLD_S:
            return None
        self._arrivals.append(now_s)
        while self._arrivals[0] <= now_s - WINDOW_S:
            self._arrivals.popleft()
        allowed = TOLERANCE * self.rate_per_s * WINDOW_S + EXTRA
        if now_s - self._since_s < SETTLE_S or len(self._arrivals) <= allowed:
            return None
        return len(self._arrivals)
