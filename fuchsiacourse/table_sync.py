"""Comparison of the member tables of two members."""

from __future__ import annotations

import collections.abc

from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import member_merge
from fuchsiacourse import members as member_table

# Largest number of packets with which one round compares tables; a larger
# table is compared over several rounds, so that the cost stays bounded.
CHUNKS_PER_ROUND = 4

Records = list[fleet_pb2.MemberRecord]


class SyncChunk:
    """Records of the members in a range of identifiers.

    Args:
        range_after: Identifier below the range, empty for no limit.
        range_through: Last identifier of the range, empty for no limit.
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
    """Builds and answers requests that compare tables.

    Requests carry short records; only members on which the two tables
    differ are sent in full.

    Args:
        members: Table of members.
        merge: Rules of the table.
    """

    def __init__(
        self,
        *,
        members: member_table.Members,
        merge: member_merge.MemberMerge,
    ) -> None:
        self._members = members
        self._merge = merge
        self._cursor = ""

    def record(
        self, id: str, *, complete: bool, now_s: float
    ) -> fleet_pb2.MemberRecord | None:
        """Returns the record of a member, None for an unknown one."""
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
        """Returns the complete record of the own process."""
        own = self._members.self
        return gossip_codec.record_of(
            own, state=own.state, complete=True, now_s=now_s
        )

    def next_round(self, *, now_s: float) -> list[SyncChunk]:
        """Returns the requests of one round, from where the last ended."""
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
        """Returns a request for every member that the other one knows."""
        return SyncChunk(
            range_after="",
            range_through="",
            records=[self.own_record(now_s)],
        )

    def reply(
        self, packet: fleet_pb2.GossipPacket, *, now_s: float
    ) -> Records:
        """Returns what the sender of a request lacks, and what we lack.

        Args:
            packet: Request whose records have been merged already.
            now_s: Monotonic time in seconds.
        """
        told_by_id = {record.id: record for record in packet.updates}
        records = [self.own_record(now_s)]
        for id, row in self._members.by_id.items():
            if not _is_in_range(id, packet) or row is self._members.self:
                continue
            told = told_by_id.get(id)
            if told is None or self._merge.is_newer(row, told):
                record = self.record(id, complete=told is None, now_s=now_s)
                records.append(record)
        for id, told in told_by_id.items():
            is_old = told.gone_s >= member_merge.GONE_RETENTION_S
            if id not in self._members.by_id and not is_old:
                records.append(fleet_pb2.MemberRecord(id=id))
        return records

    def requested_records(
        self, packet: fleet_pb2.GossipPacket, *, now_s: float
    ) -> Records:
        """Returns the complete records that a packet asks for."""
        records = []
        for asked in packet.updates:
            if gossip_codec.is_record_request(asked):
                record = self.record(asked.id, complete=True, now_s=now_s)
                if record is not None:
                    records.append(record)
        return records


def split(
    records: collections.abc.Iterable[fleet_pb2.MemberRecord],
    *,
    max_bytes: int = gossip_codec.MAX_UPDATE_BYTES,
) -> collections.abc.Iterator[Records]:
    """Yields the records in lists that each fit into one packet."""
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
