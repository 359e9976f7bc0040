"""Services, rates and run times of both users, as in the design page.

The rates are derived from the slots: ordinary load uses 60 % of them.
"""

from __future__ import annotations

import math
import random

from fuchsiacourse import service_file

SHORT_S = 0.050
LONG_S = 0.150
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 30.0
LONG_SHARE = 0.2
# Shape of the run times without stragglers; at 0.5 the standard deviation is
# about half of the mean.
LOGNORMAL_SIGMA = 0.5
ORDINARY_USE = 0.6
PEAK_USE = 2.0
FLOOR_SHARE = 0.6

# Name, length, idempotence, worth, deadline in ms and share of requests.
_KINDS = (
    ("lookup", service_file.Length.SHORT, True, 1.0, 2_000, 0.6),
    ("booking", service_file.Length.SHORT, False, 5.0, 4_000, 0.2),
    ("export", service_file.Length.LONG, True, 2.0, 8_000, 0.2),
)


class User:
    """Fleet size and services of one user.

    Args:
        name: Short name.
        zones_by_region: Availability zones of each region.
        targets_by_service: Number of targets of each service.
        slots: Slots of each target.
        connections: Connection limit of each target.
    """

    __slots__ = (
        "name",
        "zones_by_region",
        "targets_by_service",
        "slots",
        "connections",
    )

    def __init__(
        self,
        *,
        name: str,
        zones_by_region: dict[str, tuple[str, str]],
        targets_by_service: dict[str, int],
        slots: int,
        connections: int,
    ) -> None:
        self.name = name
        self.zones_by_region = zones_by_region
        self.targets_by_service = targets_by_service
        self.slots = slots
        self.connections = connections


USERS = (
    User(
        name="glenmorach",
        zones_by_region={
            "tayside": ("tay-a", "tay-b"),
            "lothian": ("lot-a", "lot-b"),
        },
        targets_by_service={"larder": 8, "dispatch": 12, "kettlebook": 15},
        slots=3,
        connections=400,
    ),
    User(
        name="piste-carthage",
        zones_by_region={
            "tunis-nord": ("ariana", "bizerte"),
            "sahel-sud": ("sousse", "monastir"),
        },
        targets_by_service={
            "horaires": 8,
            "reservations": 9,
            "couloirs": 12,
        },
        slots=6,
        connections=330,
    ),
)


def services() -> list[service_file.ServiceFile]:
    """Returns the services of both users."""
    return [
        service(user, name)
        for user in USERS
        for name in user.targets_by_service
    ]


def service(user: User, name: str) -> service_file.ServiceFile:
    """Returns one service with targets spread over regions and zones."""
    places = [
        (region, zones[index])
        for index in (0, 1)
        for region, zones in user.zones_by_region.items()
    ]
    count = user.targets_by_service[name]
    targets = []
    for index in range(count):
        region, zone = places[index % len(places)]
        targets.append(
            service_file.Target(
                id=f"{name}-{index}",
                address=f"127.0.0.1:{9000 + index}",
                availability_zone=zone,
                region=region,
                slots=user.slots,
                connection_limit=user.connections,
            )
        )
    return service_file.ServiceFile(
        service=name,
        targets=targets,
        floor_slots=math.ceil(FLOOR_SHARE * count * user.slots),
        kinds=kinds(name),
    )


def kinds(name: str) -> list[service_file.RequestKind]:
    """Returns the request kinds of a service."""
    return [
        service_file.RequestKind(
            name=kind,
            method="GET" if idempotent else "POST",
            path_prefix=f"/{name}/{kind}",
            idempotent=idempotent,
            worth=worth,
            deadline_ms=deadline_ms,
            length=length,
            expected_ms=round(1000 * mean_s(length)),
        )
        for kind, length, idempotent, worth, deadline_ms, _ in _KINDS
    ]


def mean_s(length: service_file.Length) -> float:
    """Returns the mean run time in seconds, excluding stragglers."""
    return SHORT_S if length is service_file.Length.SHORT else LONG_S


def mean_run_s() -> float:
    """Returns the mean run time in seconds, including stragglers."""
    base = (1.0 - LONG_SHARE) * SHORT_S + LONG_SHARE * LONG_S
    return base * (1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0))


def rate_per_s(slots: int, use: float = ORDINARY_USE) -> float:
    """Returns the requests per second that use a share of the slots."""
    return slots * use / mean_run_s()


def pick_kind(
    service: service_file.ServiceFile, rng: random.Random
) -> service_file.RequestKind:
    """Draws a request kind by the kinds' shares."""
    weights = [item[-1] for item in _KINDS]
    return rng.choices(service.kinds, weights)[0]


def run_s(kind: service_file.RequestKind, rng: random.Random) -> float:
    """Draws the run time in seconds of a request at a healthy target."""
    location = math.log(mean_s(kind.length)) - LOGNORMAL_SIGMA**2 / 2.0
    drawn_s = rng.lognormvariate(location, LOGNORMAL_SIGMA)
    if rng.random() < STRAGGLER_SHARE:
        drawn_s *= STRAGGLER_FACTOR
    return drawn_s
