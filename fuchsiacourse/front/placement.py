"""Chooses the target of a request.

Load answered here: ordinary load with some targets sick, and peaks at which
the well ones are full. The target with the lowest expected loss wins. A queue
that would make answers late costs as much as a failure, so that a peak makes
some requests fail at suspect targets rather than all of them late.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets

# The losses are parts of the loss of a request that fails. Sending a request
# and its answer out of the own zone or region costs the operator bytes.
OTHER_ZONE_LOSS = 0.04
OTHER_REGION_LOSS = 0.35
# Loss at a target whose slots are nearly all taken; some slow down there.
BUSY_LOSS = 0.05
# A request that can be repeated loses only time at a sick target, and shows
# whether the target is well again.
REPEATABLE_SICK_LOSS = 0.5
# Loss of a request that is declined: it is sent again, from a budget.
DECLINED_LOSS = 0.3
# Part of the slots that a target offers while it is cold.
COLD_SLOT_SHARE = 0.5
# Gain of a first request at a target that has joined: the fronts learn
# whether its room can be used before they need it.
UNTRIED_GAIN = 0.08
# Among targets that are equally good, the one that was used the longest ago
# wins: all stay in use, and what is known of them is equally fresh.
RECENT_LOSS = 0.015
RECENT_S = 2.0
# A target counts as in use for this time after a request, in seconds; the
# operator's floor is counted over two.
IN_USE_S = 1.7
# Part of the targets kept in use beyond the floor, because some that are in
# use now leave or are cut off before they get the next request.
FLOOR_MARGIN = 0.1
# Share of the requests that may go to an idle target for the floor's sake.
TRIAL_SHARE = 0.2
# A target that is more likely sick than this is not tried; the estimate of
# one that failed is below it some six seconds later.
TRIAL_SICKNESS = 0.6
# Fronts that choose at the same moment choose different targets.
_TIE_LOSS = 0.004


class Placement:
    """Placement of requests for one front.

    Args:
        clock: Source of time.
        rng: Source of randomness.
        availability_zone: Zone of the front.
        regions_by_zone: Region of each availability zone.
        times: Usual times of the services.
        bounds: Promises to the operator, the floor among them.
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
        """Returns the best target, None if there is none to use.

        Args:
            candidates: Targets of the service.
            objective_s: Time within which an answer is worth most.
            is_repeatable: Whether a failure can be made good.
            avoid: Targets that are used only if there are no others.
        """
        usable = [item for item in candidates if item.is_usable]
        others = [item for item in usable if item not in avoid]
        if is_retryable and not avoid:
            trial = self._trial(usable)
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

    def _trial(self, usable: list[targets.Target]) -> targets.Target | None:
        """Returns an idle target to try while too few are in use.

        Load answered here: a light one, which a few targets serve while
        those that were suspected once get nothing and stay suspected.
        """
        if self._rng.random() >= TRIAL_SHARE:
            return None
        now_s = self._clock.now()
        # What the fronts of other regions use is not known here.
        near = [item for item in usable if self._is_in_region(item)]
        idle = [item for item in near if now_s - item.last_used_s > IN_USE_S]
        floor = self._bounds.floor_share + FLOOR_MARGIN
        if len(near) - len(idle) >= floor * len(near):
            return None
        idle = [
            item
            for item in idle
            if item.sickness(now_s) < TRIAL_SICKNESS
            and item.load.in_flight(now_s) < item.record.slots
        ]
        return min(
            idle,
            key=lambda item: item.sickness(now_s)
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
        """Returns the expected loss of sending a request to a target."""
        now_s = self._clock.now()
        sick_loss = REPEATABLE_SICK_LOSS if is_retryable else 1.0
        loss = target.sickness(now_s) * sick_loss
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
