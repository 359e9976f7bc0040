"""Counts the targets of a shard and their slots in use."""

from __future__ import annotations

from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row


class ShardTargets:
    """Counts the slots of a shard, including those of removed targets.

    Args:
        shard: Tables of the shard.
    """

    def __init__(self, *, shard: shards.Shard) -> None:
        self._shard = shard
        # Rows of removed targets that still run attempts.
        self._retired: list[target_row.TargetRow] = []

    @property
    def in_flight(self) -> int:
        """Number of slots in use, including those of removed targets."""
        return sum(
            row.in_flight
            for rows in (self._shard.targets_by_id.values(), self._retired)
            for row in rows
        )

    @property
    def usable(self) -> list[target_row.TargetRow]:
        """Targets that may take requests once they have a free slot."""
        return [
            row
            for row in self._shard.targets_by_id.values()
            if not row.leaving
            and row.state is not target_row.TargetState.EJECTED
        ]

    @property
    def usable_slots(self) -> int:
        """Number of slots of the usable targets."""
        return sum(
            min(row.target.slots, row.target.connection_limit)
            for row in self.usable
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a usable target has a free slot."""
        return any(row.free_slots for row in self.usable)

    def replace(self, service: service_file.ServiceFile) -> None:
        """Applies a new service file.

        Attempts at removed targets go on. The row of a removed target is
        kept until they end. It is used again if the target is configured
        again before that, so that its slots are counted once.

        Args:
            service: New service file.
        """
        previous = list(self._shard.targets_by_id.values())
        self._shard.replace(service)
        current = self._shard.targets_by_id
        for row in self._retired:
            new_row = current.get(row.id)
            if new_row and new_row.target.address == row.target.address:
                row.target = new_row.target
                current[row.id] = row
        self._retired = [
            row
            for row in self._retired + previous
            if row.in_flight and current.get(row.id) is not row
        ]

    def released(self, row: target_row.TargetRow) -> None:
        """Drops the row of a removed target once its last slot is free."""
        if row.in_flight:
            return
        self._retired = [item for item in self._retired if item is not row]
