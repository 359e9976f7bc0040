"""Estimates a target's load from the fronts' counts and its reports."""

from __future__ import annotations

# Time after which the count of a silent front is dropped, in seconds; a
# front that has crashed never reports the end of its requests.
COUNT_LIFETIME_S = 3.0
# Time in which the load of fronts out of contact, as reported by the target,
# fades linearly to 0, in seconds.
REPORT_FADE_S = 1.0
# Key of this front's own count.
OWN = ""


class TargetLoad:
    """Counts the requests in flight at one target.

    It adds up the counts of the fronts in contact, and the excess of the
    target's own report over them, which belongs to fronts out of contact.
    """

    __slots__ = ("_counts_by_front", "_unaccounted", "_reported_at_s")

    def __init__(self) -> None:
        self._counts_by_front: dict[str, tuple[int, float]] = {}
        self._unaccounted = 0.0
        self._reported_at_s = 0.0

    @property
    def own(self) -> int:
        """Number of requests that this front has in flight."""
        return self._counts_by_front.get(OWN, (0, 0.0))[0]

    def change(self, delta: int, now_s: float) -> None:
        """Adds ``delta`` to this front's own count."""
        self.set_count(OWN, max(0, self.own + delta), now_s)

    def set_count(self, front: str, count: int, now_s: float) -> None:
        """Sets how many requests a front has in flight."""
        if count:
            self._counts_by_front[front] = count, now_s
        else:
            self._counts_by_front.pop(front, None)

    def report(self, in_flight: int, now_s: float) -> None:
        """Records the load that the target reports, with queued requests."""
        self._unaccounted = max(0.0, in_flight - self._counted(now_s))
        self._reported_at_s = now_s

    def in_flight(self, now_s: float) -> float:
        """Returns the estimated number of requests at the target."""
        age_s = max(0.0, now_s - self._reported_at_s)
        share = max(0.0, 1.0 - age_s / REPORT_FADE_S)
        return self._counted(now_s) + self._unaccounted * share

    def _counted(self, now_s: float) -> int:
        total = 0
        for front, (count, at_s) in list(self._counts_by_front.items()):
            if front != OWN and now_s - at_s > COUNT_LIFETIME_S:
                del self._counts_by_front[front]
                continue
            total += count
        return total
