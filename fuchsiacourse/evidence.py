"""Stores the observations of targets in bounded memory.

Latencies are kept in histograms with logarithmic buckets whose weight
decays. Recent shares of late and failed attempts follow changes of load
within about half a second.
"""

from __future__ import annotations

import math

# Upper edge of the first bucket in seconds, and ratio between the upper edges
# of neighboring buckets.
SMALLEST_S = 0.0005
BUCKET_RATIO = 1.1
BUCKETS = 150
_LOG_RATIO = math.log(BUCKET_RATIO)

# Time in seconds in which the recent counts decay to 1/e.
RECENT_S = 0.5
# Observations at the expected share that are added to the recent counts, so
# that a share of few attempts stays near the expected one.
PRIOR_COUNT = 5.0


def bucket(latency_s: float) -> int:
    """Returns the index of the bucket of a latency.

    Args:
        latency_s: Latency in seconds.
    """
    if latency_s <= SMALLEST_S:
        return 0
    index = int(math.log(latency_s / SMALLEST_S) / _LOG_RATIO) + 1
    return min(index, BUCKETS - 1)


def upper_edge(index: int) -> float:
    """Returns the upper edge of a bucket in seconds."""
    return SMALLEST_S * BUCKET_RATIO**index


class RecentCounts:
    """Holds decaying counts of one target and kind.

    ``late`` and ``very_late`` count attempts over the two limits of
    latency, ``errors`` failed attempts and ``sheds`` requests that the
    target shed.
    """

    __slots__ = ("count", "late", "very_late", "errors", "sheds", "at_s")

    def __init__(self) -> None:
        self.count = 0.0
        self.late = 0.0
        self.very_late = 0.0
        self.errors = 0.0
        self.sheds = 0.0
        self.at_s = 0.0

    def decay(self, now: float) -> None:
        """Decays the counts to a time in monotonic seconds."""
        if now <= self.at_s:
            return
        factor = math.exp((self.at_s - now) / RECENT_S)
        self.at_s = now
        self.count *= factor
        self.late *= factor
        self.very_late *= factor
        self.errors *= factor
        self.sheds *= factor

    def share(self, counted: float, expected: float, now: float) -> float:
        """Returns the share of a count in the recent attempts.

        Args:
            counted: One of the counts.
            expected: Share at a healthy target.
            now: Monotonic time in seconds.
        """
        factor = math.exp(min(0.0, self.at_s - now) / RECENT_S)
        return (counted * factor + expected * PRIOR_COUNT) / (
            self.count * factor + PRIOR_COUNT
        )


class KindEvidence:
    """Holds the evidence on one target for one kind or for all kinds."""

    __slots__ = (
        "buckets",
        "weight",
        "recent",
        "latency_score",
        "error_score",
        "scored_at_s",
        "limits_passed_by_request",
        "expectation",
    )

    def __init__(self) -> None:
        self.buckets = [0.0] * BUCKETS
        self.weight = 0.0
        self.recent = RecentCounts()
        self.latency_score = 0.0
        self.error_score = 0.0
        self.scored_at_s = 0.0
        # Number of limits that running attempts have passed, by request.
        self.limits_passed_by_request: dict[str, int] = {}
        # Behavior expected from the peers; updated by the detector.
        self.expectation: Expectation | None = None

    def scale(self, factor: float) -> None:
        """Multiplies the weights of the histogram by a factor."""
        self.buckets = [value * factor for value in self.buckets]
        self.weight *= factor

    def reset_scores(self, now: float) -> None:
        """Sets the scores to zero, for example when an ejection starts."""
        self.latency_score = 0.0
        self.error_score = 0.0
        self.scored_at_s = now


class Expectation:
    """Holds the behavior of a healthy target, estimated from its peers.

    Args:
        late_s: Latency in seconds that one in ten healthy attempts exceeds.
        very_late_s: Latency in seconds that one in fifty exceeds.
        limits_until_s: Monotonic time in seconds at which the limits are
            computed again.
        usual_very_late: Share of the attempts in the peers' histograms that
            exceed the second limit.
    """

    __slots__ = (
        "late_s",
        "very_late_s",
        "limits_until_s",
        "usual_very_late",
        "late",
        "very_late",
        "errors",
        "sheds",
        "shares_until_s",
    )

    def __init__(
        self,
        *,
        late_s: float,
        very_late_s: float,
        limits_until_s: float,
        usual_very_late: float = 0.0,
    ) -> None:
        self.late_s = late_s
        self.very_late_s = very_late_s
        self.limits_until_s = limits_until_s
        self.usual_very_late = usual_very_late
        # Shares of attempts that are expected over each limit, to fail and
        # to be shed, and the time at which they are computed again.
        self.late = 0.0
        self.very_late = 0.0
        self.errors = 0.0
        self.sheds = 0.0
        self.shares_until_s = 0.0


def upper_median(values: list[float]) -> float:
    """Returns the median of values, 0 without any.

    Of an even number of values it is the higher one of the middle two.
    """
    if not values:
        return 0.0
    return sorted(values)[len(values) // 2]


def share_above(
    pool: KindEvidence, own: KindEvidence, latency_s: float
) -> float:
    """Returns the share of the peers' attempts above a latency.

    Args:
        pool: Evidence on all targets together.
        own: Evidence on the target that is left out.
        latency_s: Latency in seconds.
    """
    first = bucket(latency_s)
    above = sum(pool.buckets[first:]) - sum(own.buckets[first:])
    return above / max(1.0, pool.weight - own.weight)


def quantiles(
    pool: KindEvidence, own: KindEvidence, shares: tuple[float, ...]
) -> list[float]:
    """Returns the latencies that given shares of the peers' attempts exceed.

    Args:
        pool: Evidence on all targets together.
        own: Evidence on the target that is left out.
        shares: Shares in descending order.

    Returns:
        Latencies in seconds, one for each share.
    """
    peer_weight = pool.weight - own.weight
    limits = [peer_weight * share for share in shares]
    latencies_s: list[float] = []
    above = 0.0
    for index in range(BUCKETS - 1, -1, -1):
        above += pool.buckets[index] - own.buckets[index]
        while (
            len(latencies_s) < len(limits)
            and above > limits[-1 - len(latencies_s)]
        ):
            latencies_s.append(upper_edge(index))
    while len(latencies_s) < len(limits):
        latencies_s.append(upper_edge(0))
    return latencies_s[::-1]
