"""Table of the other fronts, as their packets report them."""

from __future__ import annotations

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import peer_state

# A peer of the same zone counts as down after this time without packets, in
# seconds. It spans three heartbeats, because single packets may be lost.
PEER_TIMEOUT_S = 1.0
# The same for a peer of another zone, whose packets are relayed; in seconds.
CROSS_ZONE_TIMEOUT_S = 5.0
# Peers that are down still receive packets for this time, in seconds, so
# that both sides of a healed network partition find each other.
PEER_EXPIRY_S = 120.0
# Time for which a front that is down counts as lost lately, in seconds.
LOST_LATELY_S = 3.0
# Time for which the share of live fronts is reused, in seconds. Each decision
# on a retry asks for it.
LIVE_SHARE_REUSE_S = 0.1


class PeerTable:
    """Peers by IP address, and what follows from their states.

    Attributes:
        by_ip: State of the peers by IP address.
        zone: Index of this front's availability zone.
        zones: Names of the availability zones, in the order of the indexes.

    Args:
        clock: Source of time.
        settings: Address and availability zone of this front, and the region
            of each zone.
    """

    __slots__ = (
        "by_ip",
        "zone",
        "zones",
        "_clock",
        "_settings",
        "_live_share",
        "_live_share_at_s",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        settings: front_settings.FrontSettings,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self.zones = sorted(settings.regions_by_zone)
        self.zone = self.zones.index(settings.availability_zone)
        self.by_ip: dict[str, peer_state.PeerState] = {}
        self._live_share = 1.0
        self._live_share_at_s = float("-inf")

    def add(self, ip: str, zone: int) -> bool:
        """Adds a peer, or updates its zone; returns whether it is new.

        This front itself and unknown zones are ignored.
        """
        if ip == self._settings.ip or zone >= len(self.zones):
            return False
        peer = self.by_ip.get(ip)
        if peer is not None:
            peer.zone = zone
            return False
        self.by_ip[ip] = peer_state.PeerState(
            ip=ip, zone=zone, discovered_s=self._clock.now()
        )
        return True

    def remove_expired(self) -> list[peer_state.PeerState]:
        """Removes and returns the peers that were down for PEER_EXPIRY_S."""
        now_s = self._clock.now()
        expired = [
            peer
            for peer in self.by_ip.values()
            if now_s - max(peer.last_packet_s, peer.discovered_s)
            > PEER_EXPIRY_S
        ]
        for peer in expired:
            del self.by_ip[peer.ip]
        return expired

    def zone_index(self, availability_zone: str) -> int | None:
        """Returns the index of an availability zone, None if unknown.

        Packets name zones by this index.
        """
        try:
            return self.zones.index(availability_zone)
        except ValueError:
            return None

    def region_of(self, zone: int) -> str:
        """Returns the region of the zone with an index."""
        return self._settings.regions_by_zone[self.zones[zone]]

    def other_zones(self) -> list[int]:
        """Returns the indexes of the other zones of this front's region."""
        return [
            zone
            for zone in range(len(self.zones))
            if zone != self.zone
            and self.region_of(zone) == self._settings.region
        ]

    def other_regions(self) -> list[str]:
        """Returns the names of the other regions."""
        return sorted(
            set(self._settings.regions_by_zone.values())
            - {self._settings.region}
        )

    def is_live(self, peer: peer_state.PeerState, now_s: float) -> bool:
        """Returns whether a peer's packets arrive.

        Args:
            peer: The peer.
            now_s: Monotonic time in seconds.
        """
        timeout_s = (
            PEER_TIMEOUT_S if peer.zone == self.zone else CROSS_ZONE_TIMEOUT_S
        )
        return now_s - peer.last_packet_s <= timeout_s

    def in_zone(self, zone: int) -> list[peer_state.PeerState]:
        """Returns all peers of a zone, live or not."""
        return [peer for peer in self.by_ip.values() if peer.zone == zone]

    def live_in_zone(self, zone: int) -> list[peer_state.PeerState]:
        """Returns the live peers of a zone."""
        now_s = self._clock.now()
        return [
            peer
            for peer in self.by_ip.values()
            if peer.zone == zone and self.is_live(peer, now_s)
        ]

    def in_region(self, region: str) -> list[peer_state.PeerState]:
        """Returns all peers of a region, live or not."""
        return [
            peer
            for peer in self.by_ip.values()
            if self.region_of(peer.zone) == region
        ]

    def live(self) -> list[peer_state.PeerState]:
        """Returns the live peers, those in the zone of this front first."""
        now_s = self._clock.now()
        live = [
            peer for peer in self.by_ip.values() if self.is_live(peer, now_s)
        ]
        live.sort(key=lambda peer: peer.zone != self.zone)
        return live

    def serving(self, zone: int) -> list[str]:
        """Returns the IP addresses of a zone's peers that serve callers.

        It is empty for zones of other regions, because too few packets
        arrive from there to know which fronts are live.
        """
        if self.region_of(zone) != self._settings.region:
            return []
        return [
            peer.ip
            for peer in self.live_in_zone(zone)
            if peer.is_ready and not peer.is_leaving
        ]

    def has_ready(self) -> bool:
        """Returns whether a live peer serves callers."""
        return any(
            peer.is_ready and not peer.is_leaving for peer in self.live()
        )

    def store_contact_s(self) -> float:
        """Returns the longest contact of a live peer with the store.

        The result is in seconds; 0 if no live peer is in contact.
        """
        return max((peer.store_contact_s for peer in self.live()), default=0.0)

    def config_version(self) -> int:
        """Returns the newest configuration version of the live peers."""
        return max((peer.config_version for peer in self.live()), default=0)

    def lost_share(self) -> float:
        """Returns the fraction of the region's fronts that went down lately.

        It is the part of those heard within LOST_LATELY_S before the timeout.
        """
        now_s = self._clock.now()
        live = lost = 0
        for peer in self.in_region(self._settings.region):
            if self.is_live(peer, now_s):
                live += 1
            elif self.is_live(peer, now_s - LOST_LATELY_S):
                lost += 1
        return lost / (live + lost + 1)

    def live_count(self) -> int:
        """Returns the number of the region's live fronts, with this one."""
        now_s = self._clock.now()
        known = self.in_region(self._settings.region)
        return 1 + sum(self.is_live(peer, now_s) for peer in known)

    def live_share(self) -> float:
        """Returns the fraction of the region's known fronts that are live.

        This front counts as live.
        """
        now_s = self._clock.now()
        if now_s - self._live_share_at_s >= LIVE_SHARE_REUSE_S:
            known = self.in_region(self._settings.region)
            live = sum(self.is_live(peer, now_s) for peer in known)
            self._live_share = (live + 1) / (len(known) + 1)
            self._live_share_at_s = now_s
        return self._live_share
