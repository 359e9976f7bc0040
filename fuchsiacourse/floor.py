"""Computes which ejections the floor of a service's healthy slots allows.

A target counts as healthy here if it is in the service file and neither
ejected, leaving, cold nor unknown. Every function is pure, so that all
processes with the same configuration and status object get the same result.
"""

from __future__ import annotations

from collections.abc import Collection
import math

from fuchsiacourse import service_file
from fuchsiacourse import service_status


def healthy_slots(
    service: service_file.ServiceFile, unhealthy: Collection[str]
) -> int:
    """Returns the number of slots of the targets that are not unhealthy.

    Args:
        service: Service file.
        unhealthy: Identifiers of the unhealthy targets.
    """
    return sum(
        target.slots
        for target in service.targets
        if target.id not in unhealthy
    )


def readmission_order(status: service_status.ServiceStatus) -> list[str]:
    """Returns the ejected targets in the order of their re-admission.

    The oldest ejection comes first, because that target has had the longest
    time to recover.
    """
    return sorted(
        status.ejected, key=lambda id: (status.ejected[id].since, id)
    )


def in_effect(
    service: service_file.ServiceFile,
    status: service_status.ServiceStatus,
    unhealthy: Collection[str] = (),
) -> set[str]:
    """Returns the ejected targets whose ejection the floor allows.

    If the floor can't be met even without ejections, none is in effect.

    Args:
        service: Newest service file.
        status: Status object.
        unhealthy: Targets that this process knows to be leaving or cold.
    """
    unusable = set(status.leaving) | set(status.cold) | set(unhealthy)
    ejected = set(status.ejected) & set(service.targets_by_id)
    slots = healthy_slots(service, unusable | ejected)
    for id in readmission_order(status):
        if slots >= service.floor_slots:
            break
        if id in ejected and id not in unusable:
            ejected.discard(id)
            slots += service.targets_by_id[id].slots
    if slots < service.floor_slots:
        return set()
    return ejected


def usable(
    service: service_file.ServiceFile,
    status: service_status.ServiceStatus,
    unhealthy: Collection[str] = (),
) -> set[str]:
    """Returns the targets without an ejection in effect.

    Args:
        service: Newest service file.
        status: Status object.
        unhealthy: Targets that this process knows to be leaving or cold.
    """
    return set(service.targets_by_id) - in_effect(service, status, unhealthy)


def may_eject(
    service: service_file.ServiceFile,
    status: service_status.ServiceStatus,
    target_id: str,
    unhealthy: Collection[str] = (),
) -> bool:
    """Returns whether the floor holds after one more ejection.

    Released targets count as ejected, because some process may not have
    read their release yet.

    Args:
        service: Newest service file.
        status: Status object that the write is conditional on.
        target_id: Target to eject.
        unhealthy: Targets that this process knows to be leaving or cold, or
            knows nothing about.
    """
    unusable = {target_id, *unhealthy}
    for ids in (
        status.ejected,
        status.leaving,
        status.cold,
        status.released,
    ):
        unusable.update(ids)
    return healthy_slots(service, unusable) >= service.floor_slots


def shard_floor(service: service_file.ServiceFile, region: str) -> int:
    """Returns the slots that suspicion must leave in use in a region.

    Suspicion is known in its own region only, so each region keeps a part
    of the floor in proportion to its slots, rounded up.

    Args:
        service: Service file.
        region: Name of the region.
    """
    slots = sum(
        target.slots for target in service.targets if target.region == region
    )
    return math.ceil(service.floor_slots * slots / service.total_slots)
