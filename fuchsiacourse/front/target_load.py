"""Load of a target, from the fronts' own requests and its reports."""

from __future__ import annotations

# Time after which a count of a front that sends no news is dropped, in
# seconds; a front that has died finishes nothing.
COUNT_LIFETIME_S = 3.0
# Time in which the load of fronts that are not heard loses all but 1/e.
REPORT_MEMORY_S = 1.0
OWN = ""


class TargetLoad:
    """Requests in flight at one target by the front that sent them."""

    __slots__ = ("_counts_by_front", "_unheard", "_unheard_at_s")

    def __init__(self) -> None:
        self._counts_by_front: dict[str, tuple[int, float]] = {}
        self._unheard = 0.0
        self._unheard_at_s = 0.0

    @property
    def own(self) -> int:
        """Requests that this front has in flight."""
        return self._counts_by_front.get(OWN, (0, 0.0))[0]

    def change(self, delta: int, now_s: float) -> None:
        """Adds to this front's own requests."""
        count = max(0, self.own + delta)
        self._counts_by_front[OWN] = count, now_s

    def set_count(self, front: str, count: int, now_s: float) -> None:
        """Notes how many requests another front has in flight."""
        self._counts_by_front[front] = count, now_s

    def report(self, in_flight: int, now_s: float) -> None:
        """Notes what the target itself counts, waiting requests too."""
        self._unheard = max(0.0, in_flight - self._known(now_s))
        self._unheard_at_s = now_s

    def in_flight(self, now_s: float) -> float:
        """Returns the requests that the target is believed to have."""
        age_s = max(0.0, now_s - self._unheard_at_s)
        share = max(0.0, 1.0 - age_s / REPORT_MEMORY_S)
        return self._known(now_s) + self._unheard * share

    def _known(self, now_s: float) -> int:
        total = 0
        for front, (count, at_s) in list(self._counts_by_front.items()):
            if front != OWN and now_s - at_s > COUNT_LIFETIME_S:
                del self._counts_by_front[front]
                continue
            total += count
        return total
