"""Dissemination of member table changes to the fleet."""

from __future__ import annotations

import collections.abc
import typing

from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import members as member_tables
from fuchsiacourse import probe_schedule
from fuchsiacourse import timers as timer_services
from fuchsiacourse import update_buffer

# Urgent changes are pushed every PUSH_INTERVAL_S to PUSH_FANOUT members.
# Piggybacking on probes alone is too slow for the bound on membership changes.
PUSH_INTERVAL_S = 0.2
PUSH_FANOUT = 3

# Maximum bytes of member records in a probe or its answer.
PIGGYBACK_BYTES = 400

Records = collections.abc.Sequence[fleet_pb2.MemberRecord]


class Dissemination:
    """Piggybacks changes on other packets and pushes urgent ones.

    Args:
        timers: Timer service of the process.
        members: Table of members.
        schedule: Selects the receivers of pushes.
        encoder: Returns the record of a member, as for UpdateBuffer.
        transmit: Sends a packet, called with address, kind and fields.
    """

    def __init__(
        self,
        *,
        timers: timer_services.Timers,
        members: member_tables.Members,
        schedule: probe_schedule.ProbeSchedule,
        encoder: update_buffer.Encoder,
        transmit: typing.Callable[..., None],
    ) -> None:
        self._timers = timers
        self._members = members
        self._schedule = schedule
        self._transmit = transmit
        self._buffer = update_buffer.UpdateBuffer(encoder=encoder)
        self._is_push_due = False
        self._is_closed = False

    def close(self) -> None:
        """Stops sending."""
        self._is_closed = True

    def add(self, id: str, *, is_complete: bool, is_urgent: bool) -> None:
        """Queues a changed member for dissemination.

        Args:
            id: Identifier of the member.
            is_complete: Whether to send the complete record, for receivers
                that may not know the member.
            is_urgent: Whether to push without waiting for a probe.
        """
        self._buffer.add(id, is_complete=is_complete, is_urgent=is_urgent)
        if is_urgent and not self._is_push_due:
            self._is_push_due = True
            self._timers.after(0.0, self._push)

    def push(self, fanout: int = PUSH_FANOUT) -> None:
        """Sends changes and the configuration number to random members.

        Args:
            fanout: Number of receivers.
        """
        for row in self._schedule.sample(fanout, without_suspects=True):
            self.send(
                row.gossip_address,
                fleet_pb2.GossipPacket.PUSH,
                max_bytes=gossip_codec.MAX_UPDATE_BYTES,
            )

    def send(
        self,
        address: str,
        kind: int,
        *,
        records: Records = (),
        max_bytes: int = PIGGYBACK_BYTES,
        **fields: typing.Any,
    ) -> None:
        """Sends a packet and fills it up with queued changes.

        Args:
            address: Receiver as ``ip:port``.
            kind: Kind of the packet.
            records: Records that it must carry.
            max_bytes: Limit on the size of all records.
            **fields: Other fields of GossipPacket.
        """
        if self._is_closed:
            return
        max_bytes -= sum(gossip_codec.packed_size(item) for item in records)
        updates = self._buffer.take(
            max_bytes=max_bytes, fleet_size=len(self._members.by_id)
        )
        self._transmit(address, kind, records=[*records, *updates], **fields)

    def _push(self) -> None:
        self._is_push_due = False
        if self._is_closed or not self._buffer.has_urgent:
            return
        self.push()
        if self._buffer.has_urgent:
            self._is_push_due = True
            self._timers.after(PUSH_INTERVAL_S, self._push)
