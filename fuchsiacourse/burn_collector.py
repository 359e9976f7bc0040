"""Collects a zone's service-level counters and writes them to the platform.

Calls to the platform for z zones: one read and one write for each zone and
month with changes every WRITE_INTERVAL_S. With two months at once, around
the turn of a month, this is at most z * 2 / 30 writes a second. Rows stay in
memory until the platform has confirmed them, so an outage only delays them.
"""

from __future__ import annotations

import typing

from fuchsiacourse import burn_collectors
from fuchsiacourse import burn_object
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import members as member_tables
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

WRITE_INTERVAL_S = 30.0
_JITTER = 0.2
# Seconds after which the rows of a gone process are added to the zone's common
# rows (BurnObject.fold). Reports of a paused process that resumes later are
# refused, so its last counts are lost.
FOLD_AFTER_S = 3_600.0


Rows = dict[burn_object.RowKey, burn_object.BurnRow]


class BurnCollector:
    """Holds reports in memory and merges them into platform objects.

    Args:
        clock: Source of time.
        timers: Timer service of the process.
        members: Member table.
        store: Client of the platform's object API.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        members: member_tables.Members,
        store: stores.Store,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._members = members
        self._store = store
        self._log = log
        self._rows_by_source: dict[tuple[str, str], Rows] = {}
        self._dirty_months: set[str] = set()
        self._started_s = 0.0

    def start(self) -> None:
        """Starts to write every WRITE_INTERVAL_S."""
        self._started_s = self._clock.now()
        self._timers.every(WRITE_INTERVAL_S, self.write, jitter=_JITTER)

    async def report(self, report: fleet_pb2.BurnReport) -> fleet_pb2.BurnAck:
        """Stores the rows of an entry's report and acknowledges it."""
        for row in report.rows:
            rows = self._rows_by_source.setdefault(
                (report.incarnation, row.month), {}
            )
            rows[(row.service, row.kind)] = burn_object.BurnRow(
                total=row.total,
                good=row.good,
                worth=row.worth,
                worth_served=row.worth_served,
            )
            self._dirty_months.add(row.month)
        return fleet_pb2.BurnAck(accepted=True)

    async def write(self) -> None:
        """Writes the changed months if this process is the zone's writer."""
        collectors = burn_collectors.choose(self._members)
        if collectors and collectors[0] is self._members.self:
            await self.flush()

    async def flush(self) -> None:
        """Writes the changed months; also called at a graceful shutdown.

        Writes are conditional, so a second writer is harmless. A failure is
        logged and the month stays queued.
        """
        for month in sorted(self._dirty_months):
            try:
                await self._write_month(month)
            except errors.StoreError as error:
                logs.event(
                    self._log,
                    "burn_write_failed",
                    month=month,
                    reason=repr(error),
                )

    async def _write_month(self, month: str) -> None:
        zone = self._members.self.availability_zone
        key = burn_object.key(zone, month)
        stored = await self._store.get(key)
        merged = burn_object.BurnObject(availability_zone=zone, month=month)
        version = stores.CREATE_ONLY
        if stored is not None:
            merged = burn_object.decode(stored.value)
            version = stored.version
        sources = [
            source for source in self._rows_by_source if source[1] == month
        ]
        # Reports that arrive during the write mark the month dirty again.
        self._dirty_months.discard(month)
        for source in sources:
            merged.merge(source[0], dict(self._rows_by_source[source]))
        self._fold(merged)
        merged.sample(self._clock.wall())
        try:
            await self._store.put(key, merged.encode(), if_version=version)
        except errors.StoreError:
            # Merging again is idempotent if the write did take effect.
            self._dirty_months.add(month)
            raise
        self._forget_gone(sources)

    def _fold(self, merged: burn_object.BurnObject) -> None:
        for incarnation in list(merged.rows_by_incarnation):
            row = self._members.by_id.get(incarnation)
            if row is not None and not row.is_gone:
                continue
            # A process missing from the table may not be known yet.
            since_s = self._started_s if row is None else row.state_since
            if self._clock.now() - since_s > FOLD_AFTER_S:
                merged.fold(incarnation)

    def _forget_gone(self, sources: list[tuple[str, str]]) -> None:
        for source in sources:
            row = self._members.by_id.get(source[0])
            if row is None or row.is_gone:
                self._rows_by_source.pop(source, None)
