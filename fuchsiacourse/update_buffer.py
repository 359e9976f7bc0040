"""Queue of member table changes that are still to be disseminated."""

from __future__ import annotations

import math
import typing

from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec

# Each change is sent this many times the binary logarithm of the fleet size.
TRANSMISSIONS_PER_LOG2 = 1.5

Encoder = typing.Callable[[str, bool], fleet_pb2.MemberRecord | None]


class _Update:
    """Pending change of one member and how often it has been sent."""

    __slots__ = ("is_complete", "is_urgent", "transmissions")

    def __init__(self, *, is_complete: bool, is_urgent: bool) -> None:
        self.is_complete = is_complete
        self.is_urgent = is_urgent
        self.transmissions = 0


class UpdateBuffer:
    """Selects changes for packets: urgent ones, then the least sent, first.

    Args:
        encoder: Returns the record of a member id, complete or not, or
            None for a member that was removed from the table.
    """

    def __init__(self, *, encoder: Encoder) -> None:
        self._encoder = encoder
        self._updates_by_id: dict[str, _Update] = {}

    def __len__(self) -> int:
        return len(self._updates_by_id)

    @property
    def has_urgent(self) -> bool:
        """Whether any change should not wait for the next probe."""
        return any(item.is_urgent for item in self._updates_by_id.values())

    def add(self, id: str, *, is_complete: bool, is_urgent: bool) -> None:
        """Queues a member's change and restarts its count of sends.

        Args:
            id: Identifier of the member.
            is_complete: Whether to send the complete record, for receivers
                that may not know the member.
            is_urgent: Whether to send without waiting for a probe.
        """
        previous = self._updates_by_id.get(id)
        if previous is not None:
            is_complete = is_complete or previous.is_complete
            is_urgent = is_urgent or previous.is_urgent
        self._updates_by_id[id] = _Update(
            is_complete=is_complete, is_urgent=is_urgent
        )

    def take(
        self, *, max_bytes: int, fleet_size: int
    ) -> list[fleet_pb2.MemberRecord]:
        """Returns records for one packet and counts them as sent.

        Args:
            max_bytes: Limit on the size of the records.
            fleet_size: Number of members; sets how often each change is
                sent.
        """
        limit = math.ceil(TRANSMISSIONS_PER_LOG2 * math.log2(fleet_size + 1))
        taken = []
        order = sorted(
            self._updates_by_id.items(),
            key=lambda item: (not item[1].is_urgent, item[1].transmissions),
        )
        for id, update in order:
            record = self._encoder(id, update.is_complete)
            if record is None:
                del self._updates_by_id[id]
                continue
            size = gossip_codec.packed_size(record)
            if size > max_bytes:
                break
            max_bytes -= size
            taken.append(record)
            update.transmissions += 1
            if update.transmissions >= limit:
                del self._updates_by_id[id]
        return taken
