"""Service files of the soak test."""

from __future__ import annotations

import json
import typing

from bench import soak_targets
from fuchsiacourse import publish_files
from fuchsiacourse import service_file

ZONES_BY_REGION = {
    "tayside": ("tay-a", "tay-b"),
    "lothian": ("lot-a", "lot-b"),
}
SERVICES = ("larder", "kettlebook")
TARGETS_PER_REGION = 4
SLOTS = 3
# Allows the ejection of three of the eight targets of 3 slots.
FLOOR_SLOTS = 15
MEAN_S_BY_KIND = {"look": 0.05, "book": 0.05, "search": 0.15}

# Account whose burst limit stores the publish count.
COUNTER_ACCOUNT = "publishes"


def candidate(service: str, publishes: int) -> publish_files.Candidate:
    """Returns a version of a service file.

    Args:
        service: Name of the service.
        publishes: Publish count that identifies the version.
    """
    content = {
        "service": service,
        "targets": targets(service),
        "floor_slots": FLOOR_SLOTS,
        "kinds": [_kind(service, name) for name in MEAN_S_BY_KIND],
        "account_limits": {
            "by_account": {
                COUNTER_ACCOUNT: {"rate_per_s": 1.0, "burst": publishes}
            }
        },
    }
    body = json.dumps(content).encode()
    return publish_files.Candidate(
        parsed=service_file.parse(body, source=service),
        body=body,
        source=service,
    )


def publishes_of(service: service_file.ServiceFile) -> int:
    """Returns the publish count that identifies a version."""
    return service.account_limits.by_account[COUNTER_ACCOUNT].burst


def target_addresses(service: str) -> list[str]:
    """Returns the addresses of a service's targets."""
    return [item["address"] for item in targets(service)]


def targets(service: str) -> list[dict[str, typing.Any]]:
    """Returns the targets as the service file lists them."""
    network = SERVICES.index(service)
    found = []
    for region_index, (region, zones) in enumerate(ZONES_BY_REGION.items()):
        for number in range(TARGETS_PER_REGION):
            found.append(
                {
                    "id": f"{service}-{region_index}-{number}",
                    "address": f"10.5{network}.{region_index}.{number + 1}:80",
                    "availability_zone": zones[number % len(zones)],
                    "region": region,
                    "slots": SLOTS,
                    "connection_limit": 400,
                }
            )
    return found


def _kind(service: str, name: str) -> dict[str, typing.Any]:
    is_booking = name == "book"
    return {
        "name": name,
        "method": "POST" if is_booking else "GET",
        "path_prefix": f"/{service}/{name}",
        "idempotent": not is_booking,
        "worth": 5.0 if is_booking else 1.0,
        "deadline_ms": 4000 if name == "search" else 2000,
        "length": "long" if name == "search" else "short",
        "expected_ms": int(MEAN_S_BY_KIND[name] * 1000),
        "answer_checks": {"json_fields": list(soak_targets.ANSWER_FIELDS)},
    }
