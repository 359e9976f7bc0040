"""Limits on what is offered to targets that shed or refuse requests."""

from __future__ import annotations

from fuchsiacourse import target_row

_SHED_PAUSE_S = 0.25
_UNREACHABLE_PAUSE_S = 0.25
_MAX_PAUSE_S = 4.0


class _Offer:
    __slots__ = ("limit", "until_s", "pause_s")

    def __init__(self, *, limit: int, until_s: float, pause_s: float) -> None:
        self.limit = limit
        self.until_s = until_s
        self.pause_s = pause_s


class TargetBackoff:
    """Lowers for a short time how many requests a target is offered."""

    def __init__(self) -> None:
        self._offers_by_target: dict[str, _Offer] = {}

    def allows(self, target: target_row.TargetRow, now: float) -> bool:
        """Whether a target may be offered one more request."""
        offer = self._offers_by_target.get(target.id)
        if offer is None or offer.until_s <= now:
            return True
        return target.in_flight < offer.limit

    def record_outcome(
        self,
        target: target_row.TargetRow,
        outcome: target_row.Outcome,
        now: float,
    ) -> None:
        """Notes how an attempt ended.

        A target that sheds is offered what it still runs, and at least one
        request, so that its recovery is seen. One that can't be reached is
        offered nothing.
        """
        if outcome is target_row.Outcome.SHED:
            limit = max(1, target.in_flight)
            self._reduce(target, limit, _SHED_PAUSE_S, now)
        elif outcome is target_row.Outcome.UNREACHABLE:
            self._reduce(target, 0, _UNREACHABLE_PAUSE_S, now)
        elif outcome is target_row.Outcome.OK:
            offer = self._offers_by_target.get(target.id)
            if offer is not None and offer.limit == 0:
                del self._offers_by_target[target.id]

    def keep_only(self, target_ids: set[str]) -> None:
        """Forgets targets that are no longer configured."""
        for target_id in set(self._offers_by_target) - target_ids:
            del self._offers_by_target[target_id]

    def _reduce(
        self,
        target: target_row.TargetRow,
        limit: int,
        first_pause_s: float,
        now: float,
    ) -> None:
        previous = self._offers_by_target.get(target.id)
        pause_s = first_pause_s
        if previous is not None and previous.until_s > now:
            # Several failures of one moment count once.
            pause_s = previous.pause_s
        elif previous is not None and previous.until_s > now - pause_s:
            pause_s = min(_MAX_PAUSE_S, 2.0 * previous.pause_s)
        self._offers_by_target[target.id] = _Offer(
            limit=limit, until_s=now + pause_s, pause_s=pause_s
        )
