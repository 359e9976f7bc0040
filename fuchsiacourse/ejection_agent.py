"""Ejects and re-admits targets through the status object of their service."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import config_table
from fuchsiacourse import errors
from fuchsiacourse import floor
from fuchsiacourse import health as healths
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import service_status
from fuchsiacourse import shard as shards
from fuchsiacourse import status_plan
from fuchsiacourse import store as stores
from fuchsiacourse import target_row

# Seconds between reads while the service has ejections or recent releases.
ACTIVE_READ_INTERVAL_S = 2.0
# Seconds between reads while it has none; without ejections an outdated
# status is harmless, and an ejection begins with a conditional write.
IDLE_READ_INTERVAL_S = 60.0
# Seconds for which a status may be used, from the start of its read.
STATUS_LIFETIME_S = 20.0
# Seconds between writes that neither eject a target nor restore the floor.
WRITE_INTERVAL_S = 1.0
# Back-off after a failed call of the platform, in seconds.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 10.0
# Writes within one call of run_once; each conflict of versions costs one.
MAX_ATTEMPTS = 3
# Seconds between log lines about ejections that the floor prevents.
HELD_LOG_INTERVAL_S = 10.0

_EJECTED_STATES = (
    target_row.TargetState.EJECTED,
    target_row.TargetState.CANARY,
)


class EjectionAgent:
    """Synchronizes the ejections of one shard with the status object.

    The floor holds although several processes decide, because the object
    is the single point of serialization. Each ejection is a conditional
    update that counts every target named in the object (ejected, leaving,
    cold or released, of all regions) as unhealthy, so two owners can't both
    use the same spare capacity: the later write fails and is planned again.
    A target of another region counts as healthy unless the object names it,
    because the owner of that region writes its leaving and cold targets to
    the object. A process acts on an ejection only after it has read it or
    its write has been confirmed, and only for STATUS_LIFETIME_S after the
    start of that call. A target that is re-admitted stays in ``released``,
    and counts as unhealthy, until a writer has seen it there for longer
    than that. At any time the ejections in effect anywhere are therefore
    among the ejected and released targets of the newest object. A writer
    whose configuration is older than the object's ejects nothing. The
    object must not be deleted while processes run.

    While the platform is unavailable, nothing is ejected, known ejections
    turn into suspicion after STATUS_LIFETIME_S, and a re-admission by
    canaries takes effect in this process at once and in the object with the
    next write.

    Load of the whole deployment on the platform, for n shards of which a
    have ejections, and c health changes a second (ejection, re-admission,
    leaving, cold): n / 60 + a / 2 reads a second and c writes a second, at
    most one write a second for each shard except for ejections. 11,400
    shards, 570 of them with ejections, make 475 reads a second of the
    platform's 2,000. After an error a shard backs off for 0.5 s to 10 s.

    Args:
        shard: Tables of the shard.
        health: Health of the shard's targets.
        store: Store of the platform.
        clock: Source of time.
        config: Newest configuration of this process.
        self_id: Member id of this process.
        log: Logger.
        invariants: Receives the checks of the floor.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        health: healths.Health,
        store: stores.Store,
        clock: clocks.Clock,
        config: config_table.ConfigTable,
        self_id: str,
        log: typing.Any,
        invariants: invariant_checks.Invariants,
    ) -> None:
        self._shard = shard
        self._health = health
        self._store = store
        self._clock = clock
        self._config = config
        self._self_id = self_id
        self._log = log
        self._invariants = invariants
        self._status = service_status.ServiceStatus(
            service=shard.service.service
        )
        self._version = stores.CREATE_ONLY
        # Start of the last call of the platform that confirmed the status.
        self._confirmed_s: float | None = None
        # Monotonic time at which each release was first seen, by release id.
        self._first_seen_s: dict[str, float] = {}
        self._retry_at_s = 0.0
        self._failures = 0
        self._wrote_at_s = -WRITE_INTERVAL_S
        # Number of releases that this agent has planned, part of their ids.
        self._releases = 0
        self._held_logged_at_s = -HELD_LOG_INTERVAL_S
        self._running = False

    @property
    def status(self) -> service_status.ServiceStatus:
        """Status object as last read or written."""
        return self._status

    async def run_once(self) -> None:
        """Applies the known status and calls the platform if that is due.

        It returns at once while an earlier call is running.
        """
        if self._running:
            return
        self._running = True
        try:
            await self._run()
        finally:
            self._running = False

    async def _run(self) -> None:
        self._apply()
        if self._clock.now() < self._retry_at_s:
            return
        try:
            has_called = await self._exchange()
            self._failures = 0
            if not has_called:
                # Nothing has changed since it was applied above.
                return
        except errors.StoreError as error:
            self._schedule_retry(error)
        self._apply()

    def _schedule_retry(self, error: errors.StoreError) -> None:
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**self._failures)
        self._failures += 1
        self._retry_at_s = self._clock.now() + delay_s
        logs.event(
            self._log,
            "status_not_exchanged",
            service=self._status.service,
            region=self._shard.region,
            error=repr(error),
            retry_s=delay_s,
        )

    async def _exchange(self) -> bool:
        """Reads the status object if that is due, and writes planned changes.

        Returns:
            Whether the platform was called.
        """
        has_called = self._is_read_due()
        if has_called:
            await self._read()
        for _ in range(MAX_ATTEMPTS):
            plan = self._plan()
            if plan is None:
                return has_called
            has_called = True
            try:
                await self._write(plan)
                return True
            except errors.VersionConflict:
                await self._read()
            except errors.StoreOutcomeUnknown:
                # Only a read shows whether the write took effect. A write
                # that takes effect later is still conditional on the
                # version that it was planned for.
                await self._read()
                return True
        return True

    def _is_read_due(self) -> bool:
        if self._confirmed_s is None:
            return True
        active = self._status.ejected or self._status.released
        interval_s = ACTIVE_READ_INTERVAL_S if active else IDLE_READ_INTERVAL_S
        return self._clock.now() - self._confirmed_s >= interval_s

    async def _read(self) -> None:
        started_s = self._clock.now()
        service_name = self._status.service
        stored = await self._store.get(service_status.key(service_name))
        if stored is None:
            status = service_status.ServiceStatus(service=service_name)
            self._adopt(status, stores.CREATE_ONLY, started_s)
            return
        status = service_status.decode(stored.value, service=service_name)
        self._adopt(status, stored.version, started_s)

    async def _write(self, plan: status_plan.StatusPlan) -> None:
        started_s = self._clock.now()
        self._wrote_at_s = started_s
        version = await self._store.put(
            service_status.key(plan.status.service),
            plan.status.encode(),
            if_version=self._version,
        )
        self._adopt(plan.status, version, started_s)
        for id in plan.ejected:
            ejection = plan.status.ejected[id]
            logs.warning(
                self._log,
                "target_ejected",
                service=plan.status.service,
                target=id,
                reason=ejection.reason,
                backoff_s=ejection.backoff_s,
                **ejection.evidence,
            )
        for id in plan.released:
            logs.event(
                self._log,
                "target_readmitted",
                service=plan.status.service,
                target=id,
                reason=plan.reasons_by_released[id],
            )

    def _adopt(
        self,
        status: service_status.ServiceStatus,
        version: int,
        started_s: float,
    ) -> None:
        now = self._clock.now()
        self._status = status
        self._version = version
        self._confirmed_s = started_s
        self._first_seen_s = {
            release_id: self._first_seen_s.get(release_id, now)
            for release_id in status.released.values()
        }

    def _plan(self) -> status_plan.StatusPlan | None:
        """Returns the change to write now, None without one."""
        now = self._clock.now()
        service = self._config.services_by_name.get(self._status.service)
        if service is None:
            return None
        planner = status_plan.Planner(
            service=service,
            config_number=self._config.number,
            shard=self._shard,
            health=self._health,
            self_id=self._self_id,
            first_seen_s=self._first_seen_s,
            now=now,
            wall=self._clock.wall(),
        )
        plan = planner.plan(self._status, next_release=self._releases)
        if plan.held and now - self._held_logged_at_s >= HELD_LOG_INTERVAL_S:
            self._held_logged_at_s = now
            logs.warning(
                self._log,
                "ejection_held_by_floor",
                service=service.service,
                targets=plan.held,
                floor_slots=service.floor_slots,
            )
        wanted = plan.status.encode(with_history=False)
        if wanted == self._status.encode(with_history=False):
            return None
        if not plan.is_urgent and now - self._wrote_at_s < WRITE_INTERVAL_S:
            return None
        self._releases += len(plan.released)
        return plan

    def _apply(self) -> None:
        if self._confirmed_s is None:
            return
        service = self._config.services_by_name.get(self._status.service)
        if service is None:
            return
        now = self._clock.now()
        unhealthy = self._health.unhealthy_ids(now)
        in_effect = floor.in_effect(service, self._status, unhealthy)
        self._health.apply(
            self._status,
            in_effect,
            valid_until_s=self._confirmed_s + STATUS_LIFETIME_S,
            now=now,
            wall=self._clock.wall(),
        )
        ejected_ids = {
            row.id
            for row in self._shard.targets_by_id.values()
            if row.state in _EJECTED_STATES
        }
        unusable = unhealthy.union(self._status.leaving, self._status.cold)
        slots = floor.healthy_slots(
            service, ejected_ids | in_effect | unusable
        )
        self._invariants.check(
            invariant_checks.InvariantId.FLOOR,
            not ejected_ids or slots >= service.floor_slots,
            service=service.service,
            ejected=sorted(ejected_ids),
            usable_slots=slots,
            floor_slots=service.floor_slots,
        )
