"""State of the fleet according to the objects stored in the platform.

Shared by the programs ctl and report, which need no access to the fronts.
"""

from __future__ import annotations

import asyncio
import typing

import pydantic

from fuchsiacourse import errors
from fuchsiacourse import floor
from fuchsiacourse import in_force
from fuchsiacourse import manifest as manifests
from fuchsiacourse import members as member_tables
from fuchsiacourse import rendezvous
from fuchsiacourse import service_file
from fuchsiacourse import service_status
from fuchsiacourse import store as stores

_STATUS_PREFIX = service_status.key("")
# States in which a target receives ordinary requests.
IN_USE = ("in use", "re-admitted")
# Concurrent reads of service files.
_PARALLEL_READS = 8

Json = dict[str, typing.Any]


class FleetView:
    """Snapshot of the manifest, services, target states and hosts.

    Args:
        manifest: The published manifest.
        services_by_name: Service files of the manifest.
        status_by_service: Published status of the services that have one.
        reports: Reports of the availability zones on their members.
        hosts: Host list of the platform.
        problems: One line for each object that could not be read.
    """

    def __init__(
        self,
        *,
        manifest: manifests.Manifest,
        services_by_name: dict[str, service_file.ServiceFile],
        status_by_service: dict[str, service_status.ServiceStatus],
        reports: list[in_force.ZoneReport],
        hosts: list[stores.HostRecord],
        problems: list[str],
    ) -> None:
        self.manifest = manifest
        self.services_by_name = services_by_name
        self.status_by_service = status_by_service
        self.reports = reports
        self.hosts = hosts
        self.problems = problems

    def zones(self) -> list[Json]:
        """Returns a row for each zone, with its configuration numbers."""
        rows = []
        for report in self.reports:
            numbers = [item.number for item in report.members.values()]
            rows.append(
                {
                    "availability_zone": report.availability_zone,
                    "region": report.region,
                    "members": len(numbers),
                    "lowest": min(numbers, default=0),
                    "highest": max(numbers, default=0),
                    "behind": sum(
                        number < self.manifest.number for number in numbers
                    ),
                    "reporter": report.reporter,
                    "written_at": report.written_at,
                }
            )
        return rows

    def members(self) -> list[Json]:
        """Returns a row for each member, with its lag behind the manifest."""
        return [
            {
                "host": item.host,
                "role": item.role,
                "member": member_id,
                "availability_zone": report.availability_zone,
                "state": item.state,
                "number": item.number,
                "lag": max(0, self.manifest.number - item.number),
            }
            for report in self.reports
            for member_id, item in report.members.items()
        ]

    def host_rows(self) -> list[Json]:
        """Returns a row for each listed host, sorted by host and address."""
        return [
            {
                "host": item.host,
                "address": item.address,
                "availability_zone": item.availability_zone,
                "region": item.region,
                "state": "leaving" if item.leaving else "live",
            }
            for item in sorted(
                self.hosts, key=lambda item: (item.host, item.address)
            )
        ]

    def targets(self, service: str) -> list[Json]:
        """Returns a row for each target of a service, with its state."""
        status = self._status(service)
        leaving_addresses = {
            item.address for item in self.hosts if item.leaving
        }
        parsed = self.services_by_name[service]
        effective_ejections = floor.in_effect(
            parsed,
            status,
            [
                target.id
                for target in parsed.targets
                if target.address in leaving_addresses
            ],
        )
        rows = []
        for target in parsed.targets:
            row: Json = {
                "target": target.id,
                "address": target.address,
                "availability_zone": target.availability_zone,
                "region": target.region,
                "slots": target.slots,
                "state": "in use",
                "reason": "no ejection is published",
            }
            rows.append(row)
            if target.id in status.leaving:
                row["state"] = "leaving"
                row["reason"] = (
                    f"incarnation {status.leaving[target.id]} drains"
                )
            elif target.address in leaving_addresses:
                row["state"] = "leaving"
                row["reason"] = "the host list shows it as leaving"
            elif target.id in status.ejected:
                ejection = status.ejected[target.id]
                row["state"] = "ejected"
                row |= {
                    name: getattr(ejection, name)
                    for name in ejection.__slots__
                }
                if target.id not in effective_ejections:
                    row["state"] = "re-admitted"
                    row["reason"] += ", but the floor needs it"
            elif target.id in status.cold:
                row["state"] = "cold"
                row["reason"] = (
                    "it started recently and gets canary requests only"
                )
            elif target.id in status.released:
                row["reason"] = "its ejection has ended"
        return rows

    def shards(self, service: str) -> list[Json]:
        """Returns a row for each shard of a service, with its owner.

        The owner is computed from the members that the zones' reports show
        as alive; it is empty for a region without such members.
        """
        rows = []
        for region in self.services_by_name[service].regions:
            hosts_by_id = {
                member_id: item.host
                for report in self.reports
                if report.region == region
                for member_id, item in report.members.items()
                if item.role == member_tables.DISPATCH
                and item.state == "alive"
            }
            owner = rendezvous.first(f"{service}/{region}", hosts_by_id)
            rows.append(
                {
                    "region": region,
                    "owner": owner or "",
                    "host": hosts_by_id.get(owner or "", ""),
                    "candidates": len(hosts_by_id),
                }
            )
        return rows

    def history(self, service: str) -> list[Json]:
        """Returns ejections and re-admissions of a service, newest first."""
        items = reversed(self._status(service).history)
        return [item.as_dict() for item in items]

    def explanation(self, service: str) -> Json:
        """Returns the targets, shards, slots and history of a service."""
        parsed = self.services_by_name[service]
        targets = self.targets(service)
        slots_in_use = sum(
            row["slots"] for row in targets if row["state"] in IN_USE
        )
        return {
            "service": service,
            "number": self.manifest.number,
            "version": self.manifest.services[service].version,
            "status_number": self._status(service).config_number,
            "floor_slots": parsed.floor_slots,
            "total_slots": parsed.total_slots,
            "slots_in_use": slots_in_use,
            "targets": targets,
            "shards": self.shards(service),
            "history": self.history(service),
        }

    def _status(self, service: str) -> service_status.ServiceStatus:
        found = self.status_by_service.get(service)
        return found or service_status.ServiceStatus(service=service)

    def as_dict(self) -> Json:
        """Returns the whole view as JSON values."""
        return {
            "number": self.manifest.number,
            "publish_id": self.manifest.publish_id,
            "zones": self.zones(),
            "members": self.members(),
            "services": {
                name: self.targets(name) for name in self.services_by_name
            },
            "hosts": self.host_rows(),
            "problems": self.problems,
        }


async def read(
    store: stores.Store, *, only_service: str | None = None
) -> FleetView:
    """Reads a view from the platform.

    Args:
        store: Object API of the platform.
        only_service: Only service whose body is read; None for all.

    Raises:
        StoreError: The platform does not answer.
        ServiceFileError: The manifest is unreadable or does not contain
            ``only_service``.
    """
    problems: list[str] = []
    manifest = await read_manifest(store)
    names = sorted(manifest.services)
    if only_service is not None:
        if only_service not in manifest.services:
            raise errors.ServiceFileError(
                f"{only_service}: not in manifest {manifest.number}"
            )
        names = [only_service]
    services = await _read_services(store, manifest, names, problems)
    status = {}
    for item in await store.list(_STATUS_PREFIX):
        name = item.key.removeprefix(_STATUS_PREFIX)
        try:
            status[name] = service_status.decode(item.value, service=name)
        except errors.StoreError as error:
            problems.append(str(error))
    return FleetView(
        manifest=manifest,
        services_by_name=services,
        status_by_service=status,
        reports=_parse_reports(await store.list(in_force.PREFIX), problems),
        hosts=await store.hosts(),
        problems=problems,
    )


async def read_manifest(store: stores.Store) -> manifests.Manifest:
    """Returns the manifest, which is empty before the first publish.

    Raises:
        StoreError: The platform does not answer.
        ServiceFileError: The manifest is unreadable.
    """
    found = await store.get(manifests.KEY)
    if found is None:
        return manifests.EMPTY
    return manifests.decode(found.value, source=manifests.KEY)


async def _read_services(
    store: stores.Store,
    manifest: manifests.Manifest,
    names: list[str],
    problems: list[str],
) -> dict[str, service_file.ServiceFile]:
    read_limit = asyncio.Semaphore(_PARALLEL_READS)
    services = {}

    async def add(name: str) -> None:
        key = manifests.body_key(name, manifest.services[name].version)
        async with read_limit:
            found = await store.get(key)
        if found is None:
            problems.append(f"{key}: no such object")
            return
        try:
            services[name] = service_file.parse(found.value, source=key)
        except errors.ServiceFileError as error:
            problems.append(str(error))

    await asyncio.gather(*(add(name) for name in names))
    return dict(sorted(services.items()))


def _parse_reports(
    objects: list[stores.StoredObject], problems: list[str]
) -> list[in_force.ZoneReport]:
    reports = []
    for item in objects:
        try:
            reports.append(in_force.ZoneReport.model_validate_json(item.value))
        except pydantic.ValidationError as error:
            problems.append(service_file.describe(error, source=item.key))
    return reports
