"""Recognises crashes of targets from lost connections."""

from __future__ import annotations

from fuchsiacourse import target_row

# Connections lost within this time are taken as lost together.
TOGETHER_S = 0.1
# Time in which an unreachable target after a lost connection is a crash.
FOLLOW_S = 5.0
# Time for which a failed connection marks a target as not reached.
UNREACHED_S = 2.0


class Crash:
    """A crash of a target.

    Args:
        target_id: The target.
        fingerprints: Requests that were in flight.
    """

    __slots__ = ("target_id", "fingerprints")

    def __init__(self, *, target_id: str, fingerprints: list[str]) -> None:
        self.target_id = target_id
        self.fingerprints = fingerprints


class CrashDetector:
    """Lost connections of the targets of a shard.

    Several requests whose connections are lost together, or one lost
    connection followed by a target that is unreachable or started anew,
    are a crash.
    """

    def __init__(self) -> None:
        self._lost_by_target: dict[str, list[tuple[float, str]]] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self._crashes: list[Crash] = []

    def failed(
        self,
        target_id: str,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
    ) -> None:
        """Records an attempt with a refused or lost connection."""
        self._failed_at_by_target[target_id] = now
        if outcome is target_row.Outcome.UNREACHABLE:
            self.unreachable(target_id, now)
            return
        lost = self._lost_by_target.setdefault(target_id, [])
        lost[:] = [item for item in lost if now - item[0] <= FOLLOW_S]
        lost.append((now, attempt.fingerprint))
        together = [item for item in lost if now - item[0] <= TOGETHER_S]
        if len(together) > 1:
            self._crashed(target_id)

    def unreachable(self, target_id: str, now: float) -> None:
        """Records that a target was not reached or has started anew."""
        lost = self._lost_by_target.get(target_id, [])
        if any(now - item[0] <= FOLLOW_S for item in lost):
            self._crashed(target_id)

    def is_unreached(self, target_id: str, now: float) -> bool:
        """Tells whether a connection failed a short time ago."""
        at = self._failed_at_by_target.get(target_id)
        return at is not None and now - at <= UNREACHED_S

    def pop_crashes(self) -> list[Crash]:
        """Returns the crashes found since the last call."""
        found = self._crashes
        self._crashes = []
        return found

    def _crashed(self, target_id: str) -> None:
        lost = self._lost_by_target.pop(target_id)
        self._crashes.append(
            Crash(
                target_id=target_id,
                fingerprints=sorted({item[1] for item in lost}),
            )
        )
