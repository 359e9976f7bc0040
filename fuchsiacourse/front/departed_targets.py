"""Decides whether a registration that an older copy brings back is believed.

Covers a store that comes back from a copy some seconds old, in which targets
that have left since are registered as before. The store removes the
registrations of silent targets by itself, so one that outlives that time
belongs to a target that lives.
"""

from __future__ import annotations

import collections

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_registration

# Time for which departed targets are remembered, in seconds. The copies of the
# store are some seconds old.
MEMORY_S = 60.0
# Time from the removal of a registration until each front knows of it, in
# seconds; the fronts gather changes for 0.8 s.
NEWS_S = 2.0


class _Departure:
    """Departure of one incarnation of a target.

    Args:
        at_s: Monotonic time in seconds.
        was_leaving: Whether the target had said that it leaves.
    """

    __slots__ = ("at_s", "was_leaving")

    def __init__(self, *, at_s: float, was_leaving: bool) -> None:
        self.at_s = at_s
        self.was_leaving = was_leaving


class DepartedTargets:
    """Remembers the targets whose registrations were removed lately.

    Args:
        clock: Source of time.
        lifetime_s: Time after which the store removes the registration of a
            silent target, in seconds.
    """

    __slots__ = ("_clock", "_lifetime_s", "_departures_by_key")

    def __init__(self, *, clock: clocks.Clock, lifetime_s: float) -> None:
        self._clock = clock
        self._lifetime_s = lifetime_s
        # In the order of the departures.
        self._departures_by_key: collections.OrderedDict[int, _Departure] = (
            collections.OrderedDict()
        )

    def add(self, target: targets.Target) -> None:
        """Records that the registration of a target was removed."""
        now_s = self._clock.now()
        self._departures_by_key.pop(target.key, None)
        self._departures_by_key[target.key] = _Departure(
            at_s=now_s,
            was_leaving=target.record.is_draining or target.is_leaving,
        )
        while self._departures_by_key:
            key, oldest = next(iter(self._departures_by_key.items()))
            if now_s - oldest.at_s <= MEMORY_S:
                break
            del self._departures_by_key[key]

    def hold_s(
        self, record: target_registration.TargetRegistration
    ) -> float | None:
        """Returns how long a registration of an older copy is not used.

        Args:
            record: The registration.

        Returns:
            The time in seconds, infinite for a target that had said that it
            leaves; None if the registration may be used at once.
        """
        key = targets.key_of(record.id, record.started_ms)
        departure = self._departures_by_key.get(key)
        if departure is None or self._clock.now() - departure.at_s > MEMORY_S:
            return None
        if departure.was_leaving:
            return float("inf")
        return self._lifetime_s + NEWS_S
