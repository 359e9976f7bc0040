"""The other fronts: who is alive, and what they have seen.

Inside a zone each front tells all others. To the other zones of its region
it sends one packet to one front, which passes it on in its zone, so that few
bytes cross zones and no front is special. Other regions hear only of targets
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

# Interval of the packets inside the zone and to the other zones, seconds.
HEARTBEAT_S = 0.3
FAR_HEARTBEAT_S = 1.5
# Silence after which a front of the own zone is held to be down: three
# packets, because single ones are lost.
PEER_TIMEOUT_S = 1.0
# The same for a front of another zone, whose packets are relayed.
FAR_ALIVE_S = 5.0
# A silent front still gets packets for this time, in seconds, so that a cut
# that heals brings both sides together.
FORGET_S = 120.0
# Times at which seeds are asked for members, in seconds after the start.
ASK_AT_S = (0.0, 0.25, 0.6, 1.2, 2.5, 5.0)
# Later the seeds are asked once in this time, in seconds.
ASK_INTERVAL_S = 20.0

Hear = typing.Callable[[evidences.Evidence, str, bool], None]
Status = typing.Callable[[], front_status.FrontStatus]
OnView = typing.Callable[[], None]


class Membership:
    """Membership and evidence between fronts.

    Args:
        clock: Source of time.
        timers: Timer service.
        rng: Source of randomness.
        datagram: Network of the fronts.
        settings: Place of this front.
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
        self._hear: Hear = _ignore
        self._pending: list[evidences.Evidence] = []
        self.rejected_packets = 0
        self._on_view: OnView = _ignore_view

    def start(self, hear: Hear) -> None:
        """Starts to send and to receive.

        Args:
            hear: Receives evidence, the IP number of the front that saw it
                and whether that front is in the own zone.
        """
        self._hear = hear
        self._datagram.set_receiver(self._receive)
        for delay_s in ASK_AT_S:
            self._timers.after(delay_s, self._ask_seeds)
        self._timers.every(ASK_INTERVAL_S, self._ask_seeds, jitter=0.3)
        self._timers.every(HEARTBEAT_S, self._beat_near, jitter=0.1)
        self._timers.every(FAR_HEARTBEAT_S, self._beat_far, jitter=0.3)

    def on_store_view_change(self, callback: OnView) -> None:
        """Subscribes to changes of what others know of the store."""
        self._on_view = callback

    def send_evidence(self, evidence: evidences.Evidence) -> None:
        """Tells the other fronts of the region what this one has seen."""
        if not self._pending:
            self._timers.after(0.0, self.flush)
        self._pending.append(evidence)

    def warn_regions(self, evidence: evidences.Evidence) -> None:
        """Tells the other regions of a target that has become suspect."""
        self._send_regions(
            self._packet(evidence=[evidence], relay_in_region=True)
        )

    def announce_regions(self) -> None:
        """Tells a change of the own state to the other regions."""
        self._send_regions(self._packet(relay_in_region=True, has_view=True))

    def flush(self) -> None:
        """Sends the evidence that is waiting."""
        pending, self._pending = self._pending, []
        while pending:
            part = pending[: membership_packet.MAX_EVIDENCE]
            pending = pending[membership_packet.MAX_EVIDENCE :]
            self._send_near(self._packet(evidence=part).encode())
            self._send_far(self._packet(evidence=part, relay_in_zone=True))

    def announce(self) -> None:
        """Tells a change of the own state at once."""
        self._beat_near()
        self._beat_far()

    def announce_in_zone(self) -> None:
        """Tells a change of the own state in the own zone at once."""
        self._beat_near()

    def zone_index(self, availability_zone: str) -> int | None:
        """Returns the index of an availability zone, None if unknown."""
        try:
            return self._zones.index(availability_zone)
        except ValueError:
            return None

    def serving(self, zone: int) -> list[str]:
        """Returns the IP numbers of a zone's fronts that serve callers.

        Of zones in other regions too little is heard to name any.
        """
        region = self._settings.regions_by_zone[self._zones[zone]]
        if region != self._settings.region:
            return []
        now_s = self._clock.now()
        limit_s = PEER_TIMEOUT_S if zone == self._zone else FAR_ALIVE_S
        return [
            member.ip
            for member in self.by_ip.values()
            if member.zone == zone
            and member.is_ready
            and not member.is_leaving
            and now_s - member.last_packet_s <= limit_s
        ]

    def zone_members(self) -> list[peer_state.PeerState]:
        """Returns the other fronts of the zone that are heard."""
        return [m for m in self.live_members() if m.zone == self._zone]

    def live_members(self) -> list[peer_state.PeerState]:
        """Returns the other fronts that are heard, the own zone's first."""
        now_s = self._clock.now()
        heard = [
            member
            for member in self.by_ip.values()
            if now_s - member.last_packet_s <= self._limit_s(member)
        ]
        heard.sort(key=lambda member: member.zone != self._zone)
        return heard

    def store_contact_s(self) -> float:
        """Returns for how long some front has reached the store, seconds."""
        return max(
            (member.store_contact_s for member in self.live_members()),
            default=0.0,
        )

    def config_version(self) -> int:
        """Returns the newest configuration that a heard front runs."""
        return max(
            (member.config_version for member in self.live_members()),
            default=0,
        )

    def live_share(self) -> float:
        """Returns the share of the region's fronts that are heard.

        This front counts as heard.
        """
        now_s = self._clock.now()
        regions = self._settings.regions_by_zone
        near = [
            member
            for member in self.by_ip.values()
            if regions[self._zones[member.zone]] == self._settings.region
        ]
        heard = sum(
            now_s - member.last_packet_s <= self._limit_s(member)
            for member in near
        )
        return (heard + 1) / (len(near) + 1)

    def _limit_s(self, member: peer_state.PeerState) -> float:
        return PEER_TIMEOUT_S if member.zone == self._zone else FAR_ALIVE_S

    def _ask_seeds(self) -> None:
        packet = self._packet(requests_members=True).encode()
        for ip, _ in self._settings.seeds:
            if ip != self._settings.ip:
                self._datagram.send(self._address(ip), packet)

    def _beat_near(self) -> None:
        self._send_near(self._packet(has_view=True).encode())
        now_s = self._clock.now()
        for ip, member in list(self.by_ip.items()):
            last_s = max(member.last_packet_s, member.discovered_s)
            if now_s - last_s > FORGET_S:
                del self.by_ip[ip]

    def _beat_far(self) -> None:
        self._send_far(self._packet(relay_in_zone=True, has_view=True))

    def _send_near(self, data: bytes) -> None:
        for member in self.by_ip.values():
            if member.zone == self._zone:
                self._datagram.send(self._address(member.ip), data)

    def _send_regions(
        self, packet: membership_packet.MembershipPacket
    ) -> None:
        data = packet.encode()
        regions = self._settings.regions_by_zone
        by_region: dict[str, list[str]] = {}
        for member in self.by_ip.values():
            region = regions[self._zones[member.zone]]
            by_region.setdefault(region, []).append(member.ip)
        for region, ips in by_region.items():
            if region != self._settings.region:
                self._datagram.send(self._address(self._rng.choice(ips)), data)

    def _send_far(self, packet: membership_packet.MembershipPacket) -> None:
        data = packet.encode()
        now_s = self._clock.now()
        region = self._settings.region
        for zone, name in enumerate(self._zones):
            if zone == self._zone:
                continue
            if self._settings.regions_by_zone[name] != region:
                continue
            known = [m for m in self.by_ip.values() if m.zone == zone]
            heard = [
                m for m in known if now_s - m.last_packet_s <= FAR_ALIVE_S
            ]
            if heard or known:
                relay = self._rng.choice(heard or known)
                self._datagram.send(self._address(relay.ip), data)

    def _receive(self, sender: str, data: bytes) -> None:
        try:
            packet = membership_packet.decode(data)
        except errors.PeerError:
            self.rejected_packets += 1
            return
        if packet.ip == self._settings.ip or packet.zone >= len(self._zones):
            return
        if not self._note(packet):
            return
        if packet.relay_in_region:
            packet.relay_in_region = False
            self._send_near(packet.encode())
            packet.relay_in_zone = True
            self._send_far(packet)
        elif packet.relay_in_zone:
            packet.relay_in_zone = False
            self._send_near(packet.encode())
        for ip, zone in packet.members:
            self._learn(ip, zone)
        if packet.requests_members:
            self._answer(packet)
        is_same_zone = packet.zone == self._zone
        for item in packet.evidence:
            self._hear(item, packet.ip, is_same_zone)

    def _note(self, packet: membership_packet.MembershipPacket) -> bool:
        member = self._learn(packet.ip, packet.zone)
        if member is None:
            return False
        now_s = self._clock.now()
        is_older = packet.incarnation < member.incarnation
        if is_older and now_s - member.last_packet_s <= PEER_TIMEOUT_S:
            return False
        if packet.incarnation != member.incarnation:
            # The number comes from the host's clock, which may have been
            # set back; a front that was silent may have a lower one.
            member.incarnation = packet.incarnation
            member.is_leaving = False
            member.view = None
        was = member.is_ready, member.is_leaving
        member.is_ready = packet.is_ready
        # A stop is final for an incarnation; packets may be out of order.
        member.is_leaving = member.is_leaving or packet.is_leaving
        member.config_version = packet.config_version
        member.store_contact_s = packet.store_contact_s
        member.last_packet_s = now_s
        if packet.view is not None:
            has_changed = not packet.view.is_equal(member.view)
            member.view = packet.view
            if has_changed:
                self._on_view()
        if was != (member.is_ready, member.is_leaving):
            logs.event(
                self._log,
                "front_changed",
                front=member.ip,
                incarnation=member.incarnation,
                ready=member.is_ready,
                leaving=member.is_leaving,
            )
        return True

    def _learn(self, ip: str, zone: int) -> peer_state.PeerState | None:
        if ip == self._settings.ip or zone >= len(self._zones):
            return None
        member = self.by_ip.get(ip)
        if member is None:
            member = self.by_ip[ip] = peer_state.PeerState(
                ip=ip, zone=zone, discovered_s=self._clock.now()
            )
            if zone == self._zone:
                self._datagram.send(
                    self._address(ip), self._packet(has_view=True).encode()
                )
        member.zone = zone
        return member

    def _answer(self, packet: membership_packet.MembershipPacket) -> None:
        """Tells a front that has started the members of its region."""
        regions = self._settings.regions_by_zone
        region = regions[self._zones[packet.zone]]
        members = [
            (member.ip, member.zone)
            for member in self.by_ip.values()
            if regions[self._zones[member.zone]] == region
            and member.ip != packet.ip
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


def _ignore_view() -> None:
    """Drops the news until somebody subscribes."""


def _ignore(item: evidences.Evidence, front: str, near: bool) -> None:
    """Drops evidence until the front has started."""
