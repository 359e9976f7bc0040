"""Decides when an idle target gets a request, so that the floor is kept.

Covers a light load that a few targets serve, while those that were suspected
once get no requests and so stay suspected, and services whose requests can't
be retried, at the moment at which many fronts go down.
"""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import failure_share
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import target as targets

# Time for which a target counts as in use after a request, in seconds; the
# operator counts the floor over 2 s.
IN_USE_S = 1.7
# Interval between two checks of the floor, in seconds.
CHECK_S = 0.2
# Part of the healthy targets that is kept in use beyond the floor, because
# some of them leave or lose their connection before the next request.
MARGIN = 0.1
# The same for requests that can't be retried while few requests fail. It isn't
# 0, because the operator also counts the two seconds before a failure, and
# those in use vary by chance.
QUIET_MARGIN = 0.06
# Share of failed attempts, and share of the fronts that went down lately, from
# which MARGIN holds for all requests. The operator counts the floor from a
# tenth.
COUNTED_FAILURE_SHARE = 0.1
COUNTED_LOST_SHARE = 0.1
# Share of the requests that may be trials.
TRIAL_SHARE = 0.2
# Failure probability from which an idle target gets no trial; the estimate
# of a target that failed falls below it after about 4 s, and most gray
# failures last no longer.
MAX_FAILURE_PROBABILITY = 0.7
# Most targets among which the one for a trial is chosen.
SAMPLE = 24


class _TargetUse:
    """Use of a service's targets as of the last check, and its trials.

    Attributes:
        checked_s: Monotonic time of the check in seconds.
        healthy: Expected number of usable targets that are healthy.
        healthy_in_use: Expected number of those that are in use.
        trial_share: Share of the requests that can't be retried that are
            trials.
    """

    __slots__ = (
        "checked_s",
        "healthy",
        "healthy_in_use",
        "trial_share",
        "_steady_share",
    )

    def __init__(self) -> None:
        self.checked_s = float("-inf")
        self.healthy = 0.0
        self.healthy_in_use = 0.0
        self.trial_share = 0.0
        self._steady_share = 0.0

    def missing(self, floor_share: float) -> float:
        """Returns how many targets are missing to a share of the healthy."""
        return floor_share * self.healthy - self.healthy_in_use

    def adapt(
        self, *, missing: float, attempts: float, passed_s: float
    ) -> None:
        """Adapts the share of trials by proportional-integral control.

        A target counts as in use for IN_USE_S after its trial and is missing
        again afterwards, so trials in proportion to the missing targets alone
        would settle below the floor.

        Args:
            missing: Targets that are missing to the floor, negative if there
                are more.
            attempts: Attempts at the service in IN_USE_S.
            passed_s: Time since the last check in seconds.
        """
        if not self.healthy_in_use:
            # The service has just had its first requests.
            self.trial_share = self._steady_share = 0.0
            return
        needed = missing / attempts
        self._steady_share += needed * passed_s / IN_USE_S
        self._steady_share = min(TRIAL_SHARE, max(0.0, self._steady_share))
        share = self._steady_share + needed
        self.trial_share = min(TRIAL_SHARE, max(0.0, share))


class FloorTrials:
    """Chooses idle targets for trials while too few targets are in use.

    Attributes:
        count: Number of trials so far.

    Args:
        clock: Source of time.
        rng: Source of randomness.
        bounds: Limits agreed with the operator, among them the floor: the
            share of the targets that must stay in use.
        failures: Attempts of each service, and the share of them that fails.
        lost_share: Returns the share of the region's fronts that went down
            lately.
        limiter: Spaces the starts at targets with a rate limit.
    """

    __slots__ = (
        "count",
        "_clock",
        "_rng",
        "_bounds",
        "_failures",
        "_lost_share",
        "_limiter",
        "_use_by_service",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        bounds: front_settings.Bounds,
        failures: failure_share.FailureShare,
        lost_share: typing.Callable[[], float],
        limiter: rate_limiter.RateLimiter,
    ) -> None:
        self.count = 0
        self._clock = clock
        self._rng = rng
        self._bounds = bounds
        self._failures = failures
        self._lost_share = lost_share
        self._limiter = limiter
        self._use_by_service: dict[str, _TargetUse] = {}

    def choose(
        self,
        service: str,
        found: collections.abc.Sequence[targets.Target],
        *,
        is_retryable: bool,
    ) -> targets.Target | None:
        """Returns an idle target for a request that is a trial, else None.

        Args:
            service: Service of the request.
            found: Targets of the service in the region of the front, which
                doesn't know what the fronts of other regions use.
            is_retryable: Whether the request can be retried if it fails.
        """
        now_s = self._clock.now()
        share = self._trial_share(service, found, now_s, is_retryable)
        if not share or self._rng.random() >= share:
            return None
        sample = found
        if len(found) > SAMPLE:
            sample = self._rng.sample(found, SAMPLE)
        idle = [
            item
            for item in sample
            if item.is_usable
            and now_s - item.last_used_s > IN_USE_S
            and item.failure_probability(now_s) < MAX_FAILURE_PROBABILITY
            and item.load.in_flight(now_s) < item.record.slots
            and self._limiter.permits(item)
        ]
        if not idle:
            return None
        self.count += 1
        # Other fronts hear of a trial only when it ends, so the best target
        # would get the trials of all of them.
        weights = [1.0 - item.failure_probability(now_s) for item in idle]
        return self._rng.choices(idle, weights)[0]

    def _trial_share(
        self,
        service: str,
        found: collections.abc.Sequence[targets.Target],
        now_s: float,
        is_retryable: bool,
    ) -> float:
        """Returns the share of the requests that are trials now.

        Requests that can't be retried are trials only as often as the targets
        that are missing to the floor need them, because many trials fail.
        """
        use = self._use_by_service.get(service)
        if use is None:
            use = self._use_by_service[service] = _TargetUse()
        if now_s >= use.checked_s + CHECK_S:
            self._check(use, service, found, now_s)
        if not is_retryable:
            return use.trial_share
        floor_share = self._bounds.floor_share + MARGIN
        return TRIAL_SHARE if use.missing(floor_share) > 0.0 else 0.0

    def _check(
        self,
        use: _TargetUse,
        service: str,
        found: collections.abc.Sequence[targets.Target],
        now_s: float,
    ) -> None:
        """Estimates the healthy targets in use and adapts the trials."""
        use.healthy = use.healthy_in_use = 0.0
        for item in found:
            if not item.is_usable or item.held_until_s > now_s:
                continue
            weight = 1.0 - item.failure_probability(now_s)
            use.healthy += weight
            if now_s - item.last_used_s <= IN_USE_S:
                use.healthy_in_use += weight
        passed_s = min(IN_USE_S, now_s - use.checked_s)
        use.checked_s = now_s
        margin = MARGIN if self._counts_floor(service, now_s) else QUIET_MARGIN
        attempts = self._failures.rate_per_s(service, now_s) * IN_USE_S
        use.adapt(
            missing=use.missing(self._bounds.floor_share + margin),
            attempts=max(1.0, attempts),
            passed_s=passed_s,
        )

    def _counts_floor(self, service: str, now_s: float) -> bool:
        """Returns whether the operator may count the floor of a service.

        Requests also fail, unseen by this front, with fronts that go down.
        """
        return (
            self._failures.share(service, now_s) >= COUNTED_FAILURE_SHARE
            or self._lost_share() >= COUNTED_LOST_SHARE
        )
