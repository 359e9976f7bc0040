"""Backs off from targets that shed requests or can't be reached."""

from __future__ import annotations

from fuchsiacourse import target_row

# Seconds of the first back-off; it doubles for repeated failures up to
# _MAX_BACKOFF_S.
_SHED_BACKOFF_S = 0.25
_UNREACHABLE_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0


class _Backoff:
    __slots__ = ("limit", "until_s", "backoff_s")

    def __init__(
        self, *, limit: int, until_s: float, backoff_s: float
    ) -> None:
        # Attempts that the target may run during the back-off.
        self.limit = limit
        self.until_s = until_s
        self.backoff_s = backoff_s


class TargetBackoff:
    """Limits for a short time how many attempts a target may run."""

    def __init__(self) -> None:
        self._backoffs_by_target: dict[str, _Backoff] = {}

    def allows(self, target: target_row.TargetRow, now: float) -> bool:
        """Returns whether a target may get one more request."""
        backoff = self._backoffs_by_target.get(target.id)
        if backoff is None or backoff.until_s <= now:
            return True
        return target.in_flight < backoff.limit

    def record_outcome(
        self,
        target: target_row.TargetRow,
        outcome: target_row.Outcome,
        now: float,
    ) -> None:
        """Records how an attempt ended.

        A target that sheds is limited to the attempts that it is running,
        but at least to one, so that its recovery is detected. A target that
        can't be reached gets no attempts.

        Args:
            target: Target of the attempt.
            outcome: How the attempt ended.
            now: Monotonic time in seconds.
        """
        if outcome is target_row.Outcome.SHED:
            limit = max(1, target.in_flight)
            self._back_off(target, limit, _SHED_BACKOFF_S, now)
        elif outcome is target_row.Outcome.UNREACHABLE:
            self._back_off(target, 0, _UNREACHABLE_BACKOFF_S, now)
        elif outcome is target_row.Outcome.OK:
            backoff = self._backoffs_by_target.get(target.id)
            if backoff is not None and backoff.limit == 0:
                del self._backoffs_by_target[target.id]

    def keep_only(self, target_ids: set[str]) -> None:
        """Removes the back-offs of targets that are no longer configured."""
        for target_id in set(self._backoffs_by_target) - target_ids:
            del self._backoffs_by_target[target_id]

    def _back_off(
        self,
        target: target_row.TargetRow,
        limit: int,
        first_backoff_s: float,
        now: float,
    ) -> None:
        previous = self._backoffs_by_target.get(target.id)
        backoff_s = first_backoff_s
        if previous is not None and previous.until_s > now:
            # Several failures within one back-off count once.
            backoff_s = previous.backoff_s
        elif previous is not None and previous.until_s > now - backoff_s:
            backoff_s = min(_MAX_BACKOFF_S, 2.0 * previous.backoff_s)
        self._backoffs_by_target[target.id] = _Backoff(
            limit=limit, until_s=now + backoff_s, backoff_s=backoff_s
        )
