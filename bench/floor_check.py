"""Checks of the capacity floor, independent of the product's arithmetic."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import json
import typing

from bench import floor_decider
from fuchsiacourse import object_table
from fuchsiacourse import service_file


class RecordingTable(object_table.ObjectTable):
    """Object table that reports each write to a check.

    Args:
        on_put: Called with the parsed content of each written object.
    """

    def __init__(
        self, *, on_put: typing.Callable[[dict[str, typing.Any]], None]
    ) -> None:
        super().__init__()
        self._on_put = on_put

    def put(self, key: str, value: bytes, *, if_version: int | None) -> int:
        """Writes an object, reports its content and returns its version."""
        version = super().put(key, value, if_version=if_version)
        self._on_put(json.loads(value))
        return version


class FloorCheck:
    """Detects breaches of the floor at each write and each step.

    The available capacity is taken from the last write that ejected a
    target: from its configuration and the leaving and cold targets listed
    in it. The ejections in effect in all deciders must leave the floor of
    that capacity at any time.

    Args:
        world: Configurations and targets.
        broken: Receives a line for each breach.
        counts: Receives counts of writes, ejections and observations.
    """

    def __init__(
        self,
        *,
        world: floor_decider.World,
        broken: list[str],
        counts: collections.Counter[str],
    ) -> None:
        self._world = world
        self._broken = broken
        self._counts = counts
        self._ejected: set[str] = set()
        self._config_number = 0
        # Content of the last write that added an ejection.
        self._last_ejecting_write: dict[str, typing.Any] | None = None

    def check_write(self, content: dict[str, typing.Any]) -> None:
        """Checks newly written content of the status object."""
        ejected = set(content["ejected"])
        new = ejected - self._ejected
        self._counts["writes"] += 1
        self._counts["ejections"] += len(new)
        self._counts["readmissions"] += len(self._ejected - ejected)
        self._ejected = ejected
        number = content["config_number"]
        if number < self._config_number:
            self._broken.append(
                f"written with configuration {number} after"
                f" {self._config_number}"
            )
        self._config_number = number
        if not new:
            return
        self._last_ejecting_write = content
        self._require(ejected, content, "written ejections")

    def check_step(
        self, deciders: Sequence[floor_decider.Decider], now: float
    ) -> None:
        """Checks the union of the ejections in effect in all deciders."""
        if self._last_ejecting_write is None:
            return
        out = set()
        for decider in deciders:
            out |= decider.ejected(now)
        self._counts["observations"] += 1
        if out:
            self._require(
                out, self._last_ejecting_write, "ejections in effect"
            )

    def check_end(
        self,
        table: object_table.ObjectTable,
        deciders: Sequence[floor_decider.Decider],
    ) -> None:
        """Checks the newest configuration's floor after all faults end."""
        service = self._world.services[-1]
        out = set()
        for decider in deciders:
            out |= decider.ejected(decider.now)
        stored = table.get(f"status/{service.service}")
        content = json.loads(stored.value) if stored is not None else {}
        unavailable = set(content.get("leaving", ())) | set(
            content.get("cold", ())
        )
        slots = _slots(service, out | unavailable)
        if out and slots < service.floor_slots:
            self._broken.append(
                f"settled: {slots} slots, floor {service.floor_slots}"
            )

    def _require(
        self, out: set[str], content: dict[str, typing.Any], what: str
    ) -> None:
        service = self._world.services[content["config_number"] - 1]
        unavailable = set(content["leaving"]) | set(content["cold"])
        slots = _slots(service, out | unavailable)
        if slots < service.floor_slots:
            self._broken.append(
                f"{what}: {slots} slots, floor {service.floor_slots},"
                f" ejected {sorted(out)}"
            )


def _slots(service: service_file.ServiceFile, out: set[str]) -> int:
    return sum(item.slots for item in service.targets if item.id not in out)
