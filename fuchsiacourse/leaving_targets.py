"""Checks that leaving targets get no new attempts.

It is apart from the health of the targets, so that the check does not
depend on the state that it guards.
"""

from __future__ import annotations

from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import target_row

# Seconds after the first report of leaving within which the last attempt may
# start.
LEAVING_BOUND_S = 3.0


class LeavingTargets:
    """Records since when each target is known to be leaving.

    It keeps its own record for each incarnation of a target instead of
    reading ``TargetRow.leaving``.

    Args:
        invariants: Receives the checks.
    """

    def __init__(self, *, invariants: invariant_checks.Invariants) -> None:
        self._invariants = invariants
        self._since_by_id: dict[str, tuple[float, str]] = {}

    def record(
        self,
        target: target_row.TargetRow,
        now: float,
        *,
        is_leaving: bool,
    ) -> None:
        """Records whether a target was reported to be leaving.

        Args:
            target: The target.
            now: Monotonic time in seconds.
            is_leaving: Whether the report says that it is leaving.
        """
        known = self._since_by_id.get(target.id)
        if known is not None and known[1] == target.incarnation:
            return
        if is_leaving:
            since_s = now if known is None else known[0]
            self._since_by_id[target.id] = (since_s, target.incarnation)
        elif known is not None and known[1]:
            del self._since_by_id[target.id]
        elif known is not None:
            # The incarnation was unknown when the target began to leave.
            self._since_by_id[target.id] = (known[0], target.incarnation)

    def check_send(self, target: target_row.TargetRow, now: float) -> None:
        """Checks that an attempt may start at a target.

        Args:
            target: The target.
            now: Monotonic time in seconds.
        """
        known = self._since_by_id.get(target.id)
        if known is not None and known[1] not in ("", target.incarnation):
            known = None
        since_s = now if known is None else known[0]
        self._invariants.check(
            invariant_checks.InvariantId.LEAVING,
            now - since_s <= LEAVING_BOUND_S,
            target=target.id,
            known_for_s=now - since_s,
        )

    def keep_only(
        self, targets_by_id: dict[str, target_row.TargetRow]
    ) -> None:
        """Removes the records of targets that are no longer configured."""
        for target_id in set(self._since_by_id) - set(targets_by_id):
            del self._since_by_id[target_id]
