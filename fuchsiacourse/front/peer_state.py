"""Another front as this one knows it."""

from __future__ import annotations

from fuchsiacourse.front import store_view


class PeerState:
    """State of another front.

    Args:
        ip: IP number of its host.
        zone: Index of its availability zone.
    """

    __slots__ = (
        "ip",
        "zone",
        "incarnation",
        "config_version",
        "store_contact_s",
        "is_ready",
        "is_leaving",
        "last_packet_s",
        "discovered_s",
        "view",
    )

    def __init__(self, *, ip: str, zone: int, discovered_s: float) -> None:
        self.ip = ip
        self.zone = zone
        self.incarnation = 0
        self.config_version = 0
        # Time since which it reached the store at its last packet.
        self.store_contact_s = 0.0
        self.is_ready = False
        self.is_leaving = False
        # Monotonic time of its last packet and of the first word of it.
        self.last_packet_s = float("-inf")
        self.discovered_s = discovered_s
        # Its contact with the store, None until it is told.
        self.view: store_view.StoreView | None = None
