"""Encodes and decodes bundles of what several fronts report.

A hub gathers the reports and heartbeats of many fronts for some milliseconds
and passes them on in one bundle, so that the number of packets that a front
receives doesn't grow with the number of fronts.
"""

from __future__ import annotations

import collections.abc
import struct

from fuchsiacourse import errors
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import ip_bytes
from fuchsiacourse.front import outcome as outcomes

MAGIC = b"F2"
# Header: magic number, flags, number of packets, number of reports.
_HEAD = struct.Struct("<2sBBH")
# Report: IP address of the origin, its zone index, target key, kind of attempt
# and outcome (0 for none), requests in flight, reported load, duration in
# milliseconds.
_REPORT = struct.Struct("<4sBQBBBH")
# Position of the kind of attempt and outcome within a report.
_CODE_OFFSET = 13
# Packet: length, sequence number of the origin.
_PACKET = struct.Struct("<HQ")
REPORT_BYTES = _REPORT.size
# Keeps a bundle within one Ethernet frame.
MAX_BYTES = 1400
MAX_PACKETS = 255
# The receiver passes the content on to the fronts of its zone, and also to
# the other zones of its region.
_RELAY_IN_ZONE = 1
_RELAY_IN_REGION = 2
_KIND_SHIFT = 5
_OUTCOME_MASK = (1 << _KIND_SHIFT) - 1
# Reported load if the target reported none; other values end at 254.
_NO_LOAD = 255
_MAX_BYTE = 254
_MAX_MS = 65_535

_OUTCOMES_BY_VALUE: dict[int, outcomes.Outcome | None] = {
    0: None,
    **{outcome.value: outcome for outcome in outcomes.Outcome},
}
_FAILURES = frozenset(
    (
        outcomes.Outcome.FAILED,
        outcomes.Outcome.LOST,
        outcomes.Outcome.BAD_ANSWER,
        outcomes.Outcome.UNREACHED,
    )
)
_KINDS_BY_VALUE = {kind.value: kind for kind in evidences.AttemptKind}

# IP address of the origin, index of its zone, evidence.
OriginReport = tuple[str, int, evidences.Evidence]


class SequencedPacket:
    """Packet of one front within a bundle.

    Args:
        sequence: Number that rises with each packet of the origin, also over
            restarts.
        data: Encoded MembershipPacket.
    """

    __slots__ = ("sequence", "data")

    def __init__(self, *, sequence: int, data: bytes) -> None:
        self.sequence = sequence
        self.data = data


class PacketBundle:
    """Reports and packets of several fronts.

    Args:
        relay_in_zone: Whether the receiver passes the content on to the
            fronts of its zone.
        relay_in_region: Whether it does so in its whole region.
        reports: Encoded reports, one after the other.
        packets: Packets of fronts.
    """

    __slots__ = ("relay_in_zone", "relay_in_region", "reports", "packets")

    def __init__(
        self,
        *,
        relay_in_zone: bool = False,
        relay_in_region: bool = False,
        reports: bytes = b"",
        packets: collections.abc.Sequence[SequencedPacket] = (),
    ) -> None:
        self.relay_in_zone = relay_in_zone
        self.relay_in_region = relay_in_region
        self.reports = reports
        self.packets = packets

    def encode(self) -> list[bytes]:
        """Returns the content as datagrams of at most MAX_BYTES.

        A packet that is longer than that has a datagram of its own.
        """
        flags = (
            _RELAY_IN_ZONE * self.relay_in_zone
            | _RELAY_IN_REGION * self.relay_in_region
        )
        datagrams = []
        room = MAX_BYTES - _HEAD.size
        step = room // REPORT_BYTES * REPORT_BYTES
        rest = self.reports
        while len(rest) > step:
            datagrams.append(_encoded(flags, rest[:step], []))
            rest = rest[step:]
        part: list[SequencedPacket] = []
        used = len(rest)
        for packet in self.packets:
            size = _PACKET.size + len(packet.data)
            if (part or rest) and (
                used + size > room or len(part) == MAX_PACKETS
            ):
                datagrams.append(_encoded(flags, rest, part))
                rest, part, used = b"", [], 0
            part.append(packet)
            used += size
        if part or rest:
            datagrams.append(_encoded(flags, rest, part))
        return datagrams


def _encoded(
    flags: int, reports: bytes, packets: list[SequencedPacket]
) -> bytes:
    count = len(reports) // REPORT_BYTES
    parts = [_HEAD.pack(MAGIC, flags, len(packets), count), reports]
    for packet in packets:
        parts.append(_PACKET.pack(len(packet.data), packet.sequence))
        parts.append(packet.data)
    return b"".join(parts)


def decode(data: bytes) -> PacketBundle:
    """Returns the decoded bundle; its packets are not decoded yet.

    Raises:
        PeerError: The bytes are not a valid bundle.
    """
    try:
        return _decoded(data)
    except (struct.error, ValueError) as error:
        raise errors.PeerError(f"malformed bundle: {error!r}") from error


def _decoded(data: bytes) -> PacketBundle:
    magic, flags, packet_count, report_count = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise ValueError("unknown magic number")
    offset = _HEAD.size + report_count * REPORT_BYTES
    reports = data[_HEAD.size : offset]
    packets = []
    for _ in range(packet_count):
        length, sequence = _PACKET.unpack_from(data, offset)
        offset += _PACKET.size
        packets.append(
            SequencedPacket(
                sequence=sequence, data=data[offset : offset + length]
            )
        )
        offset += length
    if offset != len(data):
        raise ValueError(f"{len(data)} bytes in place of {offset}")
    return PacketBundle(
        relay_in_zone=bool(flags & _RELAY_IN_ZONE),
        relay_in_region=bool(flags & _RELAY_IN_REGION),
        reports=reports,
        packets=packets,
    )


def encode_report(ip: str, zone: int, evidence: evidences.Evidence) -> bytes:
    """Returns an encoded report; it has no room for a fingerprint.

    Args:
        ip: IP address of the front that reports.
        zone: Index of its availability zone.
        evidence: What it reports.
    """
    load = evidence.reported_load
    return _REPORT.pack(
        ip_bytes.to_bytes(ip),
        zone,
        evidence.target_key,
        evidence.kind << _KIND_SHIFT | (evidence.outcome or 0),
        min(_MAX_BYTE, evidence.in_flight),
        _NO_LOAD if load is None else min(_MAX_BYTE, load),
        min(_MAX_MS, int(evidence.took_s * 1000.0)),
    )


def is_urgent(reports: bytes) -> bool:
    """Returns whether encoded reports change what others do at once.

    That is a failure, or a start at a target with a rate limit.

    Args:
        reports: Encoded reports, one after the other.
    """
    return any(
        reports[at] & _OUTCOME_MASK in _FAILURES
        or reports[at] >> _KIND_SHIFT == evidences.AttemptKind.FIRST_PACED
        for at in range(_CODE_OFFSET, len(reports), REPORT_BYTES)
    )


def decode_reports(reports: bytes) -> collections.abc.Iterator[OriginReport]:
    """Yields the reports; those of unknown outcomes or kinds are left out.

    Args:
        reports: Encoded reports, one after the other.
    """
    for (
        origin,
        zone,
        key,
        code,
        in_flight,
        load,
        took_ms,
    ) in _REPORT.iter_unpack(reports):
        kind = _KINDS_BY_VALUE.get(code >> _KIND_SHIFT)
        value = code & _OUTCOME_MASK
        if kind is None or value not in _OUTCOMES_BY_VALUE:
            continue
        yield ip_bytes.to_text(origin), zone, evidences.Evidence(
            target_key=key,
            outcome=_OUTCOMES_BY_VALUE[value],
            kind=kind,
            in_flight=in_flight,
            took_s=took_ms / 1000.0,
            reported_load=None if load == _NO_LOAD else load,
        )
