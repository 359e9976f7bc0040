"""A target as this front knows it."""

from __future__ import annotations

import hashlib

from fuchsiacourse.front import decline_rate
from fuchsiacourse.front import health_estimate
from fuchsiacourse.front import target_load
from fuchsiacourse.front import target_record

_KEY_BYTES = 8


class Target:
    """Registration, health and load of one incarnation of a target.

    ``health`` follows the outcomes at all fronts that are heard. ``reach``
    follows what this front alone sees of its path to the target.

    Args:
        record: Registration.
        now_s: Monotonic time in seconds.
    """

    __slots__ = (
        "record",
        "key",
        "health",
        "path_health",
        "declines",
        "load",
        "cold_until_s",
        "is_misplaced",
        "last_used_s",
    )

    def __init__(
        self,
        *,
        record: target_record.TargetRecord,
        now_s: float,
    ) -> None:
        self.record = record
        self.key = key_of(record.id, record.started_ms)
        self.health = health_estimate.HealthEstimate(now_s=now_s)
        self.path_health = health_estimate.HealthEstimate(
            now_s=now_s,
            probability=health_estimate.PATH_FAILURE_SHARE,
            share=health_estimate.PATH_FAILURE_SHARE,
            decay_s=health_estimate.PATH_DECAY_S,
        )
        self.declines = decline_rate.DeclineRate()
        self.load = target_load.TargetLoad()
        self.cold_until_s = now_s + record.cold_s
        # Whether another target has answered at the address.
        self.is_misplaced = False
        # Monotonic time of the last sending of any front that is heard.
        self.last_used_s = float("-inf")

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to the target."""
        return not (self.record.is_draining or self.is_misplaced)

    def is_cold(self, now_s: float) -> bool:
        """Whether the target is still slow after its start."""
        return now_s < self.cold_until_s

    def sickness(self, now_s: float) -> float:
        """Returns the probability that a request fails here, 0 to 1."""
        is_well = 1.0 - self.health.probability(now_s)
        is_reached = 1.0 - self.path_health.probability(now_s)
        return 1.0 - is_well * is_reached

    def update(self, record: target_record.TargetRecord, now_s: float) -> None:
        """Takes over a newer registration of the same incarnation."""
        if record.address != self.record.address:
            self.is_misplaced = False
        self.record = record
        self.cold_until_s = now_s + record.cold_s


def key_of(id: str, started_ms: int) -> int:
    """Returns the number that names an incarnation between fronts."""
    text = f"{id}/{started_ms}".encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "little")
