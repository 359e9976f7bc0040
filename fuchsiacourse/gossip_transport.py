"""Sends and receives gossip packets and counts their bytes."""

from __future__ import annotations

import collections
import collections.abc
import typing

from fuchsiacourse import datagram as datagrams
from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import logs
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_tables

Handler = typing.Callable[[fleet_pb2.GossipPacket], None]


class GossipTransport:
    """Delivers authentic packets from other members and drops all others.

    Args:
        datagram: Datagram endpoint to send and receive on.
        members: Table of members.
        deployment_key: Secret that the members of a deployment share.
        handler: Called with each valid packet from another member.
        metrics: Metrics of the process, or None.
        log: Logger.
    """

    def __init__(
        self,
        *,
        datagram: datagrams.DatagramEndpoint,
        members: member_tables.Members,
        deployment_key: str,
        handler: Handler,
        metrics: metric_tables.Metrics | None,
        log: typing.Any,
    ) -> None:
        self._datagram = datagram
        self._members = members
        self._codec = gossip_codec.GossipCodec(deployment_key=deployment_key)
        self._handler = handler
        self._metrics = metrics
        self._log = log
        self.bytes_sent = 0
        self.bytes_received = 0
        self.packets_sent = 0
        self.packets_received = 0
        self.dropped_by_reason: collections.Counter[str] = (
            collections.Counter()
        )

    def open(self) -> None:
        """Starts to receive datagrams."""
        self._datagram.set_receiver(self._receive)

    def send(
        self,
        address: str,
        kind: int,
        *,
        records: collections.abc.Iterable[fleet_pb2.MemberRecord] = (),
        **fields: typing.Any,
    ) -> None:
        """Sends a signed packet.

        Args:
            address: Receiver as ``ip:port``.
            kind: Kind of the packet.
            records: Member records to carry.
            **fields: Other fields of GossipPacket.
        """
        own = self._members.self
        packet = fleet_pb2.GossipPacket(
            kind=kind,
            sender=own.id,
            sender_address=own.gossip_address,
            config_number=own.config_number,
            updates=records,
            **fields,
        )
        payload = self._codec.encode(packet)
        self.bytes_sent += len(payload)
        self.packets_sent += 1
        self._count("sent", len(payload))
        self._datagram.send(address, payload)

    def _receive(self, address: str, payload: bytes) -> None:
        self.bytes_received += len(payload)
        self.packets_received += 1
        self._count("received", len(payload))
        if len(payload) > gossip_codec.MAX_PACKET_BYTES:
            self._drop("malformed", address)
            return
        try:
            packet = self._codec.decode(payload)
        except gossip_codec.PacketError as error:
            self._drop(error.reason, address)
            return
        if packet.sender == self._members.self.id:
            self._drop("own", address)
            return
        self._handler(packet)

    def _drop(self, reason: str, address: str) -> None:
        self.dropped_by_reason[reason] += 1
        logs.event(
            self._log, "gossip_packet_dropped", reason=reason, sender=address
        )
        if self._metrics is not None:
            self._metrics.count(
                "gossip_dropped_total",
                "Datagrams that were not valid packets.",
                reason=reason,
            )

    def _count(self, direction: str, size: int) -> None:
        if self._metrics is None:
            return
        self._metrics.add(
            "gossip_bytes_total",
            "Bytes of gossip datagrams.",
            size,
            direction=direction,
        )
