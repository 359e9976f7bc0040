"""Targets of one service, by availability zone."""

from __future__ import annotations

import collections.abc

from fuchsiacourse.front import target as targets


class ServiceTargets(collections.abc.Sequence[targets.Target]):
    """Targets of a service in the order in which they were added.

    Attributes:
        changes: Number of changes so far.
        by_zone: Targets by availability zone.
    """

    __slots__ = ("changes", "by_zone", "_all")

    def __init__(self) -> None:
        self.changes = 0
        self.by_zone: dict[str, list[targets.Target]] = {}
        self._all: list[targets.Target] = []

    def __len__(self) -> int:
        return len(self._all)

    def __getitem__(self, index):  # type: ignore[no-untyped-def]
        return self._all[index]

    def __iter__(self) -> collections.abc.Iterator[targets.Target]:
        return iter(self._all)

    def add(self, target: targets.Target) -> None:
        """Adds a target."""
        self.changes += 1
        self._all.append(target)
        zone = target.record.availability_zone
        self.by_zone.setdefault(zone, []).append(target)

    def remove(self, target: targets.Target) -> None:
        """Removes a target.

        Raises:
            ValueError: It is not among the targets.
        """
        self.changes += 1
        self._all.remove(target)
        for zone, found in list(self.by_zone.items()):
            if target in found:
                found.remove(target)
                if not found:
                    del self.by_zone[zone]
