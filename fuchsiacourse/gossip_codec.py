"""Encoding, authentication and validation of gossip packets."""

from __future__ import annotations

import hashlib
import hmac
import re

from google.protobuf import message

from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables

# Largest datagram in bytes; below the smallest MTU expected, so that no
# packet is fragmented.
MAX_PACKET_BYTES = 1300

# Bytes reserved for the packet's own fields and the authentication code.
_HEADER_BYTES = 200
MAX_UPDATE_BYTES = MAX_PACKET_BYTES - _HEADER_BYTES

_MAC_BYTES = 16
_MAX_NAME_LENGTH = 63
_ID = re.compile(r"[0-9a-f]{16}")
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_ROLES = (member_tables.ENTRY, member_tables.DISPATCH)

_WIRE_BY_STATE = {
    member_rows.State.ALIVE: fleet_pb2.ALIVE,
    member_rows.State.SUSPECT: fleet_pb2.SUSPECT,
    member_rows.State.LEAVING: fleet_pb2.LEAVING,
    member_rows.State.LEFT: fleet_pb2.LEFT,
    member_rows.State.DEAD: fleet_pb2.DEAD,
}
_STATE_BY_WIRE = {wire: state for state, wire in _WIRE_BY_STATE.items()}


class PacketError(errors.FuchsiacourseError):
    """A datagram is not a packet of this deployment.

    Args:
        reason: ``malformed`` or ``unauthenticated``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"gossip packet is {reason}")
        self.reason = reason


class GossipCodec:
    """Encodes packets with a message authentication code and verifies it.

    Args:
        deployment_key: Secret that the members of a deployment share.
    """

    def __init__(self, *, deployment_key: str) -> None:
        self._key = deployment_key.encode()

    def encode(self, packet: fleet_pb2.GossipPacket) -> bytes:
        """Returns the signed datagram of a packet."""
        payload = packet.SerializeToString()
        signed = fleet_pb2.SignedPacket(
            payload=payload, mac=self._mac(payload)
        )
        return signed.SerializeToString()

    def decode(self, datagram: bytes) -> fleet_pb2.GossipPacket:
        """Returns the verified packet of a datagram.

        Raises:
            PacketError: The datagram is malformed, or its authentication
                code does not match the deployment key.
        """
        try:
            signed = fleet_pb2.SignedPacket.FromString(datagram)
        except message.DecodeError as error:
            raise PacketError("malformed") from error
        if not hmac.compare_digest(signed.mac, self._mac(signed.payload)):
            raise PacketError("unauthenticated")
        try:
            packet = fleet_pb2.GossipPacket.FromString(signed.payload)
        except message.DecodeError as error:
            raise PacketError("malformed") from error
        if not _is_valid(packet):
            raise PacketError("malformed")
        return packet

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, hashlib.sha256)[:_MAC_BYTES]


def wire_state(state: member_rows.State) -> int:
    """Returns the protobuf enum value of a state."""
    return _WIRE_BY_STATE[state]


def state_of(record: fleet_pb2.MemberRecord) -> member_rows.State:
    """Returns the member state that a record carries."""
    return _STATE_BY_WIRE[record.state]


def is_record_request(record: fleet_pb2.MemberRecord) -> bool:
    """Whether a record requests a member that the sender doesn't know."""
    return record.state == fleet_pb2.MEMBER_UNSPECIFIED


def row_of(record: fleet_pb2.MemberRecord) -> member_rows.Member:
    """Returns a new row for a complete record."""
    return member_rows.Member(
        id=record.id,
        role=record.role,
        host=record.host,
        availability_zone=record.availability_zone,
        region=record.region,
        gossip_address=record.gossip_address,
        rpc_address=record.rpc_address,
        http_address=record.http_address,
        state=state_of(record),
        sequence=record.sequence,
        config_number=record.config_number,
        successor=record.successor,
    )


def record_of(
    row: member_rows.Member,
    *,
    state: member_rows.State,
    complete: bool,
    now_s: float,
) -> fleet_pb2.MemberRecord:
    """Returns the record of a row.

    Args:
        row: Row to encode.
        state: State to announce; may differ from the row's own.
        complete: Whether to include the fields that never change, for
            receivers that don't know the member.
        now_s: Monotonic time in seconds.
    """
    record = fleet_pb2.MemberRecord(
        id=row.id,
        state=_WIRE_BY_STATE[state],
        sequence=row.sequence,
        config_number=row.config_number,
        successor=row.successor,
    )
    if row.is_gone:
        record.gone_s = max(0, int(now_s - row.state_since))
    if complete:
        record.role = row.role
        record.host = row.host
        record.availability_zone = row.availability_zone
        record.region = row.region
        record.gossip_address = row.gossip_address
        record.rpc_address = row.rpc_address
        record.http_address = row.http_address
    return record


def packed_size(record: fleet_pb2.MemberRecord) -> int:
    """Returns a record's size in a packet, with tag and length, in bytes."""
    size = record.ByteSize()
    return size + 2 + (size > 127)


def _is_valid(packet: fleet_pb2.GossipPacket) -> bool:
    return (
        packet.kind in fleet_pb2.GossipPacket.Kind.values()
        and packet.kind != fleet_pb2.GossipPacket.KIND_UNSPECIFIED
        and _ID.fullmatch(packet.sender) is not None
        and _ADDRESS.fullmatch(packet.sender_address) is not None
        and _is_optional(_ID, packet.subject)
        and _is_optional(_ADDRESS, packet.subject_address)
        and all(_is_valid_record(record) for record in packet.updates)
    )


def _is_valid_record(record: fleet_pb2.MemberRecord) -> bool:
    if _ID.fullmatch(record.id) is None:
        return False
    if not _is_optional(_ID, record.successor):
        return False
    if record.state not in fleet_pb2.MemberState.values():
        return False
    if not record.role:
        return True
    return (
        not is_record_request(record)
        and record.role in _ROLES
        and 0 < len(record.host) <= _MAX_NAME_LENGTH
        and 0 < len(record.availability_zone) <= _MAX_NAME_LENGTH
        and 0 < len(record.region) <= _MAX_NAME_LENGTH
        and _ADDRESS.fullmatch(record.gossip_address) is not None
        and _ADDRESS.fullmatch(record.rpc_address) is not None
        and _is_optional(_ADDRESS, record.http_address)
    )


def _is_optional(pattern: re.Pattern[str], value: str) -> bool:
    return not value or pattern.fullmatch(value) is not None
