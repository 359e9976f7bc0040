"""Checks the guarantees of a soak run from outside the product.

The checks use the targets' record of executions, the verdicts that callers
and operators received, and the configuration and ejections in effect in
the processes.
"""

from __future__ import annotations

import asyncio
import collections
import math
import typing

from bench import soak_faults
from bench import soak_fleet
from bench import soak_operators
from bench import soak_process
from bench import soak_services
from fuchsiacourse import config_table
from fuchsiacourse import members as member_tables
from fuchsiacourse import target_row
from fuchsiacourse import verdict as verdicts

IN_FORCE_S = 5.0
# Seconds after the last fault until the network counts as undisturbed: the
# members of a partition rejoin each other within this time.
QUIET_S = 20.0
# Seconds that a new process has to join and to fetch its configuration.
START_S = 10.0
POLL_S = 0.1
# Seconds within which an owner readmits ejected capacity after other
# targets have begun to leave.
RESTORE_S = 5.0

_EJECTED_STATES = (
    target_row.TargetState.EJECTED,
    target_row.TargetState.CANARY,
)
Verdict = verdicts.Verdict


class SoakChecks:
    """Checks the guarantees during a run and at its end.

    Args:
        fleet: Fleet of the run.
        faults: Faults of the run.
    """

    def __init__(
        self,
        *,
        fleet: soak_fleet.SoakFleet,
        faults: soak_faults.SoakFaults,
    ) -> None:
        self._fleet = fleet
        self._faults = faults
        self._numbers_by_id: dict[str, int] = {}
        self._checked_publishes: set[int] = set()
        self._below_since_s: dict[str, float] = {}
        self._was_below: set[str] = set()
        self._last_ejected: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self.ejections = 0
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    async def watch(self) -> None:
        """Checks all processes every ``POLL_S`` seconds until cancelled."""
        while True:
            for process in self._fleet.processes:
                if not process.is_closed:
                    self._check_number(process)
            self._check_in_force()
            for service in soak_services.SERVICES:
                self._check_floor(service)
            await asyncio.sleep(POLL_S)

    def finish(self) -> None:
        """Checks executions and verdicts of the whole run."""
        self.broken.extend(self._fleet.broken)
        self.broken.extend(self._fleet.results.faults)
        for text in self._fleet.targets.late_starts:
            self._break("leaving", text)
        self.checked["leaving"] = self._fleet.targets.requests
        self.checked["whole_answer"] = self._fleet.results.answers["ran"]
        if not self._fleet.targets.requests:
            self._break("run", "no request ran at all")
        self._check_runs()
        self._check_verdicts()

    def _break(self, id: str, text: str) -> None:
        self.broken.append(f"{id}: {text}")

    def _check_runs(self) -> None:
        """Checks that each booking ran at most once over all its keys."""
        runs_by_booking: collections.Counter[str] = collections.Counter()
        for path, runs in self._fleet.targets.runs_by_path.items():
            runs_by_booking[path.rpartition("/")[0]] += runs
        for booking in sorted(self._fleet.results.bookings):
            self.checked["at_most_once"] += 1
            if runs_by_booking[booking] > 1:
                self._break(
                    "at_most_once",
                    f"{booking} ran {runs_by_booking[booking]} times",
                )

    def _check_verdicts(self) -> None:
        for path, received in self._fleet.results.verdicts_by_path.items():
            runs = self._fleet.targets.runs_by_path[path]
            if Verdict.NOT_RUN in received:
                self.checked["not_run"] += 1
                if runs:
                    self._break(
                        "not_run", f"{path} ran, got {_names(received)}"
                    )
            if Verdict.RAN in received:
                self.checked["ran"] += 1
                if not runs:
                    self._break("ran", f"{path} never ran but got ran")
                if Verdict.NOT_RUN in received:
                    self._break("ran", f"{path} got {_names(received)}")

    def _check_number(self, process: soak_process.SoakProcess) -> None:
        number = process.node.config.number
        previous = self._numbers_by_id.get(process.id, 0)
        self.checked["config_rises"] += 1
        if number < previous:
            self._break(
                "config_rises",
                f"{process.role} {process.id} went back from {previous} to"
                f" {number}",
            )
        if number > previous:
            self._check_content(process)
        self._numbers_by_id[process.id] = number

    def _check_content(self, process: soak_process.SoakProcess) -> None:
        """Checks that a configuration contains every accepted publish."""
        config = process.node.config
        for name in soak_services.SERVICES:
            newest = self._newest(name, config.number)
            if newest is None:
                continue
            found = _publishes(config, name)
            if found in self._fleet.operators.unresolved:
                continue
            if found != newest.publishes:
                self._break(
                    "config_rises",
                    f"{process.role} {process.id} has {name} of publish"
                    f" {found} at number {config.number}, not"
                    f" {newest.publishes} accepted at {newest.number}",
                )

    def _newest(
        self, service: str, number: int
    ) -> soak_operators.AcceptedPublish | None:
        found = [
            item
            for item in self._fleet.operators.accepted
            if item.service == service and item.number <= number
        ]
        return max(found, key=lambda item: item.number, default=None)

    def _check_in_force(self) -> None:
        now = self._fleet.clock.now()
        for item in self._fleet.operators.accepted:
            if item.number in self._checked_publishes:
                continue
            if now < item.at_s + IN_FORCE_S:
                continue
            self._checked_publishes.add(item.number)
            if self._was_quiet(item.at_s - QUIET_S):
                self._check_adopted(item)

    def _was_quiet(self, since_s: float) -> bool:
        return self._faults.is_quiet and self._faults.ended_s <= since_s

    def _check_adopted(self, item: soak_operators.AcceptedPublish) -> None:
        for process in self._fleet.running:
            if process.started_s > item.at_s - START_S:
                continue
            self.checked["in_force"] += 1
            number = process.node.config.number
            if number < item.number:
                self._break(
                    "in_force",
                    f"{process.role} {process.id} has number {number}"
                    f" {IN_FORCE_S} s after {item.number} was accepted",
                )

    def _check_floor(self, service: str) -> None:
        """Checks that ejections leave at least the floor of slots.

        A leaving target lowers the capacity after an ejection was allowed;
        its owner then has ``RESTORE_S`` seconds to readmit a target.
        """
        now = self._fleet.clock.now()
        ejected = self._ejected(service)
        self.ejections += len(ejected - self._last_ejected[service])
        self._last_ejected[service] = ejected
        self.checked["floor"] += 1
        below = ""
        if ejected and self._slots_without(service, ejected) < (
            soak_services.FLOOR_SLOTS
        ):
            below = "at once"
        leaving = {
            address
            for address, known_s in (
                self._fleet.targets.leaving_known_s.items()
            )
            if now - known_s > RESTORE_S
        }
        if ejected and self._slots_without(service, ejected | leaving) < (
            soak_services.FLOOR_SLOTS
        ):
            since_s = self._below_since_s.setdefault(service, now)
            if now - since_s > RESTORE_S and not below:
                below = f"for {RESTORE_S} s with leaving targets"
        else:
            self._below_since_s.pop(service, None)
        if below and service not in self._was_below:
            self._break(
                "floor",
                f"{service} is below its floor {below} at {now:.1f} s:"
                f" ejected {sorted(ejected)}, leaving {sorted(leaving)}",
            )
        self._was_below.discard(service)
        if below:
            self._was_below.add(service)

    def _slots_without(self, service: str, addresses: set[str]) -> int:
        return soak_services.SLOTS * sum(
            address not in addresses
            for address in soak_services.target_addresses(service)
        )

    def _ejected(self, service: str) -> set[str]:
        """Returns the targets that shard owners treat as ejected."""
        return {
            row.target.address
            for process in self._fleet.running
            if process.role == member_tables.DISPATCH
            and not process.gate.is_paused
            for runner in process.service.runners
            if runner.shard.service.service == service
            and _owns(process, service, runner.shard.region)
            for row in runner.shard.targets_by_id.values()
            if row.state in _EJECTED_STATES
        }


def _owns(
    process: soak_process.SoakProcess, service: str, region: str
) -> bool:
    members = process.node.members
    return members.owner(service, region) is members.self


def _publishes(config: config_table.ConfigTable, service: str) -> float:
    found = config.services_by_name.get(service)
    return soak_services.publishes_of(found) if found else -math.inf


def _names(received: typing.Iterable[Verdict]) -> str:
    return ", ".join(verdict.value for verdict in received)
