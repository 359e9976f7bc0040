"""State that a front keeps of one target."""

from __future__ import annotations

import hashlib

from fuchsiacourse.front import decline_rate
from fuchsiacourse.front import health_estimate
from fuchsiacourse.front import target_limit
from fuchsiacourse.front import target_load
from fuchsiacourse.front import target_registration

_KEY_BYTES = 8


class Target:
    """Registration, health and load of one incarnation of a target.

    ``health`` estimates the target's health from the outcomes at all fronts
    in contact. ``path_health`` estimates the health of the network path to the
    target from this front's own outcomes.

    Args:
        record: Registration of the target.
        now_s: Monotonic time in seconds.
    """

    __slots__ = (
        "record",
        "key",
        "health",
        "path_health",
        "declines",
        "load",
        "limit",
        "cold_until_s",
        "is_misdirected",
        "is_leaving",
        "held_until_s",
        "last_used_s",
    )

    def __init__(
        self,
        *,
        record: target_registration.TargetRegistration,
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
        self.limit = target_limit.TargetLimit()
        self.cold_until_s = now_s + record.remaining_cold_s
        # Whether another target has answered at the registered address.
        self.is_misdirected = False
        # Whether the target has told this front that it leaves.
        self.is_leaving = False
        # Monotonic time until which the target wants nothing from this front.
        self.held_until_s = float("-inf")
        # Monotonic time of the last attempt of this front or of a front in
        # contact, in seconds.
        self.last_used_s = float("-inf")

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to the target."""
        return not (
            self.record.is_draining or self.is_misdirected or self.is_leaving
        )

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the target is still slow after its start."""
        return now_s < self.cold_until_s

    def failure_probability(self, now_s: float) -> float:
        """Returns the probability that a request fails, 0 to 1.

        It combines the health of the target and of the path to it.
        """
        target_healthy = 1.0 - self.health.probability(now_s)
        path_healthy = 1.0 - self.path_health.probability(now_s)
        return 1.0 - target_healthy * path_healthy

    def update(
        self, record: target_registration.TargetRegistration, now_s: float
    ) -> None:
        """Adopts a newer registration of the same incarnation."""
        if record.address != self.record.address:
            self.is_misdirected = False
        self.record = record
        self.cold_until_s = now_s + record.remaining_cold_s


def key_of(id: str, started_ms: int) -> int:
    """Returns the key by which fronts identify an incarnation of a target.

    Args:
        id: Id of the target.
        started_ms: Unix time of its start in milliseconds.
    """
    text = f"{id}/{started_ms}".encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "little")
