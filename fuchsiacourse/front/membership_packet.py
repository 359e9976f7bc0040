"""Encodes and decodes the packets that fronts exchange.

A packet holds the state of its origin, pieces of evidence and members.
"""

from __future__ import annotations

import struct

from fuchsiacourse import errors
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import ip_bytes
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import store_view

_MAGIC = b"F1"
# Header: magic number, flags, zone index, IP address of the origin,
# incarnation, configuration version, duration of the contact with the store in
# tenths of a second, number of pieces of evidence, number of members.
_HEAD = struct.Struct("<2sBB4sIIBBB")
# Piece of evidence: target key, outcome (0 for none), kind of attempt,
# requests in flight, reported load, duration in milliseconds, fingerprint.
_EVIDENCE = struct.Struct("<QBBBBHQ")
# Member: IP address, zone index.
_MEMBER = struct.Struct("<4sB")
# View of the store: flags, capacity in Mbit/s, revisions of the configuration
# and of the registrations.
_VIEW = struct.Struct("<BBQQ")
# Number of rate limits at the end of the packet. Builds that don't know them
# ignore what follows the parts that they know.
_LIMIT_COUNT = struct.Struct("<B")
# Rate limit: index of the piece of evidence, requests per second.
_LIMIT = struct.Struct("<Bf")
# Eras of the view's two revisions, at its end.
_ERAS = struct.Struct("<II")
# Version of the configuration, at the end of a view, if it doesn't fit into
# the header. Builds that don't know it read the highest number of the header.
_LONG_VERSION = struct.Struct("<Q")
# Flags of the header.
_READY = 1
_LEAVING = 2
_RELAY_IN_ZONE = 4
_REQUESTS_MEMBERS = 8
_RELAY_IN_REGION = 16
_HAS_VIEW = 32
_HAS_BUNDLES = 64
_TELLS_LIMITS = 128
# Flags of the view of the store.
_PROVEN = 1
_LOST = 2
_HAS_ERAS = 4
_HAS_LONG_VERSION = 8
# Reported load if the target reported none; other values end at 254.
_NO_LOAD = 255
_MAX_BYTE = 254
_MAX_MS = 65_535
_MAX_32 = 2**32 - 1
_MAX_64 = 2**64 - 1
# Highest rate limit that a packet holds, in requests per second; more than any
# fleet sends to a target.
_MAX_RATE_PER_S = 1e9
# Each of these limits keeps a packet within one Ethernet frame; no packet
# holds both evidence and members.
MAX_EVIDENCE = 50
MAX_MEMBERS = 200
# Version that a packet without a view states for a higher one.
MAX_SHORT_VERSION = _MAX_32


class MembershipPacket:
    """Packet that originates at one front.

    Args:
        ip: IP address of the front that the packet originates at.
        zone: Index of that front's availability zone.
        incarnation: Number that rises with each start of that front.
        config_version: Version of the configuration in force there.
        store_contact_s: Time for which that front has been in contact with the
            store, in seconds and at most 25; 0 without contact.
        is_ready: Whether that front serves callers.
        is_leaving: Whether that front is shutting down.
        relay_in_zone: Whether the receiver is to relay the packet to the
            fronts of its zone.
        relay_in_region: Whether the receiver is to relay the packet to
            the fronts of its region.
        requests_members: Whether the receiver is to reply with its members.
        has_bundles: Whether that front understands bundles.
        tells_limits: Whether that front reports the rate limits of targets,
            so that evidence without one shows that there is none.
        evidence: Evidence of the health of targets.
        members: IP address and zone index of fronts.
        view: That front's view of the store, None in packets without it.
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
        "has_bundles",
        "tells_limits",
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
        has_bundles: bool = False,
        tells_limits: bool = False,
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
        self.has_bundles = has_bundles
        self.tells_limits = tells_limits
        self.evidence = evidence or []
        self.members = members or []
        self.view = view

    def encode(self) -> bytes:
        """Returns the packet as bytes."""
        flags = _READY * self.is_ready | _LEAVING * self.is_leaving
        flags |= (
            _RELAY_IN_ZONE * self.relay_in_zone
            | _REQUESTS_MEMBERS * self.requests_members
        )
        flags |= _RELAY_IN_REGION * self.relay_in_region
        flags |= _HAS_VIEW * (self.view is not None)
        flags |= _HAS_BUNDLES * self.has_bundles
        flags |= _TELLS_LIMITS * self.tells_limits
        head = _HEAD.pack(
            _MAGIC,
            flags,
            self.zone,
            ip_bytes.to_bytes(self.ip),
            min(_MAX_32, max(0, self.incarnation)),
            min(_MAX_32, self.config_version),
            min(_MAX_BYTE, int(self.store_contact_s * 10.0)),
            len(self.evidence),
            len(self.members),
        )
        parts = [head]
        parts.extend(_encoded_evidence(item) for item in self.evidence)
        parts.extend(
            _MEMBER.pack(ip_bytes.to_bytes(ip), zone)
            for ip, zone in self.members
        )
        if self.view is not None:
            parts.append(_encoded_view(self.view, self.config_version))
        if self.tells_limits:
            parts.extend(_encoded_limits(self.evidence))
        return b"".join(parts)


def decode(data: bytes) -> MembershipPacket:
    """Returns the decoded packet.

    Raises:
        PeerError: The bytes are not a valid packet.
    """
    try:
        return _decoded(data)
    except (struct.error, ValueError) as error:
        raise errors.PeerError(f"malformed packet: {error!r}") from error


def _decoded(data: bytes) -> MembershipPacket:
    (
        magic,
        flags,
        zone,
        origin,
        incarnation,
        version,
        store_tenths,
        evidence_count,
        member_count,
    ) = _HEAD.unpack_from(data)
    if magic != _MAGIC:
        raise ValueError("unknown magic number")
    offset = _HEAD.size
    evidence = []
    for _ in range(evidence_count):
        evidence.append(_decoded_evidence(data, offset))
        offset += _EVIDENCE.size
    members = []
    for _ in range(member_count):
        ip, member_zone = _MEMBER.unpack_from(data, offset)
        members.append((ip_bytes.to_text(ip), member_zone))
        offset += _MEMBER.size
    view = None
    if flags & _HAS_VIEW:
        view, long_version, offset = _decoded_view(data, offset)
        version = long_version or version
    if flags & _TELLS_LIMITS:
        _decode_limits(data, offset, evidence)
    return MembershipPacket(
        ip=ip_bytes.to_text(origin),
        zone=zone,
        incarnation=incarnation,
        config_version=version,
        store_contact_s=store_tenths / 10.0,
        is_ready=bool(flags & _READY),
        is_leaving=bool(flags & _LEAVING),
        relay_in_zone=bool(flags & _RELAY_IN_ZONE),
        relay_in_region=bool(flags & _RELAY_IN_REGION),
        requests_members=bool(flags & _REQUESTS_MEMBERS),
        has_bundles=bool(flags & _HAS_BUNDLES),
        tells_limits=bool(flags & _TELLS_LIMITS),
        evidence=evidence,
        members=members,
        view=view,
    )


def _encoded_limits(found: list[evidences.Evidence]) -> list[bytes]:
    stated = [
        (index, min(_MAX_RATE_PER_S, item.rate_limit))
        for index, item in enumerate(found)
        if item.states_limit
    ]
    return [
        _LIMIT_COUNT.pack(len(stated)),
        *(_LIMIT.pack(index, rate_limit) for index, rate_limit in stated),
    ]


def _decode_limits(
    data: bytes, offset: int, found: list[evidences.Evidence]
) -> None:
    """Sets the rate limits of decoded evidence.

    Raises:
        ValueError: A limit belongs to no evidence.
    """
    for item in found:
        item.set_unlimited()
    (count,) = _LIMIT_COUNT.unpack_from(data, offset)
    offset += _LIMIT_COUNT.size
    for _ in range(count):
        index, rate_limit = _LIMIT.unpack_from(data, offset)
        offset += _LIMIT.size
        if index >= len(found) or not rate_limit >= 0.0:
            raise ValueError("rate limit without evidence, or negative")
        found[index].rate_limit = rate_limit


def _encoded_view(view: store_view.StoreView, config_version: int) -> bytes:
    flags = _PROVEN * view.has_proven_contact | _LOST * view.has_lost_store
    eras = b""
    if view.config_era or view.target_era:
        flags |= _HAS_ERAS
        eras = _ERAS.pack(
            min(_MAX_32, view.config_era), min(_MAX_32, view.target_era)
        )
    long_version = b""
    if config_version > _MAX_32:
        flags |= _HAS_LONG_VERSION
        long_version = _LONG_VERSION.pack(min(_MAX_64, config_version))
    encoded = _VIEW.pack(
        flags,
        view.capacity,
        min(_MAX_64, view.config_revision),
        min(_MAX_64, view.target_revision),
    )
    return encoded + eras + long_version


def _decoded_view(
    data: bytes, offset: int
) -> tuple[store_view.StoreView, int, int]:
    """Returns the view at an offset and what follows it.

    Returns:
        The view, the version of the configuration if it doesn't fit into the
        header or else 0, and the offset behind them.
    """
    flags, capacity, config_revision, target_revision = _VIEW.unpack_from(
        data, offset
    )
    offset += _VIEW.size
    config_era = target_era = 0
    if flags & _HAS_ERAS:
        config_era, target_era = _ERAS.unpack_from(data, offset)
        offset += _ERAS.size
    long_version = 0
    if flags & _HAS_LONG_VERSION:
        (long_version,) = _LONG_VERSION.unpack_from(data, offset)
        offset += _LONG_VERSION.size
    view = store_view.StoreView(
        has_proven_contact=bool(flags & _PROVEN),
        has_lost_store=bool(flags & _LOST),
        capacity=capacity,
        config_revision=config_revision,
        target_revision=target_revision,
        config_era=config_era,
        target_era=target_era,
    )
    return view, long_version, offset


def _encoded_evidence(item: evidences.Evidence) -> bytes:
    return _EVIDENCE.pack(
        item.target_key,
        item.outcome or 0,
        item.kind,
        min(_MAX_BYTE, item.in_flight),
        (
            _NO_LOAD
            if item.reported_load is None
            else min(_MAX_BYTE, item.reported_load)
        ),
        min(_MAX_MS, int(item.took_s * 1000.0)),
        item.fingerprint,
    )


def _decoded_evidence(data: bytes, offset: int) -> evidences.Evidence:
    key, outcome, kind, in_flight, reported_load, took_ms, fingerprint = (
        _EVIDENCE.unpack_from(data, offset)
    )
    return evidences.Evidence(
        target_key=key,
        outcome=outcomes.Outcome(outcome) if outcome else None,
        kind=evidences.AttemptKind(kind),
        in_flight=in_flight,
        took_s=took_ms / 1000.0,
        reported_load=None if reported_load == _NO_LOAD else reported_load,
        fingerprint=fingerprint,
    )
