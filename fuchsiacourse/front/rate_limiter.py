"""Decides whether a target that states a rate limit may get a request now.

Covers targets in need that state how many requests per second they take from
all fronts together, most of all in a burst in which other targets fail. The
fronts of a region count each other's starts, so that one of them alone can
use what the region has. Regions don't report their starts to each other; each
has a fixed share of the limit.
"""

from __future__ import annotations

import collections.abc
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import target as targets

# Share of a limit that the region of the target has; requests rarely leave
# their region. The other regions divide the rest.
HOME_SHARE = 0.75
# Longest time for which a target that asks for it gets nothing, in seconds. No
# incarnation lives longer than a day.
MAX_HOLD_S = 86_400.0


class RateLimiter:
    """Spaces the starts at targets with a limit over the fronts of a region.

    Args:
        clock: Source of time.
        availability_zone: Zone of the front.
        regions_by_zone: Region of each availability zone.
        live_share: Returns the share of the region's fronts, 0 to 1, that
            are in contact. Fronts that are partitioned from each other don't
            count each other's starts and use only their own part.
    """

    __slots__ = (
        "_clock",
        "_region",
        "_regions_by_zone",
        "_other_share",
        "_live_share",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        availability_zone: str,
        regions_by_zone: dict[str, str],
        live_share: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._region = regions_by_zone.get(availability_zone)
        self._regions_by_zone = regions_by_zone
        others = len(set(regions_by_zone.values())) - 1
        self._other_share = (1.0 - HOME_SHARE) / others if others > 0 else 0.0
        self._live_share = live_share

    def permits(self, target: targets.Target) -> bool:
        """Returns whether a request may be sent to a target now."""
        return not self._wait_s(target, self._clock.now())

    def hold(self, target: targets.Target, for_s: float) -> None:
        """Keeps all requests of this front from a target for a time.

        Args:
            target: Target that has asked for it.
            for_s: Time in seconds; a shorter one than before doesn't count.
        """
        until_s = self._clock.now() + min(for_s, MAX_HOLD_S)
        target.held_until_s = max(target.held_until_s, until_s)

    def record_start(self, target: targets.Target) -> None:
        """Counts a start at a target, of this front or of one in contact."""
        if target.limit.is_stated:
            target.limit.record_start(
                self._clock.now(), share=self._share(target)
            )

    def record_limit(
        self, target: targets.Target, rate_per_s: float, *, took_s: float
    ) -> bool:
        """Adopts the limit that an answer states; returns whether it changed.

        A target that has just begun to state a limit gets no request for the
        time of one: it has had more than it wants.

        Args:
            target: Target that answered.
            rate_per_s: Limit in requests per second, target_limit.UNLIMITED
                if the answer states none.
            took_s: Time from the request to the answer, in seconds.
        """
        limit = target.limit
        was_stated = limit.is_stated
        now_s = self._clock.now()
        has_changed = limit.observe(rate_per_s, now_s, took_s=took_s)
        if has_changed and not was_stated:
            limit.opens_at_s = now_s
            self.record_start(target)
        return has_changed

    def wait_s(
        self, found: collections.abc.Iterable[targets.Target]
    ) -> float | None:
        """Returns when the first of some targets may get a request.

        Args:
            found: Targets of a service.

        Returns:
            The time until then in seconds, 0 if one may get it now, None if
            none is usable.
        """
        now_s = self._clock.now()
        return min(
            (self._wait_s(item, now_s) for item in found if item.is_usable),
            default=None,
        )

    def rate_per_s(
        self, found: collections.abc.Iterable[targets.Target]
    ) -> float:
        """Returns what the fronts in contact may send to some targets.

        Args:
            found: Targets of a service.

        Returns:
            Requests per second, target_limit.UNLIMITED if one of the targets
            states no limit.
        """
        return sum(
            item.limit.rate_per_s * self._share(item)
            for item in found
            if item.is_usable
        )

    @staticmethod
    def _wait_s(target: targets.Target, now_s: float) -> float:
        opens_at_s = target.held_until_s
        if target.limit.is_stated:
            opens_at_s = max(opens_at_s, target.limit.opens_at_s)
        return max(0.0, opens_at_s - now_s)

    def _share(self, target: targets.Target) -> float:
        zone = target.record.availability_zone
        is_home = self._regions_by_zone.get(zone) == self._region
        if not self._other_share:
            region_share = 1.0
        else:
            region_share = HOME_SHARE if is_home else self._other_share
        return region_share * self._live_share()
