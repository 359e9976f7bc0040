"""Membership of the fronts, and exchange of evidence between them.

A front sends its packets to every other front of its availability zone. To
each other zone of its region it sends one packet to one randomly chosen
front, which relays it in its zone: few bytes cross zones, and no front is
special. Other regions receive only state changes and warnings about targets
that have become suspect.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import datagram as datagrams
from fuchsiacourse import errors
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import front_status
from fuchsiacourse.front import membership_packet
from fuchsiacourse.front import peer_state
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

# Heartbeat intervals within a front's zone and to the other zones of its
# region, in seconds.
HEARTBEAT_S = 0.3
CROSS_ZONE_HEARTBEAT_S = 1.5
# A peer of the same zone counts as down after this time without packets, in
# seconds. It spans three heartbeats, because single packets may be lost.
PEER_TIMEOUT_S = 1.0
# The same for a peer of another zone, whose packets are relayed; in seconds.
CROSS_ZONE_TIMEOUT_S = 5.0
# Peers that are down still receive packets for this time, in seconds, so
# that both sides of a healed network partition find each other.
PEER_EXPIRY_S = 120.0
# Seconds after the start at which the seeds are polled for members.
SEED_POLL_AT_S = (0.0, 0.25, 0.6, 1.2, 2.5, 5.0)
# Interval at which the seeds are polled afterwards, in seconds.
SEED_POLL_INTERVAL_S = 20.0

OnEvidence = typing.Callable[[evidences.Evidence, str, bool], None]
Status = typing.Callable[[], front_status.FrontStatus]
OnStoreViewChange = typing.Callable[[], None]


class Membership:
    """Tracks the other fronts and exchanges evidence on targets with them.

    Attributes:
        by_ip: State of the peers by IP address.
        rejected_packets: Number of received packets that were malformed.

    Args:
        clock: Source of time.
        timers: Timer service.
        rng: Random number generator for jitter and the choice of relays.
        datagram: Endpoint on the network of the fronts.
        settings: Address and availability zone of this front, the region of
            each zone, and seeds.
        incarnation: Number that rises with each start of the front.
        status: Returns the state of this front.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        datagram: datagrams.DatagramEndpoint,
        settings: front_settings.FrontSettings,
        incarnation: int,
        status: Status,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._datagram = datagram
        self._settings = settings
        self._incarnation = incarnation
        self._status = status
        self._log = log
        self._zones = sorted(settings.regions_by_zone)
        self._zone = self._zones.index(settings.availability_zone)
        self.by_ip: dict[str, peer_state.PeerState] = {}
        self._on_evidence: OnEvidence = _ignore_evidence
        self._pending: list[evidences.Evidence] = []
        self.rejected_packets = 0
        self._on_view_change: OnStoreViewChange = _ignore_view_change

    def start(self, on_evidence: OnEvidence) -> None:
        """Starts to send heartbeats and to receive packets.

        Args:
            on_evidence: Called with a piece of evidence, the IP address of
                the front that reports it and whether that front is in the
                same zone.
        """
        self._on_evidence = on_evidence
        self._datagram.set_receiver(self._receive)
        for delay_s in SEED_POLL_AT_S:
            self._timers.after(delay_s, self._poll_seeds)
        self._timers.every(SEED_POLL_INTERVAL_S, self._poll_seeds, jitter=0.3)
        self._timers.every(HEARTBEAT_S, self._send_zone_heartbeat, jitter=0.1)
        self._timers.every(
            CROSS_ZONE_HEARTBEAT_S, self._send_cross_zone_heartbeat, jitter=0.3
        )

    def on_store_view_change(self, callback: OnStoreViewChange) -> None:
        """Sets the callback for changes of a peer's view of the store."""
        self._on_view_change = callback

    def send_evidence(self, evidence: evidences.Evidence) -> None:
        """Queues evidence for the other fronts of the region.

        It is sent in the next turn of the event loop, together with other
        evidence of this turn.
        """
        if not self._pending:
            self._timers.after(0.0, self.flush)
        self._pending.append(evidence)

    def warn_regions(self, evidence: evidences.Evidence) -> None:
        """Sends evidence on a newly suspect target to the other regions."""
        self._send_regions(
            self._packet(evidence=[evidence], relay_in_region=True)
        )

    def announce_regions(self) -> None:
        """Sends the state of this front to the other regions."""
        self._send_regions(self._packet(relay_in_region=True, has_view=True))

    def flush(self) -> None:
        """Sends the queued evidence to the fronts of the region."""
        pending, self._pending = self._pending, []
        while pending:
            part = pending[: membership_packet.MAX_EVIDENCE]
            pending = pending[membership_packet.MAX_EVIDENCE :]
            self._send_in_zone(self._packet(evidence=part).encode())
            self._send_cross_zone(
                self._packet(evidence=part, relay_in_zone=True)
            )

    def announce(self) -> None:
        """Sends the state of this front to the region at once."""
        self._send_zone_heartbeat()
        self._send_cross_zone_heartbeat()

    def announce_in_zone(self) -> None:
        """Sends the state of this front within its zone at once."""
        self._send_zone_heartbeat()

    def zone_index(self, availability_zone: str) -> int | None:
        """Returns the index of an availability zone, None if unknown.

        Packets name zones by this index.
        """
        try:
            return self._zones.index(availability_zone)
        except ValueError:
            return None

    def serving(self, zone: int) -> list[str]:
        """Returns the IP addresses of a zone's peers that serve callers.

        It is empty for zones of other regions, because too few packets
        arrive from there to know which fronts are live.
        """
        region = self._settings.regions_by_zone[self._zones[zone]]
        if region != self._settings.region:
            return []
        now_s = self._clock.now()
        timeout_s = (
            PEER_TIMEOUT_S if zone == self._zone else CROSS_ZONE_TIMEOUT_S
        )
        return [
            peer.ip
            for peer in self.by_ip.values()
            if peer.zone == zone
            and peer.is_ready
            and not peer.is_leaving
            and now_s - peer.last_packet_s <= timeout_s
        ]

    def zone_peers(self) -> list[peer_state.PeerState]:
        """Returns the live peers in the zone of this front."""
        return [peer for peer in self.live_peers() if peer.zone == self._zone]

    def live_peers(self) -> list[peer_state.PeerState]:
        """Returns the live peers, those in the zone of this front first."""
        now_s = self._clock.now()
        live = [
            peer
            for peer in self.by_ip.values()
            if now_s - peer.last_packet_s <= self._timeout_s(peer)
        ]
        live.sort(key=lambda peer: peer.zone != self._zone)
        return live

    def store_contact_s(self) -> float:
        """Returns the longest contact of a live peer with the store.

        The result is in seconds; 0 if no live peer is in contact.
        """
        return max(
            (peer.store_contact_s for peer in self.live_peers()),
            default=0.0,
        )

    def config_version(self) -> int:
        """Returns the newest configuration version of the live peers."""
        return max(
            (peer.config_version for peer in self.live_peers()),
            default=0,
        )

    def live_share(self) -> float:
        """Returns the fraction of the region's known fronts that are live.

        This front counts as live.
        """
        now_s = self._clock.now()
        regions = self._settings.regions_by_zone
        known = [
            peer
            for peer in self.by_ip.values()
            if regions[self._zones[peer.zone]] == self._settings.region
        ]
        live = sum(
            now_s - peer.last_packet_s <= self._timeout_s(peer)
            for peer in known
        )
        return (live + 1) / (len(known) + 1)

    def _timeout_s(self, peer: peer_state.PeerState) -> float:
        return (
            PEER_TIMEOUT_S if peer.zone == self._zone else CROSS_ZONE_TIMEOUT_S
        )

    def _poll_seeds(self) -> None:
        packet = self._packet(requests_members=True).encode()
        for ip, _ in self._settings.seeds:
            if ip != self._settings.ip:
                self._datagram.send(self._address(ip), packet)

    def _send_zone_heartbeat(self) -> None:
        """Sends a heartbeat in the zone and removes expired peers."""
        self._send_in_zone(self._packet(has_view=True).encode())
        now_s = self._clock.now()
        for ip, peer in list(self.by_ip.items()):
            last_s = max(peer.last_packet_s, peer.discovered_s)
            if now_s - last_s > PEER_EXPIRY_S:
                del self.by_ip[ip]

    def _send_cross_zone_heartbeat(self) -> None:
        self._send_cross_zone(self._packet(relay_in_zone=True, has_view=True))

    def _send_in_zone(self, data: bytes) -> None:
        for peer in self.by_ip.values():
            if peer.zone == self._zone:
                self._datagram.send(self._address(peer.ip), data)

    def _send_regions(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        data = packet.encode()
        regions = self._settings.regions_by_zone
        by_region: dict[str, list[str]] = {}
        for peer in self.by_ip.values():
            region = regions[self._zones[peer.zone]]
            by_region.setdefault(region, []).append(peer.ip)
        for region, ips in by_region.items():
            if region != self._settings.region:
                self._datagram.send(self._address(self._rng.choice(ips)), data)

    def _send_cross_zone(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        data = packet.encode()
        now_s = self._clock.now()
        region = self._settings.region
        for zone, name in enumerate(self._zones):
            if zone == self._zone:
                continue
            if self._settings.regions_by_zone[name] != region:
                continue
            known = [peer for peer in self.by_ip.values() if peer.zone == zone]
            live = [
                peer
                for peer in known
                if now_s - peer.last_packet_s <= CROSS_ZONE_TIMEOUT_S
            ]
            if live or known:
                relay = self._rng.choice(live or known)
                self._datagram.send(self._address(relay.ip), data)

    def _receive(self, sender: str, data: bytes) -> None:
        try:
            packet = membership_packet.decode(data)
        except errors.PeerError:
            self.rejected_packets += 1
            return
        if packet.ip == self._settings.ip or packet.zone >= len(self._zones):
            return
        if not self._update_peer(packet):
            return
        if packet.relay_in_region:
            packet.relay_in_region = False
            self._send_in_zone(packet.encode())
            packet.relay_in_zone = True
            self._send_cross_zone(packet)
        elif packet.relay_in_zone:
            packet.relay_in_zone = False
            self._send_in_zone(packet.encode())
        for ip, zone in packet.members:
            self._add_peer(ip, zone)
        if packet.requests_members:
            self._send_members(packet)
        is_same_zone = packet.zone == self._zone
        for item in packet.evidence:
            self._on_evidence(item, packet.ip, is_same_zone)

    def _update_peer(self, packet: membership_packet.MembershipPacket) -> bool:
        """Updates a peer from its packet; returns whether to use the packet.

        Packets of an earlier incarnation are dropped until PEER_TIMEOUT_S
        after the peer's last accepted packet.
        """
        peer = self._add_peer(packet.ip, packet.zone)
        if peer is None:
            return False
        now_s = self._clock.now()
        is_older = packet.incarnation < peer.incarnation
        if is_older and now_s - peer.last_packet_s <= PEER_TIMEOUT_S:
            return False
        if packet.incarnation != peer.incarnation:
            # The incarnation comes from the host's clock, which may have
            # been set back: a peer that was down may return with a lower
            # number.
            peer.incarnation = packet.incarnation
            peer.is_leaving = False
            peer.view = None
        before = peer.is_ready, peer.is_leaving
        peer.is_ready = packet.is_ready
        # Shutdown is final for an incarnation, and packets may arrive out
        # of order.
        peer.is_leaving = peer.is_leaving or packet.is_leaving
        peer.config_version = packet.config_version
        peer.store_contact_s = packet.store_contact_s
        peer.last_packet_s = now_s
        if packet.view is not None:
            has_changed = not packet.view.is_equal(peer.view)
            peer.view = packet.view
            if has_changed:
                self._on_view_change()
        if before != (peer.is_ready, peer.is_leaving):
            logs.event(
                self._log,
                "front_changed",
                front=peer.ip,
                incarnation=peer.incarnation,
                ready=peer.is_ready,
                leaving=peer.is_leaving,
            )
        return True

    def _add_peer(self, ip: str, zone: int) -> peer_state.PeerState | None:
        """Returns the state of a peer, and adds the peer if it is new.

        A new peer of the same zone is sent this front's state at once. The
        result is None for this front itself and for an unknown zone.
        """
        if ip == self._settings.ip or zone >= len(self._zones):
            return None
        peer = self.by_ip.get(ip)
        if peer is None:
            peer = self.by_ip[ip] = peer_state.PeerState(
                ip=ip, zone=zone, discovered_s=self._clock.now()
            )
            if zone == self._zone:
                self._datagram.send(
                    self._address(ip), self._packet(has_view=True).encode()
                )
        peer.zone = zone
        return peer

    def _send_members(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        """Sends the members of its region to the front that requests them."""
        regions = self._settings.regions_by_zone
        region = regions[self._zones[packet.zone]]
        members = [
            (peer.ip, peer.zone)
            for peer in self.by_ip.values()
            if regions[self._zones[peer.zone]] == region
            and peer.ip != packet.ip
        ]
        reply = self._packet(
            members=members[: membership_packet.MAX_MEMBERS], has_view=True
        )
        self._datagram.send(self._address(packet.ip), reply.encode())

    def _packet(
        self,
        *,
        relay_in_zone: bool = False,
        relay_in_region: bool = False,
        requests_members: bool = False,
        has_view: bool = False,
        evidence: list[evidences.Evidence] | None = None,
        members: list[tuple[str, int]] | None = None,
    ) -> membership_packet.MembershipPacket:
        status = self._status()
        return membership_packet.MembershipPacket(
            ip=self._settings.ip,
            zone=self._zone,
            incarnation=self._incarnation,
            config_version=status.config_version,
            store_contact_s=status.store_contact_s,
            is_ready=status.is_ready,
            is_leaving=status.is_leaving,
            relay_in_zone=relay_in_zone,
            relay_in_region=relay_in_region,
            requests_members=requests_members,
            evidence=evidence,
            members=members,
            view=status.view if has_view else None,
        )

    def _address(self, ip: str) -> str:
        return f"{ip}:{self._settings.peer_port}"


def _ignore_view_change() -> None:
    """Default callback for changes of a peer's view of the store."""


def _ignore_evidence(
    item: evidences.Evidence, front: str, is_same_zone: bool
) -> None:
    """Default callback for evidence, in use until the front starts."""
