"""Report of the configuration numbers in force in an availability zone."""

from __future__ import annotations

import random
import typing

import pydantic

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import rendezvous
from fuchsiacourse import retry_backoff
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

PREFIX = "in_force/"
INTERVAL_S = 1.0
_INTERVAL_JITTER = 0.1
# Seconds until gossip has told a new process of the members of its zone;
# before that it would report itself as the only one.
START_DELAY_S = 3.0
# First back-off after a write conflict, in seconds. Two reporters with
# different member tables overwrite each other until gossip converges; the
# back-off keeps each well below one write a second.
_CONFLICT_FIRST_S = 2.0


class MemberReport(pydantic.BaseModel):
    """State and configuration number of one member in a report."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    host: str
    role: str
    state: str
    number: int


class ZoneReport(pydantic.BaseModel):
    """Stored content of the object ``in_force/<availability_zone>``."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    availability_zone: str
    region: str
    reporter: str
    written_at: float = pydantic.Field(description="Unix time in seconds.")
    members: dict[str, MemberReport]


class InForceReporter:
    """Writes the report of its zone while this process is the reporter.

    The reporter is the first of the zone's alive dispatch members in
    rendezvous order. A member's number never decreases in the report,
    because a reporter that was paused may hold older numbers than the
    report.

    Args:
        clock: Source of time.
        timers: Runs the check for changes.
        rng: Source of jitter.
        members: Table of the fleet's members.
        store: Client of the platform's object API.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        store: stores.Store,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._members = members
        self._store = store
        self._log = log
        self._backoff = retry_backoff.RetryBackoff(rng=rng, first_s=1.0)
        self._conflict_backoff = retry_backoff.RetryBackoff(
            rng=rng, first_s=_CONFLICT_FIRST_S
        )
        self._not_before_s = 0.0
        self._is_dirty = True
        self._version: int | None = None
        self._written: dict[str, MemberReport] = {}
        self._handle: timer_services.TimerHandle | None = None
        members.subscribe(self._on_member)

    @property
    def key(self) -> str:
        """Store key of this zone's report."""
        return PREFIX + self._members.self.availability_zone

    @property
    def is_reporter(self) -> bool:
        """Whether this process is its zone's reporter."""
        zone = self._members.self.availability_zone
        ids = [
            row.id
            for row in self._members.alive(member_tables.DISPATCH)
            if row.availability_zone == zone
        ]
        first = rendezvous.first(f"in_force/{zone}", ids)
        return first == self._members.self.id

    def start(self) -> None:
        """Starts to report after START_DELAY_S."""
        self._not_before_s = self._clock.now() + START_DELAY_S
        self._handle = self._timers.every(
            INTERVAL_S, self.tick, jitter=_INTERVAL_JITTER
        )

    def close(self) -> None:
        """Stops reporting."""
        if self._handle is not None:
            self._handle.cancel()

    async def tick(self) -> None:
        """Writes the report if it changed and this process is the reporter."""
        if not self._is_dirty or self._clock.now() < self._not_before_s:
            return
        self._is_dirty = False
        if not self.is_reporter:
            # Another process may write from now on.
            self._version = None
            return
        try:
            await self._write()
        except errors.StoreError as error:
            self._on_failure(error)

    def _on_member(self, row: member_rows.Member) -> None:
        if row.availability_zone == self._members.self.availability_zone:
            self._is_dirty = True

    async def _write(self) -> None:
        if self._version is None:
            await self._read()
        wanted = self._merged()
        if wanted == self._written:
            return
        own = self._members.self
        report = ZoneReport(
            availability_zone=own.availability_zone,
            region=own.region,
            reporter=own.id,
            written_at=self._clock.wall(),
            members=wanted,
        )
        self._version = await self._store.put(
            self.key,
            report.model_dump_json().encode(),
            if_version=self._version,
        )
        self._written = wanted
        self._backoff.reset()
        self._conflict_backoff.reset()

    async def _read(self) -> None:
        found = await self._store.get(self.key)
        self._written = {}
        if found is None:
            self._version = stores.CREATE_ONLY
            return
        self._version = found.version
        try:
            report = ZoneReport.model_validate_json(found.value)
        except pydantic.ValidationError as error:
            logs.warning(self._log, "in_force_unreadable", reason=str(error))
            return
        self._written = report.members

    def _merged(self) -> dict[str, MemberReport]:
        zone = self._members.self.availability_zone
        merged = {}
        for row in sorted(
            self._members.by_id.values(), key=lambda row: row.id
        ):
            if row.availability_zone != zone or row.is_gone:
                continue
            number = row.config_number
            written = self._written.get(row.id)
            if written is not None:
                number = max(number, written.number)
            merged[row.id] = MemberReport(
                host=row.host,
                role=row.role,
                state=row.state.value,
                number=number,
            )
        return merged

    def _on_failure(self, error: errors.StoreError) -> None:
        self._is_dirty = True
        # The stored version is unknown after a conflict or a lost reply.
        self._version = None
        backoff = self._backoff
        if isinstance(error, errors.VersionConflict):
            backoff = self._conflict_backoff
        self._not_before_s = self._clock.now() + backoff.next()
        logs.event(self._log, "in_force_not_written", reason=str(error))
