"""Anti-entropy between the member tables of two members."""

from __future__ import annotations

import collections.abc

from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import member_merge
from fuchsiacourse import members as member_tables

# Maximum request packets of one round. A larger table is compared over
# several rounds, so that the cost of a round stays bounded.
CHUNKS_PER_ROUND = 4

Records = list[fleet_pb2.MemberRecord]


class SyncChunk:
    """Records of the members in a range of identifiers.

    Args:
        range_after: Exclusive lower bound of the range; empty for none.
        range_through: Inclusive upper bound of the range; empty for none.
        records: Records for one packet.
    """

    __slots__ = ("range_after", "range_through", "records")

    def __init__(
        self, *, range_after: str, range_through: str, records: Records
    ) -> None:
        self.range_after = range_after
        self.range_through = range_through
        self.records = records


class TableSync:
    """Builds and answers the requests of table syncs.

    Requests carry short records. Complete records are sent only for members
    on which the tables differ.

    Args:
        members: Table of members.
        merge: Merge rules of the table.
    """

    def __init__(
        self,
        *,
        members: member_tables.Members,
        merge: member_merge.MemberMerge,
    ) -> None:
        self._members = members
        self._merge = merge
        self._cursor = ""

    def record(
        self, id: str, *, complete: bool, now_s: float
    ) -> fleet_pb2.MemberRecord | None:
        """Returns the record of a member, None if the member is unknown."""
        row = self._members.by_id.get(id)
        if row is None:
            return None
        return gossip_codec.record_of(
            row,
            state=self._merge.announced_state(row),
            complete=complete,
            now_s=now_s,
        )

    def own_record(self, now_s: float) -> fleet_pb2.MemberRecord:
        """Returns the complete record of this process."""
        own = self._members.self
        return gossip_codec.record_of(
            own, state=own.state, complete=True, now_s=now_s
        )

    def next_round(self, *, now_s: float) -> list[SyncChunk]:
        """Returns the requests of the next round.

        A round continues where the last one ended and covers at most
        CHUNKS_PER_ROUND packets.
        """
        own = self.own_record(now_s)
        room = gossip_codec.MAX_UPDATE_BYTES - gossip_codec.packed_size(own)
        ids = sorted(id for id in self._members.by_id if id > self._cursor)
        chunks: list[SyncChunk] = []
        short = (
            record
            for id in ids
            if id != own.id
            and (record := self.record(id, complete=False, now_s=now_s))
        )
        for records in split(short, max_bytes=room):
            if len(chunks) == CHUNKS_PER_ROUND:
                return chunks
            last = records[-1].id
            chunks.append(
                SyncChunk(
                    range_after=self._cursor,
                    range_through=last,
                    records=[own, *records],
                )
            )
            self._cursor = last
        if chunks:
            chunks[-1].range_through = ""
        self._cursor = ""
        return chunks or [self.whole_table(now_s=now_s)]

    def whole_table(self, *, now_s: float) -> SyncChunk:
        """Returns a request for the peer's whole table."""
        return SyncChunk(
            range_after="",
            range_through="",
            records=[self.own_record(now_s)],
        )

    def reply(
        self, packet: fleet_pb2.GossipPacket, *, now_s: float
    ) -> Records:
        """Returns the records that answer a request.

        They hold what is newer here than in the request, and an empty
        record for each member that is unknown here and requested back.

        Args:
            packet: Request whose records have been merged already.
            now_s: Monotonic time in seconds.
        """
        received_by_id = {record.id: record for record in packet.updates}
        records = [self.own_record(now_s)]
        for id, row in self._members.by_id.items():
            if not _is_in_range(id, packet) or row is self._members.self:
                continue
            received = received_by_id.get(id)
            if received is None or self._merge.is_newer(row, received):
                record = self.record(
                    id, complete=received is None, now_s=now_s
                )
                records.append(record)
        for id, received in received_by_id.items():
            is_old = received.gone_s >= member_merge.GONE_RETENTION_S
            if id not in self._members.by_id and not is_old:
                records.append(fleet_pb2.MemberRecord(id=id))
        return records

    def requested_records(
        self, packet: fleet_pb2.GossipPacket, *, now_s: float
    ) -> Records:
        """Returns the complete records that a packet requests."""
        records = []
        for requested in packet.updates:
            if gossip_codec.is_record_request(requested):
                record = self.record(requested.id, complete=True, now_s=now_s)
                if record is not None:
                    records.append(record)
        return records


def split(
    records: collections.abc.Iterable[fleet_pb2.MemberRecord],
    *,
    max_bytes: int = gossip_codec.MAX_UPDATE_BYTES,
) -> collections.abc.Iterator[Records]:
    """Yields the records in lists that each fit into one packet.

    Args:
        records: Records to distribute.
        max_bytes: Limit on the size of a list; a single larger record is
            yielded alone.
    """
    chunk: Records = []
    used = 0
    for record in records:
        size = gossip_codec.packed_size(record)
        if chunk and used + size > max_bytes:
            yield chunk
            chunk = []
            used = 0
        chunk.append(record)
        used += size
    if chunk:
        yield chunk


def _is_in_range(id: str, packet: fleet_pb2.GossipPacket) -> bool:
    if id <= packet.range_after:
        return False
    return not packet.range_through or id <= packet.range_through
