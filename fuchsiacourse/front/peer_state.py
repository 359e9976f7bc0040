"""State of another front, a peer, as its packets report it."""

from __future__ import annotations

from fuchsiacourse.front import store_view


class PeerState:
    """State of a peer.

    Args:
        ip: IP address of its host.
        zone: Index of its availability zone.
        discovered_s: Monotonic time at which this front learned of it, in
            seconds.
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
        "has_bundles",
        "tells_limits",
        "last_bundle_s",
        "sequence",
        "heartbeat",
    )

    def __init__(self, *, ip: str, zone: int, discovered_s: float) -> None:
        self.ip = ip
        self.zone = zone
        self.incarnation = 0
        self.config_version = 0
        # Duration of its contact with the store as of its last packet, in
        # seconds; 0 without contact.
        self.store_contact_s = 0.0
        self.is_ready = False
        self.is_leaving = False
        # Monotonic time of its last packet, in seconds.
        self.last_packet_s = float("-inf")
        self.discovered_s = discovered_s
        # Its view of the store, None until one of its packets holds one.
        self.view: store_view.StoreView | None = None
        # Whether it understands bundles.
        self.has_bundles = False
        # Whether it reports the rate limits of targets.
        self.tells_limits = False
        # Monotonic time of the last bundle that came directly from it, in
        # seconds.
        self.last_bundle_s = float("-inf")
        # Sequence number of its last packet that came in a bundle.
        self.sequence = 0
        # Its last heartbeat that came in a bundle, empty for none.
        self.heartbeat = b""
