"""Detects crashes of targets from lost connections."""

from __future__ import annotations

from fuchsiacourse import target_row

# Connections lost within this time, in seconds, count as lost together.
SIMULTANEOUS_S = 0.1
# A target that is unreachable within this time after a lost connection, in
# seconds, has crashed.
CONFIRMATION_S = 5.0
# Seconds for which a failed connection marks a target as unreachable.
UNREACHABLE_S = 2.0


class Crash:
    """Describes a crash of a target.

    Args:
        target_id: Identifier of the target.
        fingerprints: Fingerprints of the requests that were in flight.
    """

    __slots__ = ("target_id", "fingerprints")

    def __init__(self, *, target_id: str, fingerprints: list[str]) -> None:
        self.target_id = target_id
        self.fingerprints = fingerprints


class CrashDetector:
    """Detects crashes of the targets of a shard.

    A target has crashed if the connections of several requests are lost
    together, or if it is unreachable or has restarted shortly after one
    connection was lost.
    """

    def __init__(self) -> None:
        # Time and fingerprint of each lost connection.
        self._lost_by_target: dict[str, list[tuple[float, str]]] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self._crashes: list[Crash] = []

    def record_failure(
        self,
        target_id: str,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
    ) -> None:
        """Records an attempt whose connection was refused or lost.

        Args:
            target_id: Target of the attempt.
            attempt: The attempt.
            outcome: UNREACHABLE or CONNECTION_LOST.
            now: Monotonic time in seconds.
        """
        self._failed_at_by_target[target_id] = now
        if outcome is target_row.Outcome.UNREACHABLE:
            self.record_unreachable(target_id, now)
            return
        lost = self._lost_by_target.setdefault(target_id, [])
        lost[:] = [item for item in lost if now - item[0] <= CONFIRMATION_S]
        lost.append((now, attempt.fingerprint))
        simultaneous = [
            item for item in lost if now - item[0] <= SIMULTANEOUS_S
        ]
        if len(simultaneous) > 1:
            self._crashed(target_id)

    def record_unreachable(self, target_id: str, now: float) -> None:
        """Records that a target was unreachable or has restarted."""
        lost = self._lost_by_target.get(target_id, [])
        if any(now - item[0] <= CONFIRMATION_S for item in lost):
            self._crashed(target_id)

    def is_unreachable(self, target_id: str, now: float) -> bool:
        """Returns whether a connection failed in the last UNREACHABLE_S."""
        at = self._failed_at_by_target.get(target_id)
        return at is not None and now - at <= UNREACHABLE_S

    def pop_crashes(self) -> list[Crash]:
        """Returns and clears the crashes detected since the last call."""
        crashes = self._crashes
        self._crashes = []
        return crashes

    def _crashed(self, target_id: str) -> None:
        lost = self._lost_by_target.pop(target_id)
        self._crashes.append(
            Crash(
                target_id=target_id,
                fingerprints=sorted({item[1] for item in lost}),
            )
        )
