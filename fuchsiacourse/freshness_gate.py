"""What must be known of targets before work is sent to them."""

from __future__ import annotations

from fuchsiacourse import target_row

# A target that can't be asked within this time is used unasked, because it
# may be the only one.
_LIMIT_S = 0.5


class FreshnessGate:
    """Holds work back until the news of a shard's targets are in.

    A process that has just taken a shard over, or was paused, does not know
    which targets have begun to leave in the meantime. It first waits for
    the host list and for a probe or an answer of each target that it uses.
    """

    def __init__(self) -> None:
        self._since_s = 0.0
        self._is_open = True
        self._has_hosts = True
        self._heard_ids: set[str] = set()

    @property
    def since_s(self) -> float:
        """Time of the last start."""
        return self._since_s

    def close(self, now: float) -> None:
        """Starts anew: nothing that was known before counts."""
        self._since_s = now
        self._is_open = False
        self._has_hosts = False
        self._heard_ids.clear()

    def record_host_list(self, asked_s: float) -> None:
        """Notes an answer of the platform, or its failure.

        Args:
            asked_s: Time at which the platform was asked.
        """
        self._has_hosts = self._has_hosts or asked_s >= self._since_s

    def record_contact(self, target_id: str, asked_s: float) -> None:
        """Notes a report or an answer of a target.

        Args:
            target_id: The target.
            asked_s: Time at which it was asked.
        """
        if not self._is_open and asked_s >= self._since_s:
            self._heard_ids.add(target_id)

    def allows(self, target: target_row.TargetRow, now: float) -> bool:
        """Whether work may be sent to a target."""
        if self._is_open:
            return True
        if now - self._since_s >= _LIMIT_S:
            self._is_open = True
            return True
        return self._has_hosts and target.id in self._heard_ids
