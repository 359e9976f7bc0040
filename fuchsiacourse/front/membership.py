"""Membership of the fronts, and exchange of evidence between them.

In a small zone, a front sends its packets to every other front of its
availability zone, and to each other zone of its region one packet to a
randomly chosen front, which relays it in its zone. In a zone of many fronts
it sends them to hubs, which pass them on in bundles. Other regions receive
only state changes and warnings about targets that have become suspect.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import datagram as datagrams
from fuchsiacourse import errors
from fuchsiacourse.front import bundle_relay
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import front_status
from fuchsiacourse.front import hub_choice
from fuchsiacourse.front import membership_packet
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import packet_bundle
from fuchsiacourse.front import peer_state
from fuchsiacourse.front import peer_table
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

# Heartbeat intervals within a front's zone and to the other zones of its
# region, in seconds.
HEARTBEAT_S = 0.3
CROSS_ZONE_HEARTBEAT_S = 1.5
# Seconds after the start at which the seeds are polled for members.
SEED_POLL_AT_S = (0.0, 0.25, 0.6, 1.2, 2.5, 5.0)
# Interval at which the seeds are polled afterwards, in seconds.
SEED_POLL_INTERVAL_S = 20.0
# Time for which the choice of the hubs is used, in seconds.
HUBS_REUSE_S = 0.1
# Members of each zone of another region that a reply to a poll contains. A
# region whose only known front is down would miss state changes.
FAR_MEMBERS_PER_ZONE = 4
# Fronts of another region to which a state change is sent, as some of them may
# be down without being known to be.
FAR_COPIES = 3

_FIRST = evidences.AttemptKind.FIRST
# Outcomes of reports after which another report of the attempt follows.
_UNFINISHED = frozenset((None, outcomes.Outcome.LATE))

OnEvidence = typing.Callable[[evidences.Evidence, str, bool], None]
Status = typing.Callable[[], front_status.FrontStatus]
OnStoreViewChange = typing.Callable[[], None]


class Membership:
    """Tracks the other fronts and exchanges evidence on targets with them.

    Attributes:
        peers: The other fronts.
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
        self.peers = peer_table.PeerTable(clock=clock, settings=settings)
        self._known_hubs: list[str] = []
        self._hubs_at_s = float("-inf")
        self._hub_choice = hub_choice.HubChoice(ip=settings.ip)
        self._relay = bundle_relay.BundleRelay(
            timers=timers,
            send_in_zone=self._send_in_zone,
            send_to_zones=self._send_to_remote_hubs,
        )
        # The wall clock makes it rise over a restart within a second, in
        # which the incarnation stays the same.
        self._sequence = int(clock.wall() * 1000.0)
        # Peers by their last heartbeat as bytes, most of which are equal to
        # the one before.
        self._peers_by_heartbeat: dict[bytes, peer_state.PeerState] = {}
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
            self._packet(evidence=[evidence], relay_in_region=True), copies=1
        )

    def announce_regions(self) -> None:
        """Sends the state of this front to the other regions."""
        self._send_regions(
            self._packet(relay_in_region=True, has_view=True),
            copies=FAR_COPIES,
        )

    def flush(self) -> None:
        """Sends the queued evidence to the fronts of the region."""
        pending, self._pending = self._pending, []
        hubs = self._hubs()
        if hubs:
            self._report(pending, hubs[0])
            return
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

    def _hubs(self) -> list[str]:
        """Returns the hubs of the zone, none if packets are sent directly."""
        now_s = self._clock.now()
        if now_s - self._hubs_at_s >= HUBS_REUSE_S:
            self._hubs_at_s = now_s
            self._known_hubs = self._choose_hubs(now_s)
        return self._known_hubs

    def _choose_hubs(self, now_s: float) -> list[str]:
        """Chooses the hubs of the zone.

        Bundles are used only if all live fronts of the region understand
        them.
        """
        live = self.peers.live()
        in_zone = [peer for peer in live if peer.zone == self.peers.zone]
        if len(in_zone) + 1 < hub_choice.MIN_FRONTS or not all(
            peer.has_bundles
            for peer in live
            if self.peers.region_of(peer.zone) == self._settings.region
        ):
            return []
        view = self._status().view
        return self._hub_choice.choose(
            now_s, 0 if view is None else view.capacity, in_zone
        )

    def _report(self, pending: list[evidences.Evidence], hub: str) -> None:
        """Sends evidence to the fronts of the region through a hub.

        The starts of first attempts are left out, which are most starts: the
        load is known from the ends and from what the targets report. Those at
        targets with a rate limit are told, as all fronts keep to it together.
        """
        ip, zone = self._settings.ip, self.peers.zone
        pending = [
            item
            for item in pending
            if item.is_paced or not _is_first_start(item)
        ]
        for item in pending:
            if _is_first_start(item):
                item.kind = evidences.AttemptKind.FIRST_PACED
            elif item.kind is _FIRST and item.outcome not in _UNFINISHED:
                item.kind = evidences.AttemptKind.FIRST_AT_END
        if not pending:
            return
        bundle = packet_bundle.PacketBundle(
            relay_in_region=True,
            reports=b"".join(
                packet_bundle.encode_report(ip, zone, item)
                for item in pending
                if not _needs_packet(item)
            ),
            packets=[
                self._sequenced(self._packet(evidence=[item]))
                for item in pending
                if _needs_packet(item)
            ],
        )
        self._send_bundle(bundle, [hub])

    def _send_bundle(
        self, bundle: packet_bundle.PacketBundle, hubs: list[str]
    ) -> None:
        for data in bundle.encode():
            for ip in hubs:
                if ip != self._settings.ip:
                    self._datagram.send(self._address(ip), data)
        if self._settings.ip in hubs:
            self._relay.pass_on(bundle)

    def _sequenced(
        self, packet: membership_packet.MembershipPacket
    ) -> packet_bundle.SequencedPacket:
        self._sequence += 1
        return packet_bundle.SequencedPacket(
            sequence=self._sequence, data=packet.encode()
        )

    def _poll_seeds(self) -> None:
        packet = self._packet(requests_members=True).encode()
        for ip, _ in self._settings.seeds:
            if ip != self._settings.ip:
                self._datagram.send(self._address(ip), packet)

    def _send_zone_heartbeat(self) -> None:
        """Sends a heartbeat in the zone and removes expired peers."""
        packet = self._packet(has_view=True)
        hubs = self._hubs()
        if hubs:
            bundle = packet_bundle.PacketBundle(
                relay_in_zone=True, packets=[self._sequenced(packet)]
            )
            self._send_bundle(bundle, hubs)
        else:
            self._send_in_zone(packet.encode())
        for peer in self.peers.remove_expired():
            self._peers_by_heartbeat.pop(peer.heartbeat, None)

    def _send_cross_zone_heartbeat(self) -> None:
        hubs = self._hubs()
        if hubs:
            packet = self._sequenced(self._packet(has_view=True))
            bundle = packet_bundle.PacketBundle(
                relay_in_region=True, packets=[packet]
            )
            self._send_bundle(bundle, [self._rng.choice(hubs)])
            return
        self._send_cross_zone(self._packet(relay_in_zone=True, has_view=True))

    def _send_in_zone(self, data: bytes) -> None:
        for peer in self.peers.in_zone(self.peers.zone):
            self._datagram.send(self._address(peer.ip), data)

    def _send_regions(
        self, packet: membership_packet.MembershipPacket, *, copies: int
    ) -> None:
        data = packet.encode()
        for region in self.peers.other_regions():
            known = self.peers.in_region(region)
            for peer in self._rng.sample(known, min(copies, len(known))):
                self._datagram.send(self._address(peer.ip), data)

    def _send_cross_zone(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        data = packet.encode()
        for zone in self.peers.other_zones():
            relays = self.peers.live_in_zone(zone) or self.peers.in_zone(zone)
            if relays:
                relay = self._rng.choice(relays)
                self._datagram.send(self._address(relay.ip), data)

    def _send_to_remote_hubs(self, bundles: list[bytes]) -> None:
        now_s = self._clock.now()
        for zone in self.peers.other_zones():
            peers = self.peers.live_in_zone(zone) or self.peers.in_zone(zone)
            hubs = hub_choice.rank_remote(now_s, peers)
            if not hubs:
                continue
            address = self._address(self._rng.choice(hubs))
            for data in bundles:
                self._datagram.send(address, data)

    def _receive(self, sender: str, data: bytes) -> None:
        try:
            if data.startswith(packet_bundle.MAGIC):
                self._receive_bundle(sender, packet_bundle.decode(data))
            else:
                self._receive_packet(membership_packet.decode(data))
        except errors.PeerError:
            self.rejected_packets += 1

    def _receive_bundle(
        self, sender: str, bundle: packet_bundle.PacketBundle
    ) -> None:
        peer = self.peers.by_ip.get(sender.rpartition(":")[0])
        if peer is not None:
            peer.last_bundle_s = self._clock.now()
        self._relay.pass_on(bundle)
        for packet in bundle.packets:
            self._receive_sequenced(packet)
        for ip, zone, evidence in packet_bundle.decode_reports(bundle.reports):
            if ip != self._settings.ip:
                origin = self.peers.by_ip.get(ip)
                if origin is not None and origin.tells_limits:
                    evidence.set_unlimited()
                is_same_zone = zone == self.peers.zone
                self._on_evidence(evidence, ip, is_same_zone)

    def _receive_sequenced(
        self, packet: packet_bundle.SequencedPacket
    ) -> None:
        """Handles a packet of a bundle, which may come through several hubs.

        Raises:
            PeerError: The packet is malformed.
        """
        peer = self._peers_by_heartbeat.get(packet.data)
        if peer is not None:
            if packet.sequence > peer.sequence:
                peer.sequence = packet.sequence
                peer.last_packet_s = self._clock.now()
            return
        decoded = membership_packet.decode(packet.data)
        peer = self.peers.by_ip.get(decoded.ip)
        if peer is None or packet.sequence > peer.sequence:
            if not self._receive_packet(decoded):
                return
            peer = self.peers.by_ip[decoded.ip]
            peer.sequence = packet.sequence
            if decoded.view is not None and not decoded.evidence:
                self._remember_heartbeat(peer, packet.data)
        else:
            # Other packets of the origin have overtaken it.
            self._apply_evidence(decoded)

    def _remember_heartbeat(
        self, peer: peer_state.PeerState, data: bytes
    ) -> None:
        self._peers_by_heartbeat.pop(peer.heartbeat, None)
        peer.heartbeat = data
        self._peers_by_heartbeat[data] = peer

    def _receive_packet(
        self, packet: membership_packet.MembershipPacket
    ) -> bool:
        """Handles a packet; returns whether it was used."""
        if (
            packet.ip == self._settings.ip
            or packet.zone >= len(self.peers.zones)
            or not self._update_peer(packet)
        ):
            return False
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
        self._apply_evidence(packet)
        return True

    def _apply_evidence(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        is_same_zone = packet.zone == self.peers.zone
        for item in packet.evidence:
            self._on_evidence(item, packet.ip, is_same_zone)

    def _update_peer(self, packet: membership_packet.MembershipPacket) -> bool:
        """Updates a peer from its packet; returns whether to use the packet.

        Packets of an earlier incarnation are dropped until PEER_TIMEOUT_S
        after the peer's last accepted packet.
        """
        self._add_peer(packet.ip, packet.zone)
        peer = self.peers.by_ip[packet.ip]
        now_s = self._clock.now()
        is_older = packet.incarnation < peer.incarnation
        is_silent = now_s - peer.last_packet_s > peer_table.PEER_TIMEOUT_S
        if is_older and not is_silent:
            return False
        if packet.incarnation != peer.incarnation:
            # The incarnation comes from the host's clock, which may have
            # been set back: a peer that was down may return with a lower
            # number.
            peer.incarnation = packet.incarnation
            peer.is_leaving = False
            peer.view = None
            peer.sequence = 0
        before = peer.is_ready, peer.is_leaving
        peer.is_ready = packet.is_ready
        # Shutdown is final for an incarnation, and packets may arrive out
        # of order.
        peer.is_leaving = peer.is_leaving or packet.is_leaving
        if (
            packet.view is not None
            or packet.config_version < membership_packet.MAX_SHORT_VERSION
        ):
            peer.config_version = packet.config_version
        peer.store_contact_s = packet.store_contact_s
        peer.has_bundles = packet.has_bundles
        peer.tells_limits = packet.tells_limits
        peer.last_packet_s = now_s
        self._peers_by_heartbeat.pop(peer.heartbeat, None)
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

    def _add_peer(self, ip: str, zone: int) -> None:
        """Adds a peer if it is new, and sends it this front's state.

        Only peers of the same zone are sent the state at once.
        """
        if self.peers.add(ip, zone) and zone == self.peers.zone:
            self._datagram.send(
                self._address(ip), self._packet(has_view=True).encode()
            )

    def _send_members(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        """Sends the members to the front that requests them.

        Those are all members of its region and some of each other zone.
        """
        members = self._members_for(self.peers.region_of(packet.zone))
        members = [member for member in members if member[0] != packet.ip]
        limit = membership_packet.MAX_MEMBERS
        for start in range(0, max(1, len(members)), limit):
            reply = self._packet(
                members=members[start : start + limit], has_view=True
            )
            self._datagram.send(self._address(packet.ip), reply.encode())

    def _members_for(self, region: str) -> list[tuple[str, int]]:
        members = []
        for zone in range(len(self.peers.zones)):
            found = self.peers.in_zone(zone)
            if self.peers.region_of(zone) != region:
                # Those that were down longest come last.
                found.sort(key=lambda peer: -peer.last_packet_s)
                found = found[:FAR_MEMBERS_PER_ZONE]
            members.extend((peer.ip, peer.zone) for peer in found)
        return members

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
            zone=self.peers.zone,
            incarnation=self._incarnation,
            config_version=status.config_version,
            store_contact_s=status.store_contact_s,
            is_ready=status.is_ready,
            is_leaving=status.is_leaving,
            relay_in_zone=relay_in_zone,
            relay_in_region=relay_in_region,
            requests_members=requests_members,
            has_bundles=True,
            tells_limits=True,
            evidence=evidence,
            members=members,
            view=status.view if has_view else None,
        )

    def _address(self, ip: str) -> str:
        return f"{ip}:{self._settings.peer_port}"


def _is_first_start(item: evidences.Evidence) -> bool:
    return item.outcome is None and item.kind is _FIRST


def _needs_packet(item: evidences.Evidence) -> bool:
    """Returns whether a report has no room for a piece of evidence."""
    return bool(item.fingerprint) or item.states_limit


def _ignore_view_change() -> None:
    """Default callback for changes of a peer's view of the store."""


def _ignore_evidence(
    item: evidences.Evidence, front: str, is_same_zone: bool
) -> None:
    """Default callback for evidence, in use until the front starts."""
