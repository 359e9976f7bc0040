"""Holds requests back until the state of their targets is up to date."""

from __future__ import annotations

from fuchsiacourse import target_row

# Seconds after which a target is used although it has not answered, because
# it may be the only one.
_MAX_HOLD_S = 0.5


class FreshnessGate:
    """Holds requests back until the state of a shard's targets is known.

    A process that has just become the owner of a shard, or was paused, does
    not know which targets have begun to leave in the meantime. It first
    waits for the host list, and for a probe report or an answer of each
    target that it uses.
    """

    def __init__(self) -> None:
        self._since_s = 0.0
        self._is_open = True
        self._has_hosts = True
        self._contacted_ids: set[str] = set()

    @property
    def since_s(self) -> float:
        """Monotonic time in seconds at which the gate was closed last."""
        return self._since_s

    def close(self, now: float) -> None:
        """Closes the gate: earlier answers and reports no longer count.

        Args:
            now: Monotonic time in seconds.
        """
        self._since_s = now
        self._is_open = False
        self._has_hosts = False
        self._contacted_ids.clear()

    def record_host_list(self, started_s: float) -> None:
        """Records that the host list was read, or that its read failed.

        Args:
            started_s: Monotonic time in seconds at which the read started.
        """
        self._has_hosts = self._has_hosts or started_s >= self._since_s

    def record_contact(self, target_id: str, started_s: float) -> None:
        """Records a probe report or an answer of a target.

        Args:
            target_id: Identifier of the target.
            started_s: Monotonic time in seconds at which the probe or the
                attempt started.
        """
        if not self._is_open and started_s >= self._since_s:
            self._contacted_ids.add(target_id)

    def allows(self, target: target_row.TargetRow, now: float) -> bool:
        """Returns whether a target may get requests."""
        if self._is_open:
            return True
        if now - self._since_s >= _MAX_HOLD_S:
            self._is_open = True
            return True
        return self._has_hosts and target.id in self._contacted_ids
