"""Budget for sendings beyond the first, shared by the fronts of a region.

Load answered here: failures and sheds at many targets at once, when repeats
would multiply the load. Every front counts its own requests and repeats and
those that other fronts tell of.
"""

from __future__ import annotations

import collections

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings

# Part of the budget that is used; the rest covers news of other fronts that
# is under way or lost.
USED_SHARE = 0.8
_BUCKET_S = 0.5


class _Window:
    """Counts of one service in buckets of time."""

    __slots__ = ("buckets", "requests", "repeats")

    def __init__(self) -> None:
        self.buckets: collections.deque[list[float]] = collections.deque()
        self.requests = 0
        self.repeats = 0


class RepeatBudget:
    """Counts requests and repeats of each service in a sliding window.

    Args:
        clock: Source of time.
        bounds: Promises to the operator.
        regions: Number of regions that share the budget's fixed part.
    """

    __slots__ = ("_clock", "_bounds", "_extra", "_windows_by_service")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        bounds: front_settings.Bounds,
        regions: int,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._extra = bounds.repeat_extra / max(1, regions)
        self._windows_by_service: dict[str, _Window] = {}

    def count_request(self, service: str) -> None:
        """Counts the first sending of a request."""
        window = self._window(service)
        self._bucket(window)[1] += 1
        window.requests += 1

    def count_repeat(self, service: str) -> None:
        """Counts a sending beyond the first."""
        window = self._window(service)
        self._bucket(window)[2] += 1
        window.repeats += 1

    def left(self, service: str) -> float:
        """Returns how many repeats a service may have now."""
        window = self._window(service)
        allowed = self._bounds.repeat_share * window.requests + self._extra
        return USED_SHARE * allowed - window.repeats

    def _window(self, service: str) -> _Window:
        window = self._windows_by_service.get(service)
        if window is None:
            window = self._windows_by_service[service] = _Window()
        oldest_s = self._clock.now() - self._bounds.repeat_window_s - _BUCKET_S
        while window.buckets and window.buckets[0][0] < oldest_s:
            _, requests, repeats = window.buckets.popleft()
            window.requests -= int(requests)
            window.repeats -= int(repeats)
        return window

    def _bucket(self, window: _Window) -> list[float]:
        now_s = self._clock.now()
        if not window.buckets or now_s - window.buckets[-1][0] > _BUCKET_S:
            window.buckets.append([now_s, 0, 0])
        return window.buckets[-1]
