"""Targets of a shard and the slots in use."""

from __future__ import annotations

from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row


class ShardTargets:
    """Counts the slots of a shard, also those of removed targets.

    Args:
        shard: Tables of the shard.
    """

    def __init__(self, *, shard: shards.Shard) -> None:
        self._shard = shard
        # Rows of removed targets whose attempts have not ended.
        self._retired: list[target_row.TargetRow] = []

    @property
    def in_flight(self) -> int:
        """Slots in use, also of targets that were removed."""
        return sum(
            row.in_flight
            for rows in (self._shard.targets_by_id.values(), self._retired)
            for row in rows
        )

    @property
    def usable(self) -> list[target_row.TargetRow]:
        """Targets that can take work now or when a slot is free."""
        return [
            row
            for row in self._shard.targets_by_id.values()
            if not row.leaving
            and row.state is not target_row.TargetState.EJECTED
        ]

    @property
    def usable_slots(self) -> int:
        """Slots of the usable targets."""
        return sum(
            min(row.target.slots, row.target.connection_limit)
            for row in self.usable
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a usable target has a free slot."""
        return any(row.free_slots for row in self.usable)

    def replace(self, service: service_file.ServiceFile) -> None:
        """Takes over a new service file.

        Attempts at removed targets go on. The row is kept until they end
        and comes back if its target is configured again before, so that
        its slots are counted once.
        """
        previous = list(self._shard.targets_by_id.values())
        self._shard.replace(service)
        current = self._shard.targets_by_id
        for row in self._retired:
            again = current.get(row.id)
            if again and again.target.address == row.target.address:
                row.target = again.target
                current[row.id] = row
        self._retired = [
            row
            for row in self._retired + previous
            if row.in_flight and current.get(row.id) is not row
        ]

    def released(self, row: target_row.TargetRow) -> None:
        """Forgets a removed target when its last slot is free."""
        if row.in_flight:
            return
        self._retired = [item for item in self._retired if item is not row]
