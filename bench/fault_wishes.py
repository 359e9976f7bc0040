"""Checks that fronts obey what targets say of themselves in answers."""

from __future__ import annotations

# Time after which a front counts as told by an answer, in seconds, and the
# requests that it may have sent before.
TOLD_S = 0.5
EXTRA = 2
# Time after which a target that leaves must get nothing new from a front that
# it has told, in seconds, and time for which a request may wait at a front or
# on a link.
DRAIN_S = 2.0
ON_THE_WAY_S = 2.0


class WishCheck:
    """Counts the arrivals at one target from the fronts that it has told.

    Args:
        hold_s: Time for which the target wants nothing from a front that it
            has turned away, in seconds; None if it leaves.
    """

    __slots__ = ("hold_s", "_told_s_by_front", "_count_by_front")

    def __init__(self, *, hold_s: float | None) -> None:
        self.hold_s = hold_s
        self._told_s_by_front: dict[str, float] = {}
        self._count_by_front: dict[str, int] = {}

    @property
    def header(self) -> bytes:
        """Header line that the target adds to its answers."""
        if self.hold_s is None:
            return b"Server-Leaving: 1"
        return b"Retry-After: %.2f" % self.hold_s

    def record_answer(self, front: str, now_s: float) -> None:
        """Records an answer with the wish that a front gets."""
        if self.hold_s is None:
            self._told_s_by_front.setdefault(front, now_s)
            return
        self._told_s_by_front[front] = now_s
        self._count_by_front[front] = 0

    def forget(self, front: str) -> None:
        """Records that a front has started anew and knows nothing."""
        self._told_s_by_front.pop(front, None)

    def record_arrival(self, front: str, now_s: float) -> str:
        """Records an arrival.

        Args:
            front: IP address of the front that sent it.
            now_s: Monotonic time in seconds.

        Returns:
            What the front has done wrong, empty for nothing.
        """
        told_s = self._told_s_by_front.get(front)
        if told_s is None:
            return ""
        age_s = now_s - told_s
        if self.hold_s is None:
            if age_s <= DRAIN_S + ON_THE_WAY_S:
                return ""
            return f"DRAIN: {age_s:.2f} s after {front} was told"
        if not TOLD_S <= age_s < self.hold_s:
            return ""
        self._count_by_front[front] += 1
        if self._count_by_front[front] <= EXTRA:
            return ""
        return (
            f"BUDGET: request {self._count_by_front[front]} of {front}, which"
            f" was told to wait {self.hold_s:.2f} s {age_s:.2f} s ago"
        )
