"""Budget for sendings beyond the first, shared by the fronts of a region.

Load answered here: failures and sheds at many targets at once, when repeats
would multiply the load. Every front counts its own requests and repeats and
those that other fronts tell of.
"""

from __future__ import annotations

import collections
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings

# Part of the budget that is used; the rest covers news of other fronts that
# is under way or lost, and what fronts spend that start in the same window.
USED_SHARE = 0.75
# Part of the requests' share that a front uses in the first window after its
# start. It does not know what was spent before; all fronts may have started
# at the same time, right after the budget was spent.
FIRST_WINDOW_SHARE = 0.4
_BUCKET_S = 0.5
# The operator counts the requests of a window, of the one before it or of
# the one half a window before it, whichever has most.
_EARLIER_WINDOWS = (0.0, 0.5, 1.0)


class _Bucket:
    """Counts of one service in a short time.

    Args:
        start_s: Monotonic time of its start in seconds.
    """

    __slots__ = ("start_s", "requests", "repeats")

    def __init__(self, *, start_s: float) -> None:
        self.start_s = start_s
        self.requests = 0
        self.repeats = 0


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window.

    Args:
        clock: Source of time.
        bounds: Promises to the operator.
        regions: Number of regions that share the budget's fixed part.
        heard_share: Returns the share of the region's fronts that are
            heard. A front that is cut off uses its own part only.
        is_first_start: Whether nothing was spent before the start, because
            the whole deployment starts for the first time.
    """

    __slots__ = (
        "_clock",
        "_bounds",
        "_regions",
        "_live_share",
        "_started_s",
        "_buckets_by_service",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        bounds: front_settings.Bounds,
        regions: int,
        live_share: typing.Callable[[], float],
        is_first_start: bool,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._regions = max(1, regions)
        self._live_share = live_share
        self._started_s = float("-inf") if is_first_start else clock.now()
        self._buckets_by_service: dict[str, collections.deque[_Bucket]] = {}

    def count_request(self, service: str) -> None:
        """Counts the first sending of a request."""
        self._bucket(service).requests += 1

    def count_retry(self, service: str) -> None:
        """Counts a sending beyond the first."""
        self._bucket(service).repeats += 1

    def remaining(self, service: str) -> float:
        """Returns how many repeats a service may have now."""
        buckets = self._buckets_by_service.get(service, ())
        window_s = self._bounds.retry_window_s
        now_s = self._clock.now()
        requests = 0
        for earlier in _EARLIER_WINDOWS:
            end_s = now_s - earlier * window_s
            # A bucket that lies partly in the window is left out.
            counted = sum(
                bucket.requests
                for bucket in buckets
                if end_s - window_s <= bucket.start_s
                and (not earlier or bucket.start_s + _BUCKET_S <= end_s)
            )
            requests = max(requests, counted)
        oldest_s = now_s - window_s - _BUCKET_S
        repeats = sum(
            bucket.repeats for bucket in buckets if bucket.start_s >= oldest_s
        )
        allowed = self._bounds.retry_share * requests
        if now_s - self._started_s < window_s:
            allowed *= FIRST_WINDOW_SHARE
        else:
            extra = self._bounds.retry_extra / self._regions
            allowed += extra * self._live_share()
        return USED_SHARE * allowed - repeats

    def _bucket(self, service: str) -> _Bucket:
        buckets = self._buckets_by_service.setdefault(
            service, collections.deque()
        )
        now_s = self._clock.now()
        oldest_s = now_s - 2.0 * self._bounds.retry_window_s - _BUCKET_S
        while buckets and buckets[0].start_s < oldest_s:
            buckets.popleft()
        if not buckets or now_s - buckets[-1].start_s > _BUCKET_S:
            buckets.append(_Bucket(start_s=now_s))
        return buckets[-1]
