"""Check that targets that leave get no new work."""

from __future__ import annotations

from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import target_row

# Seconds after the first news within which the last work may start.
LEAVING_BOUND_S = 3.0


class LeavingTargets:
    """Remembers since when targets are known to leave.

    It keeps its own record for each target's incarnation, so that the
    check does not depend on the flag that detection keeps.

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
        """Notes what a source says of a target.

        Args:
            target: The target.
            now: Monotonic time in seconds.
            is_leaving: Whether the source says that it leaves.
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
            # The incarnation that leaves was not known yet.
            self._since_by_id[target.id] = (known[0], target.incarnation)

    def check_send(self, target: target_row.TargetRow, now: float) -> None:
        """Checks that a request may be sent to a target."""
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
        """Forgets targets that are no longer configured."""
        for target_id in set(self._since_by_id) - set(targets_by_id):
            del self._since_by_id[target_id]
