"""Defines a shard: the targets of one service in one region."""

from __future__ import annotations

from fuchsiacourse import service_file
from fuchsiacourse import target_row


class Shard:
    """Holds the service file and the target rows of one shard.

    Args:
        service: Service file in force.
        region: Region of the shard.
    """

    __slots__ = ("service", "region", "targets_by_id")

    def __init__(
        self, *, service: service_file.ServiceFile, region: str
    ) -> None:
        self.region = region
        self.service = service
        self.targets_by_id: dict[str, target_row.TargetRow] = {}
        self.replace(service)

    @property
    def key(self) -> tuple[str, str]:
        """Service name and region."""
        return self.service.service, self.region

    def replace(self, service: service_file.ServiceFile) -> None:
        """Applies a new service file.

        Rows of unchanged targets keep their state. A target with another
        address gets a new row, because it is another process.

        Args:
            service: New service file.
        """
        previous = self.targets_by_id
        self.service = service
        self.targets_by_id = {}
        for target in service.targets:
            if target.region != self.region:
                continue
            row = previous.get(target.id)
            if row is None or row.target.address != target.address:
                row = target_row.TargetRow(target=target)
            row.target = target
            self.targets_by_id[target.id] = row
