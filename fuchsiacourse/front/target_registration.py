"""Registration of a target with the platform."""

from __future__ import annotations


class TargetRegistration:
    """Registration of a target.

    Args:
        id: Id of the target.
        service: Name of its service.
        address: IP address and port.
        availability_zone: Its availability zone.
        slots: Number of requests that it can run at the same time.
        is_draining: Whether it is leaving and takes no new requests.
        remaining_cold_s: Time for which it remains slow after its start, as of
            the registration, in seconds.
        started_ms: Unix time of its start in milliseconds. Together with the
            id it identifies the incarnation.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "availability_zone",
        "slots",
        "is_draining",
        "remaining_cold_s",
        "started_ms",
    )

    def __init__(
        self,
        *,
        id: str,
        service: str,
        address: tuple[str, int],
        availability_zone: str,
        slots: int,
        is_draining: bool,
        remaining_cold_s: float,
        started_ms: int,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.remaining_cold_s = remaining_cold_s
        self.started_ms = started_ms
