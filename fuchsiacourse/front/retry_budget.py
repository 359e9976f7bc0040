"""Retry budget of each service, shared by the fronts of a region.

Guards against retries that multiply the load when many targets fail or shed
load at once. Every front counts its own requests and retries and those that
other fronts report.
"""

from __future__ import annotations

import collections
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings

# Part of the budget that is used; the rest covers reports of other fronts
# that are in transit or lost, and the retries of fronts that start in the
# same window.
USED_SHARE = 0.85
# Part of the requests' share that a front uses in the first window after its
# start. The front doesn't know the retries before its start, and all fronts
# may start at the same time right after the budget was spent.
FIRST_WINDOW_SHARE = 0.4
# Length of a counting bucket in seconds.
_BUCKET_S = 0.5
# How far the windows whose requests count lie in the past, in window lengths.
# The operator takes the window with the most requests: the current one, the
# one before it or the one half a window before it.
_EARLIER_WINDOWS = (0.0, 0.5, 1.0)


class _Bucket:
    """Requests and retries of one service within ``_BUCKET_S``.

    Args:
        start_s: Monotonic time at which the bucket starts, in seconds.
    """

    __slots__ = ("start_s", "requests", "retries")

    def __init__(self, *, start_s: float) -> None:
        self.start_s = start_s
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Args:
        clock: Source of time.
        bounds: Limits agreed with the operator.
        regions: Number of regions that share the budget's fixed part.
        live_share: Returns the share of the region's fronts, 0 to 1, that
            are in contact. A front that is partitioned from the others uses
            only its own part.
        is_first_start: Whether the whole deployment starts for the first
            time, so that no retries preceded the start.
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
        """Counts the first attempt of a request."""
        self._bucket(service).requests += 1

    def count_retry(self, service: str) -> None:
        """Counts an attempt after the first."""
        self._bucket(service).retries += 1

    def remaining(self, service: str) -> float:
        """Returns how many retries a service may have now."""
        buckets = self._buckets_by_service.get(service, ())
        window_s = self._bounds.retry_window_s
        now_s = self._clock.now()
        requests = 0
        for earlier in _EARLIER_WINDOWS:
            end_s = now_s - earlier * window_s
            # A bucket that lies only partly in the window is left out.
            counted = sum(
                bucket.requests
                for bucket in buckets
                if end_s - window_s <= bucket.start_s
                and (not earlier or bucket.start_s + _BUCKET_S <= end_s)
            )
            requests = max(requests, counted)
        oldest_s = now_s - window_s - _BUCKET_S
        retries = sum(
            bucket.retries for bucket in buckets if bucket.start_s >= oldest_s
        )
        allowed = self._bounds.retry_share * requests
        if now_s - self._started_s < window_s:
            allowed *= FIRST_WINDOW_SHARE
        else:
            extra = self._bounds.retry_extra / self._regions
            allowed += extra * self._live_share()
        return USED_SHARE * allowed - retries

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
