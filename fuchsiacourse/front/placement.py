"""Chooses the target of a request by the lowest expected loss.

Covers ordinary load with some unhealthy targets, and peaks at which the
healthy ones are full. A queue that would make answers late costs as much as
a failure, so that at a peak some requests fail at suspected targets rather
than all requests being late.
"""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import floor_trials
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import service_targets
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets

# Losses are fractions of the loss of a failed request. Traffic that leaves
# the front's zone or region costs the operator data transfer.
OTHER_ZONE_LOSS = 0.04
OTHER_REGION_LOSS = 0.35
# By distance: own zone, own region, other regions.
DISTANCE_LOSSES = (0.0, OTHER_ZONE_LOSS, OTHER_REGION_LOSS)
# Loss at a target whose slots are nearly all in use; some targets slow down
# at that load.
BUSY_LOSS = 0.05
# Loss of a retryable request at an unhealthy target: it loses only time, and
# its outcome shows whether the target has recovered.
RETRYABLE_FAILURE_LOSS = 0.5
# Loss of a declined request: its retry draws on the retry budget.
DECLINED_LOSS = 0.3
# Part of a target's slots that is used while the target is cold.
COLD_SLOT_SHARE = 0.5
# Gain of the first request at a new target: the fronts learn whether its
# capacity is usable before they need it.
UNTRIED_GAIN = 0.08
# Loss at a target that has just been used, falling to 0 over RECENT_S. Among
# equal targets the least recently used one wins, so that all stay in use and
# the evidence of their health is equally fresh.
RECENT_LOSS = 0.015
RECENT_S = 2.0
# Most targets that are all rated for a request. Of more targets a sample is
# rated, so that a choice takes the same time in services of any size, and
# fronts that choose at the same moment choose among different targets.
MAX_RATED = 24
# Targets of the sample by distance.
NEAR_SAMPLE = 12
REGION_SAMPLE = 8
FAR_SAMPLE = 4
# Loss of the best of a sample from which more targets are rated.
RESAMPLE_LOSS = 0.2
# Upper limit of a random loss, so that fronts that choose at the same moment
# choose different targets.
_TIE_LOSS = 0.004


class Placement:
    """Chooses targets for the requests of one front.

    Args:
        clock: Source of time.
        rng: Source of randomness.
        availability_zone: Zone of the front.
        regions_by_zone: Region of each availability zone.
        times: Usual response times of the services.
        trials: Chooses idle targets while too few are in use.
        limiter: Spaces the starts at targets with a rate limit.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_zone",
        "_regions",
        "_times",
        "_trials",
        "_limiter",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        availability_zone: str,
        regions_by_zone: dict[str, str],
        times: service_times.ServiceTimes,
        trials: floor_trials.FloorTrials,
        limiter: rate_limiter.RateLimiter,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._zone = availability_zone
        self._regions = regions_by_zone
        self._times = times
        self._trials = trials
        self._limiter = limiter

    @property
    def trial_count(self) -> int:
        """Number of requests so far that were trials of idle targets."""
        return self._trials.count

    def choose(
        self,
        candidates: collections.abc.Sequence[targets.Target],
        *,
        objective_s: float,
        is_retryable: bool,
        avoid: typing.Collection[targets.Target] = (),
    ) -> targets.Target | None:
        """Returns the best target, None if none may get a request now.

        Args:
            candidates: Targets of the service.
            objective_s: Response time objective of the route, in seconds.
            is_retryable: Whether the request can be retried if it fails.
            avoid: Targets that are chosen only if there are no others.
        """
        if not candidates:
            return None
        groups = self._groups(candidates)
        if not avoid:
            trial = self._trials.choose(
                candidates[0].record.service,
                groups[0] + groups[1],
                is_retryable=is_retryable,
            )
            if trial is not None:
                return trial
        best, lowest = None, float("inf")
        for part in self._samples(candidates, groups):
            others = self._open(part, avoid)
            found, loss = self._best(others, objective_s, is_retryable)
            if found is not None and loss < lowest:
                best, lowest = found, loss
            if lowest < RESAMPLE_LOSS:
                break
        if best is not None:
            return best
        left = self._open(candidates, avoid) or self._open(candidates, ())
        return self._best(left, objective_s, is_retryable)[0]

    def _samples(
        self,
        candidates: collections.abc.Sequence[targets.Target],
        groups: tuple[list[targets.Target], ...],
    ) -> collections.abc.Iterator[collections.abc.Sequence[targets.Target]]:
        """Yields the targets to rate: all, or one sample after another.

        The first sample has more of those that are near.
        """
        if len(candidates) <= MAX_RATED:
            yield candidates
            return
        near, region, far = groups
        yield (
            self._sample(near, NEAR_SAMPLE)
            + self._sample(region, REGION_SAMPLE)
            + self._sample(far, FAR_SAMPLE)
        )
        yield self._sample(candidates, MAX_RATED)

    def _sample(
        self, found: collections.abc.Sequence[targets.Target], count: int
    ) -> list[targets.Target]:
        if len(found) <= count:
            return list(found)
        return self._rng.sample(found, count)

    def _groups(
        self, candidates: collections.abc.Sequence[targets.Target]
    ) -> tuple[list[targets.Target], ...]:
        """Returns the targets of the own zone, the region, and the others."""
        groups: tuple[list[targets.Target], ...] = ([], [], [])
        if isinstance(candidates, service_targets.ServiceTargets):
            for zone, found in candidates.by_zone.items():
                groups[self._distance(zone)].extend(found)
            return groups
        for item in candidates:
            groups[self._distance(item.record.availability_zone)].append(item)
        return groups

    def _best(
        self,
        found: list[targets.Target],
        objective_s: float,
        is_retryable: bool,
    ) -> tuple[targets.Target | None, float]:
        """Returns the target of the lowest loss, and that loss."""
        now_s = self._clock.now()
        failure_loss = RETRYABLE_FAILURE_LOSS if is_retryable else 1.0
        best, lowest = None, 0.0
        for item in found:
            loss = self._loss(item, now_s, objective_s, failure_loss)
            loss += _TIE_LOSS * self._rng.random()
            idle_s = now_s - item.last_used_s
            if idle_s < RECENT_S:
                loss += RECENT_LOSS * (1.0 - idle_s / RECENT_S)
            if best is None or loss < lowest:
                best, lowest = item, loss
        return best, lowest

    def _distance(self, zone: str) -> int:
        """Returns 0 for the own zone, 1 for its region, 2 for others."""
        if zone == self._zone:
            return 0
        return 1 + (self._regions.get(zone) != self._regions.get(self._zone))

    def loss(
        self,
        target: targets.Target,
        *,
        objective_s: float,
        is_retryable: bool,
    ) -> float:
        """Returns the expected loss of a request at a target.

        Args:
            target: Target to rate.
            objective_s: Response time objective of the route, in seconds.
            is_retryable: Whether the request can be retried if it fails.

        Returns:
            The loss as a fraction of the loss of a failed request.
        """
        failure_loss = RETRYABLE_FAILURE_LOSS if is_retryable else 1.0
        return self._loss(target, self._clock.now(), objective_s, failure_loss)

    def _loss(
        self,
        target: targets.Target,
        now_s: float,
        objective_s: float,
        failure_loss: float,
    ) -> float:
        load = target.load.in_flight(now_s)
        loss = target.failure_probability(now_s) * failure_loss
        loss += target.declines.share(now_s) * DECLINED_LOSS
        distance = self._distance(target.record.availability_zone)
        loss += DISTANCE_LOSSES[distance]
        if target.health.is_untried and not load:
            loss -= UNTRIED_GAIN
        slots = float(target.record.slots)
        if target.is_cold(now_s):
            slots = max(1.0, slots * COLD_SLOT_SHARE)
        if load < slots:
            # A target that states a limit is as loaded as it wants to be.
            use = 1.0 if target.limit.is_stated else load / slots
            return loss + BUSY_LOSS * use
        usual_s = self._times.usual_s(target.record.service)
        wait_s = (load - slots + 1.0) / slots * usual_s
        return loss + BUSY_LOSS + wait_s / objective_s

    def _open(
        self,
        found: collections.abc.Iterable[targets.Target],
        avoid: typing.Collection[targets.Target],
    ) -> list[targets.Target]:
        """Returns the targets that may get a request now."""
        return [
            item
            for item in found
            if item.is_usable
            and item not in avoid
            and self._limiter.permits(item)
        ]
