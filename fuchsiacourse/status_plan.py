"""Plans the next content of a status object.

It is apart from the ejection agent so that the decisions need no platform.
"""

from __future__ import annotations

from fuchsiacourse import floor
from fuchsiacourse import health as healths
from fuchsiacourse import service_file
from fuchsiacourse import service_status
from fuchsiacourse import shard as shards

# Seconds for which a release must have been seen before the target's slots
# count again; longer than the 20 s for which a process may use an old
# status, so that clocks of different speed do no harm.
RELEASE_HOLD_S = 25.0


class StatusPlan:
    """Describes a change of the status object.

    Args:
        status: Content to write.
    """

    __slots__ = (
        "status",
        "ejected",
        "released",
        "reasons_by_released",
        "held",
        "is_urgent",
    )

    def __init__(self, *, status: service_status.ServiceStatus) -> None:
        self.status = status
        # Targets that the change ejects and re-admits.
        self.ejected: list[str] = []
        self.released: list[str] = []
        self.reasons_by_released: dict[str, str] = {}
        # Targets whose ejection the floor prevents.
        self.held: list[str] = []
        # Whether the change ejects a target or restores the floor, and is
        # therefore written without delay.
        self.is_urgent = False


class Planner:
    """Plans the change that the owner of a shard makes to a status object.

    Args:
        service: Newest service file of this process.
        config_number: Number of its configuration.
        shard: Tables of the shard.
        health: Health of the shard's targets.
        self_id: Member id of this process.
        first_seen_s: Monotonic time in seconds at which this process first
            saw each release, by release identifier.
        now: Monotonic time in seconds.
        wall: Unix time in seconds.
    """

    def __init__(
        self,
        *,
        service: service_file.ServiceFile,
        config_number: int,
        shard: shards.Shard,
        health: healths.Health,
        self_id: str,
        first_seen_s: dict[str, float],
        now: float,
        wall: float,
    ) -> None:
        self._service = service
        self._config_number = config_number
        self._health = health
        self._self_id = self_id
        self._first_seen_s = first_seen_s
        self._now = now
        self._wall = wall
        self._rows = [
            row
            for row in shard.targets_by_id.values()
            if row.id in service.targets_by_id
        ]

    def plan(
        self, status: service_status.ServiceStatus, *, next_release: int
    ) -> StatusPlan:
        """Returns the change that this process wants to write.

        Args:
            status: Current content.
            next_release: Number that makes the identifiers of new releases
                unique.
        """
        plan = StatusPlan(status=status.copy())
        is_newest = self._config_number >= status.config_number
        if is_newest:
            plan.status.config_number = self._config_number
            self._drop_removed(plan.status)
        self._drop_old_releases(plan.status)
        self._update_leaving_and_cold(plan.status)
        self._release_recovered(plan, next_release)
        self._restore_floor(plan, next_release)
        if is_newest:
            self._eject(plan)
        if not plan.ejected and not plan.released and not status.ejected:
            # The number only matters with ejections. Without any, a new
            # configuration must not cost a write for each service.
            if _same_targets(plan.status, status):
                plan.status.config_number = status.config_number
        return plan

    def _drop_removed(self, status: service_status.ServiceStatus) -> None:
        for ids in (
            status.ejected,
            status.leaving,
            status.cold,
            status.released,
        ):
            for id in set(ids) - set(self._service.targets_by_id):
                del ids[id]

    def _drop_old_releases(self, status: service_status.ServiceStatus) -> None:
        """Removes the releases that were first seen RELEASE_HOLD_S ago."""
        for id, release_id in list(status.released.items()):
            seen_s = self._first_seen_s.get(release_id, self._now)
            if self._now - seen_s >= RELEASE_HOLD_S:
                del status.released[id]

    def _update_leaving_and_cold(
        self, status: service_status.ServiceStatus
    ) -> None:
        for row in self._rows:
            if row.leaving:
                status.leaving[row.id] = row.incarnation
            elif row.incarnation != status.leaving.get(row.id, ""):
                status.leaving.pop(row.id, None)
            if self._health.is_cold(row, self._now):
                status.cold[row.id] = row.incarnation
            else:
                status.cold.pop(row.id, None)

    def _release_recovered(self, plan: StatusPlan, next_release: int) -> None:
        for row in self._rows:
            if row.id in plan.status.ejected and (
                self._health.is_readmitted(row)
            ):
                self._release(plan, row.id, next_release, "tests_passed")

    def _restore_floor(self, plan: StatusPlan, next_release: int) -> None:
        """Re-admits targets whose ejection the floor no longer allows.

        That happens when other targets leave or become cold, or when the
        floor is raised.
        """
        status = plan.status
        kept = floor.in_effect(self._service, status)
        for id in floor.readmission_order(status):
            is_unusable = id in status.leaving or id in status.cold
            if (
                id in kept
                or is_unusable
                or id not in self._service.targets_by_id
            ):
                continue
            self._release(plan, id, next_release, "floor")
            plan.is_urgent = True

    def _release(
        self,
        plan: StatusPlan,
        target_id: str,
        next_release: int,
        reason: str,
    ) -> None:
        ended_ejection = plan.status.ejected.pop(target_id)
        number = next_release + len(plan.released)
        plan.status.released[target_id] = f"{self._self_id}/{number}"
        plan.released.append(target_id)
        plan.reasons_by_released[target_id] = reason
        plan.status.record(
            target_id,
            service_status.READMITTED,
            reason,
            at=self._wall,
            evidence=ended_ejection.evidence,
            member=self._self_id,
        )

    def _eject(self, plan: StatusPlan) -> None:
        unknown = self._health.unknown_ids(self._now)
        for row in self._health.pending_ejections(self._now):
            if row.id not in self._service.targets_by_id:
                continue
            if row.id in plan.released or row.id in plan.status.ejected:
                continue
            if not floor.may_eject(
                self._service, plan.status, row.id, unknown
            ):
                plan.held.append(row.id)
                continue
            plan.status.released.pop(row.id, None)
            ejection = self._health.ejection(
                row, by=self._self_id, now=self._now, wall=self._wall
            )
            plan.status.ejected[row.id] = ejection
            plan.status.record(
                row.id,
                service_status.EJECTED,
                ejection.reason,
                at=ejection.since,
                evidence=ejection.evidence,
                member=self._self_id,
            )
            plan.ejected.append(row.id)
            plan.is_urgent = True


def _same_targets(
    one: service_status.ServiceStatus, other: service_status.ServiceStatus
) -> bool:
    return (
        one.leaving == other.leaving
        and one.cold == other.cold
        and one.released == other.released
    )
