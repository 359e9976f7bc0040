"""Health without detection, for runs that are about the queue."""

from __future__ import annotations

import typing

from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_client
from fuchsiacourse import target_row


class PlainHealth:
    """Believes draining at once and offers the least loaded targets first.

    It has the interface of ``health.Health`` and never ejects.

    Args:
        shard: Tables of the shard.
    """

    def __init__(self, *, shard: shards.Shard) -> None:
        self._shard = shard
        self.finished_outcomes: list[target_row.Outcome] = []

    def started(
        self, row: target_row.TargetRow, attempt: typing.Any, now: float
    ) -> None:
        """Notes the start of an attempt."""

    def finished(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
        *,
        draining: bool = False,
        incarnation: str = "",
    ) -> None:
        """Notes the end of an attempt."""
        self.finished_outcomes.append(outcome)
        self._seen(row, draining, incarnation)

    def reported(
        self,
        row: target_row.TargetRow,
        report: target_client.TargetReport,
        now: float,
    ) -> None:
        """Notes a probe's report."""
        row.report = report
        self._seen(row, report.draining, report.incarnation)

    def probe_failed(self, row: target_row.TargetRow, now: float) -> None:
        """Notes a failed probe."""

    def host_leaving(self, row: target_row.TargetRow, now: float) -> None:
        """Notes that the target's host is about to be taken away."""
        row.leaving = True

    def pop_crashes(self) -> list[typing.Any]:
        """Finds no crashes."""
        return []

    def tick(self, now: float) -> None:
        """Does nothing."""

    def candidates(
        self,
        kind: service_file.RequestKind,
        now: float,
        *,
        is_backlogged: bool = False,
    ) -> list[target_row.TargetRow]:
        """Returns targets with a free slot."""
        rows = [
            row
            for row in self._shard.targets_by_id.values()
            if row.free_slots and not row.leaving
        ]
        return sorted(rows, key=lambda row: (row.in_flight, row.id))

    def is_canary(self, row: target_row.TargetRow) -> bool:
        """No target is a canary."""
        return False

    def _seen(
        self, row: target_row.TargetRow, draining: bool, incarnation: str
    ) -> None:
        if incarnation and incarnation != row.incarnation:
            if row.incarnation:
                row.leaving = False
            row.incarnation = incarnation
        if draining:
            row.leaving = True
