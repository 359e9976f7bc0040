"""Transmission of the requests and replies of table syncs."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import fleet_pb2
from fuchsiacourse import table_sync
from fuchsiacourse import timers as timer_services

# A long reply is sent in groups of REPLY_GROUP packets, REPLY_PAUSE_S seconds
# apart, so that the packets don't overflow the receiver's socket buffer.
REPLY_GROUP = 8
REPLY_PAUSE_S = 0.05


class TableExchange:
    """Sends member records in packets of bounded size.

    Args:
        clock: Source of time.
        timers: Timer service of the process.
        transmit: Sends a packet, called with address, kind and fields.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        transmit: typing.Callable[..., None],
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._transmit = transmit

    def request(self, address: str, chunk: table_sync.SyncChunk) -> None:
        """Asks the member at an address to compare a range of its table."""
        self._transmit(
            address,
            fleet_pb2.GossipPacket.SYNC_REQUEST,
            range_after=chunk.range_after,
            range_through=chunk.range_through,
            records=chunk.records,
        )

    def reply(self, address: str, records: table_sync.Records) -> None:
        """Sends records in as many packets as needed.

        More than REPLY_GROUP packets are sent in the background with a
        pause between groups.
        """
        chunks = list(table_sync.split(records))
        if len(chunks) <= REPLY_GROUP:
            self._send(address, chunks)
        else:
            self._timers.spawn(self._send_paced(address, chunks))

    async def _send_paced(
        self, address: str, chunks: list[table_sync.Records]
    ) -> None:
        for start in range(0, len(chunks), REPLY_GROUP):
            self._send(address, chunks[start : start + REPLY_GROUP])
            await self._clock.sleep(REPLY_PAUSE_S)

    def _send(self, address: str, chunks: list[table_sync.Records]) -> None:
        for records in chunks:
            self._transmit(
                address, fleet_pb2.GossipPacket.SYNC_REPLY, records=records
            )
