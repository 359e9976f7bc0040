"""Packets between fronts.

A packet tells the state of its origin and carries any number of pieces of
evidence, or a list of members.
"""

from __future__ import annotations

import ipaddress
import struct

from fuchsiacourse import errors
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import store_view

_MARK = b"F1"
# Mark, flags, zone, origin, incarnation, configuration, time since the store
# is reached in tenths of a second, counts.
_HEAD = struct.Struct("<2sBB4sIIBBB")
# Target, outcome, kind, in flight, reported load, milliseconds,
# fingerprint.
_EVIDENCE = struct.Struct("<QBBBBHQ")
_MEMBER = struct.Struct("<4sB")
# Flags, capacity, revision of the configuration and of the registrations.
_VIEW = struct.Struct("<BBQQ")
_READY = 1
_LEAVING = 2
_RELAY = 4
_ASKS_MEMBERS = 8
_REGION_RELAY = 16
_HAS_VIEW = 32
_PROVEN = 1
_LOST = 2
_NO_REPORT = 255
_MAX_BYTE = 254
_MAX_MS = 65_535
# Keeps a packet within one frame of Ethernet.
MAX_EVIDENCE = 60
MAX_MEMBERS = 200


class MembershipPacket:
    """Packet of one front.

    Args:
        ip: IP number of the front that it tells of.
        zone: Index of that front's availability zone.
        incarnation: Number that rises with each start of the front.
        config_version: Version of the configuration in force there.
        store_s: Time since which that front reaches the store, in seconds
            and at most 25; 0 while it does not.
        is_ready: Whether the front serves callers.
        is_leaving: Whether the front is stopping.
        is_relayed: Whether the receiver passes the packet on in its zone.
        is_region_relayed: Whether the receiver passes the packet on in its
            region.
        asks_members: Whether the receiver answers with its members.
        evidence: What the front has seen.
        members: IP number and zone of fronts.
        view: Contact with the store; only some packets carry it.
    """

    __slots__ = (
        "ip",
        "zone",
        "incarnation",
        "config_version",
        "store_contact_s",
        "is_ready",
        "is_leaving",
        "relay_in_zone",
        "relay_in_region",
        "requests_members",
        "evidence",
        "members",
        "view",
    )

    def __init__(
        self,
        *,
        ip: str,
        zone: int,
        incarnation: int,
        config_version: int,
        store_contact_s: float,
        is_ready: bool,
        is_leaving: bool,
        relay_in_zone: bool = False,
        relay_in_region: bool = False,
        requests_members: bool = False,
        evidence: list[evidences.Evidence] | None = None,
        members: list[tuple[str, int]] | None = None,
        view: store_view.StoreView | None = None,
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.incarnation = incarnation
        self.config_version = config_version
        self.store_contact_s = store_contact_s
        self.is_ready = is_ready
        self.is_leaving = is_leaving
        self.relay_in_zone = relay_in_zone
        self.relay_in_region = relay_in_region
        self.requests_members = requests_members
        self.evidence = evidence or []
        self.members = members or []
        self.view = view

    def encode(self) -> bytes:
        """Returns the bytes of the packet."""
        flags = _READY * self.is_ready | _LEAVING * self.is_leaving
        flags |= (
            _RELAY * self.relay_in_zone | _ASKS_MEMBERS * self.requests_members
        )
        flags |= _REGION_RELAY * self.relay_in_region
        flags |= _HAS_VIEW * (self.view is not None)
        head = _HEAD.pack(
            _MARK,
            flags,
            self.zone,
            ipaddress.IPv4Address(self.ip).packed,
            self.incarnation,
            self.config_version,
            min(_MAX_BYTE, int(self.store_contact_s * 10.0)),
            len(self.evidence),
            len(self.members),
        )
        parts = [head]
        parts.extend(_encoded(item) for item in self.evidence)
        parts.extend(
            _MEMBER.pack(ipaddress.IPv4Address(ip).packed, zone)
            for ip, zone in self.members
        )
        if self.view is not None:
            parts.append(_encoded_view(self.view))
        return b"".join(parts)


def decode(data: bytes) -> MembershipPacket:
    """Returns the packet in some bytes.

    Raises:
        PeerError: The bytes are not a packet.
    """
    try:
        return _decoded(data)
    except (struct.error, ValueError) as error:
        raise errors.PeerError(f"not a packet: {error!r}") from error


def _decoded(data: bytes) -> MembershipPacket:
    (
        mark,
        flags,
        zone,
        origin,
        incarnation,
        version,
        store_tenths,
        pieces,
        members,
    ) = _HEAD.unpack_from(data)
    if mark != _MARK:
        raise ValueError("unknown mark")
    offset = _HEAD.size
    found = []
    for _ in range(pieces):
        found.append(_evidence(data, offset))
        offset += _EVIDENCE.size
    listed = []
    for _ in range(members):
        ip, member_zone = _MEMBER.unpack_from(data, offset)
        listed.append((str(ipaddress.IPv4Address(ip)), member_zone))
        offset += _MEMBER.size
    view = _view(data, offset) if flags & _HAS_VIEW else None
    return MembershipPacket(
        ip=str(ipaddress.IPv4Address(origin)),
        zone=zone,
        incarnation=incarnation,
        config_version=version,
        store_contact_s=store_tenths / 10.0,
        is_ready=bool(flags & _READY),
        is_leaving=bool(flags & _LEAVING),
        relay_in_zone=bool(flags & _RELAY),
        relay_in_region=bool(flags & _REGION_RELAY),
        requests_members=bool(flags & _ASKS_MEMBERS),
        evidence=found,
        members=listed,
        view=view,
    )


def _encoded_view(view: store_view.StoreView) -> bytes:
    return _VIEW.pack(
        _PROVEN * view.is_proven | _LOST * view.is_lost,
        view.capacity,
        view.config_revision,
        view.target_revision,
    )


def _view(data: bytes, offset: int) -> store_view.StoreView:
    flags, capacity, config, targets = _VIEW.unpack_from(data, offset)
    return store_view.StoreView(
        is_proven=bool(flags & _PROVEN),
        is_lost=bool(flags & _LOST),
        capacity=capacity,
        config_revision=config,
        target_revision=targets,
    )


def _encoded(item: evidences.Evidence) -> bytes:
    return _EVIDENCE.pack(
        item.target_key,
        item.outcome or 0,
        item.kind,
        min(_MAX_BYTE, item.in_flight),
        _NO_REPORT if item.reported is None else min(_MAX_BYTE, item.reported),
        min(_MAX_MS, int(item.took_s * 1000.0)),
        item.fingerprint,
    )


def _evidence(data: bytes, offset: int) -> evidences.Evidence:
    key, outcome, kind, in_flight, reported, took_ms, fingerprint = (
        _EVIDENCE.unpack_from(data, offset)
    )
    return evidences.Evidence(
        target_key=key,
        outcome=outcomes.Outcome(outcome) if outcome else None,
        kind=evidences.AttemptKind(kind),
        in_flight=in_flight,
        took_s=took_ms / 1000.0,
        reported=None if reported == _NO_REPORT else reported,
        fingerprint=fingerprint,
    )
