"""Chooses the target of a request by the lowest expected loss.

Covers ordinary load with some unhealthy targets, and peaks at which the
healthy ones are full. A queue that would make answers late costs as much as
a failure, so that at a peak some requests fail at suspected targets rather
than all requests being late.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets

# Losses are fractions of the loss of a failed request. Traffic that leaves
# the front's zone or region costs the operator data transfer.
OTHER_ZONE_LOSS = 0.04
OTHER_REGION_LOSS = 0.35
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
# Time for which a target counts as in use after a request, in seconds; the
# operator counts the floor over 2 s.
IN_USE_S = 1.7
# Part of the targets that is kept in use beyond the floor, because some of
# them leave or lose their connection before the next request.
FLOOR_MARGIN = 0.1
# Share of the requests that may go to an idle target to keep the floor.
TRIAL_SHARE = 0.2
# Failure probability from which an idle target gets no trial; the estimate
# of a target that failed falls below it after about 6 s.
MAX_TRIAL_FAILURE_PROBABILITY = 0.6
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
        bounds: Limits agreed with the operator, among them the floor: the
            share of the targets that must stay in use.
    """

    __slots__ = ("_clock", "_rng", "_zone", "_regions", "_times", "_bounds")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        availability_zone: str,
        regions_by_zone: dict[str, str],
        times: service_times.ServiceTimes,
        bounds: front_settings.Bounds,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._zone = availability_zone
        self._regions = regions_by_zone
        self._times = times
        self._bounds = bounds

    def choose(
        self,
        candidates: typing.Iterable[targets.Target],
        *,
        objective_s: float,
        is_retryable: bool,
        avoid: typing.Collection[targets.Target] = (),
    ) -> targets.Target | None:
        """Returns the best target, None if none is usable.

        Args:
            candidates: Targets of the service.
            objective_s: Response time objective of the route, in seconds.
            is_retryable: Whether the request can be retried if it fails.
            avoid: Targets that are chosen only if there are no others.
        """
        usable = [item for item in candidates if item.is_usable]
        others = [item for item in usable if item not in avoid]
        if is_retryable and not avoid:
            trial = self._trial_target(usable)
            if trial is not None:
                return trial
        best, lowest = None, 0.0
        for item in others or usable:
            loss = self.loss(
                item,
                objective_s=objective_s,
                is_retryable=is_retryable,
            )
            loss += _TIE_LOSS * self._rng.random()
            loss += self._recent_loss(item)
            if best is None or loss < lowest:
                best, lowest = item, loss
        return best

    def _trial_target(
        self, usable: list[targets.Target]
    ) -> targets.Target | None:
        """Returns an idle target while too few are in use, otherwise None.

        Guards against a light load that a few targets serve, while those
        that were suspected once get no requests and so stay suspected.
        """
        if self._rng.random() >= TRIAL_SHARE:
            return None
        now_s = self._clock.now()
        # The front doesn't know which targets the fronts of other regions
        # use.
        in_region = [item for item in usable if self._is_in_region(item)]
        idle = [
            item for item in in_region if now_s - item.last_used_s > IN_USE_S
        ]
        floor = self._bounds.floor_share + FLOOR_MARGIN
        if len(in_region) - len(idle) >= floor * len(in_region):
            return None
        idle = [
            item
            for item in idle
            if item.failure_probability(now_s) < MAX_TRIAL_FAILURE_PROBABILITY
            and item.load.in_flight(now_s) < item.record.slots
        ]
        return min(
            idle,
            key=lambda item: item.failure_probability(now_s)
            + _TIE_LOSS * self._rng.random(),
            default=None,
        )

    def _is_in_region(self, target: targets.Target) -> bool:
        zone = target.record.availability_zone
        return self._regions.get(zone) == self._regions.get(self._zone)

    def _recent_loss(self, target: targets.Target) -> float:
        idle_s = self._clock.now() - target.last_used_s
        return RECENT_LOSS * max(0.0, 1.0 - idle_s / RECENT_S)

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
        now_s = self._clock.now()
        failure_loss = RETRYABLE_FAILURE_LOSS if is_retryable else 1.0
        loss = target.failure_probability(now_s) * failure_loss
        loss += target.declines.share(now_s) * DECLINED_LOSS
        loss += self._distance_loss(target.record.availability_zone)
        if target.health.is_untried and not target.load.in_flight(now_s):
            loss -= UNTRIED_GAIN
        return loss + self._delay_loss(target, now_s, objective_s)

    def _delay_loss(
        self,
        target: targets.Target,
        now_s: float,
        objective_s: float,
    ) -> float:
        slots = float(target.record.slots)
        if target.is_cold(now_s):
            slots = max(1.0, slots * COLD_SLOT_SHARE)
        load = target.load.in_flight(now_s)
        if load < slots:
            return BUSY_LOSS * load / slots
        usual_s = self._times.usual_s(target.record.service)
        wait_s = (load - slots + 1.0) / slots * usual_s
        return BUSY_LOSS + wait_s / objective_s

    def _distance_loss(self, zone: str) -> float:
        if zone == self._zone:
            return 0.0
        if self._regions.get(zone) == self._regions.get(self._zone):
            return OTHER_ZONE_LOSS
        return OTHER_REGION_LOSS
