"""Service levels and burn rates computed from the stored counters."""

from __future__ import annotations

import typing

from fuchsiacourse import burn_object
from fuchsiacourse import errors
from fuchsiacourse import service_file
from fuchsiacourse import store as stores

SHORT_WINDOW_S = 3_600.0
LONG_WINDOW_S = 72 * 3_600.0


class KindBurn:
    """Service level of one request kind in one month.

    Args:
        service: Name of the service.
        kind: Name of the request kind.
        counts: Sum of the counts of all zones.
        objective: Required share of good requests; None without one.
        burn_short: Burn rate over the last hour; None without samples or
            objective.
        burn_long: Burn rate over the last 72 hours; None without samples or
            objective.
        points: Unix times in seconds of the samples, each with the share of
            good requests since the sample before.
    """

    __slots__ = (
        "service",
        "kind",
        "counts",
        "objective",
        "burn_short",
        "burn_long",
        "points",
    )

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        counts: burn_object.BurnRow,
        objective: float | None,
        burn_short: float | None,
        burn_long: float | None,
        points: list[tuple[float, float]],
    ) -> None:
        self.service = service
        self.kind = kind
        self.counts = counts
        self.objective = objective
        self.burn_short = burn_short
        self.burn_long = burn_long
        self.points = points

    @property
    def name(self) -> str:
        """Service and kind."""
        return f"{self.service}/{self.kind}"

    @property
    def good_share(self) -> float:
        """Share of requests answered completely and in time."""
        return _share(self.counts.good, self.counts.total)

    @property
    def worth_share(self) -> float:
        """Share of the worth that was served in time."""
        return _share(self.counts.worth_served, self.counts.worth)

    @property
    def budget_left(self) -> float | None:
        """Unused share of the month's error budget, None without objective.

        The budget is that of the requests so far. A negative value means
        that the objective is missed.
        """
        if self.objective is None or not self.counts.total:
            return None
        return 1.0 - (1.0 - self.good_share) / (1.0 - self.objective)

    def as_dict(self) -> dict[str, typing.Any]:
        """Returns the service level as JSON values."""
        return {
            "service": self.service,
            "kind": self.kind,
            "total": self.counts.total,
            "good": self.counts.good,
            "good_share": self.good_share,
            "worth": self.counts.worth,
            "worth_served": self.counts.worth_served,
            "worth_share": self.worth_share,
            "objective": self.objective,
            "budget_left": self.budget_left,
            "burn_1h": self.burn_short,
            "burn_72h": self.burn_long,
        }


class BurnView:
    """Service levels of all kinds in one month.

    Args:
        month: Calendar month.
        kinds: Kinds with requests or an objective, the worst first.
        problems: Messages on objects that could not be decoded.
    """

    def __init__(
        self, *, month: str, kinds: list[KindBurn], problems: list[str]
    ) -> None:
        self.month = month
        self.kinds = kinds
        self.problems = problems

    @property
    def worth_share(self) -> float:
        """Share of the worth of all kinds that was served in time."""
        served = sum(item.counts.worth_served for item in self.kinds)
        return _share(served, sum(item.counts.worth for item in self.kinds))

    def as_dict(self) -> dict[str, typing.Any]:
        """Returns the view as JSON values."""
        return {
            "month": self.month,
            "worth_share": self.worth_share,
            "kinds": [item.as_dict() for item in self.kinds],
            "problems": self.problems,
        }


async def read(
    store: stores.Store,
    services_by_name: dict[str, service_file.ServiceFile],
    *,
    month: str,
) -> BurnView:
    """Reads the counters of all zones for a month.

    Args:
        store: Client of the platform's object API.
        services_by_name: Service files in force.
        month: Calendar month, ``2026-01``.

    Raises:
        StoreError: The objects could not be listed.
    """
    objects = []
    problems = []
    for stored in await store.list(burn_object.PREFIX):
        if not stored.key.endswith(f"/{month}"):
            continue
        try:
            objects.append(burn_object.decode(stored.value))
        except errors.StoreError as error:
            problems.append(f"{stored.key}: {error}")
    return BurnView(
        month=month,
        kinds=combine(objects, services_by_name),
        problems=problems,
    )


def combine(
    objects: list[burn_object.BurnObject],
    services_by_name: dict[str, service_file.ServiceFile],
) -> list[KindBurn]:
    """Returns the service level of each kind, the worst first."""
    row_keys = {
        (service.service, kind.name)
        for service in services_by_name.values()
        for kind in service.kinds
    }
    for item in objects:
        row_keys |= item.totals().keys()
    kinds = [
        _kind_burn(row_key, objects, services_by_name)
        for row_key in sorted(row_keys)
    ]
    return sorted(kinds, key=_severity, reverse=True)


def _kind_burn(
    row_key: burn_object.RowKey,
    objects: list[burn_object.BurnObject],
    services_by_name: dict[str, service_file.ServiceFile],
) -> KindBurn:
    counts = burn_object.BurnRow()
    for item in objects:
        counts = counts.add(item.totals().get(row_key, burn_object.BurnRow()))
    objective = _objective(row_key, services_by_name)
    return KindBurn(
        service=row_key[0],
        kind=row_key[1],
        counts=counts,
        objective=objective,
        burn_short=_burn(row_key, objects, objective, SHORT_WINDOW_S),
        burn_long=_burn(row_key, objects, objective, LONG_WINDOW_S),
        points=_points(row_key, objects),
    )


def _objective(
    row_key: burn_object.RowKey,
    services_by_name: dict[str, service_file.ServiceFile],
) -> float | None:
    service = services_by_name.get(row_key[0])
    if service is None:
        return None
    for objective in service.objectives:
        if objective.kind == row_key[1]:
            return objective.ratio
    return None


def _burn(
    row_key: burn_object.RowKey,
    objects: list[burn_object.BurnObject],
    objective: float | None,
    window_s: float,
) -> float | None:
    """Returns the burn rate: the error rate relative to the allowed one.

    A rate of 1 uses up exactly the error budget of the objective. Returns
    None without an objective or requests.
    """
    total = good = 0
    for item in objects:
        counted = _window(row_key, item, window_s)
        total += counted[0]
        good += counted[1]
    if objective is None or not total:
        return None
    return (1.0 - good / total) / (1.0 - objective)


def _window(
    row_key: burn_object.RowKey, item: burn_object.BurnObject, window_s: float
) -> tuple[int, int]:
    """Returns the numbers of all and of good requests of a zone in a window.

    The window starts at the newest sample that is at least window_s older
    than the last one, or at the start of the month if there is none. It
    ends at the zone's current totals.
    """
    if not item.samples:
        return 0, 0
    last = item.totals().get(row_key, burn_object.BurnRow())
    begin_s = item.samples[-1].at - window_s
    before = [sample for sample in item.samples if sample.at <= begin_s]
    first = (0, 0)
    if before:
        first = before[-1].counts_by_key.get(row_key, (0, 0))
    return last.total - first[0], last.good - first[1]


def _points(
    row_key: burn_object.RowKey, objects: list[burn_object.BurnObject]
) -> list[tuple[float, float]]:
    """Returns time and share of good requests for each sample of all zones."""
    points = []
    for item in objects:
        previous = (0, 0)
        for sample in item.samples:
            counts = sample.counts_by_key.get(row_key, (0, 0))
            total = counts[0] - previous[0]
            if total > 0:
                points.append((sample.at, (counts[1] - previous[1]) / total))
            previous = counts
    return sorted(points)


def _severity(item: KindBurn) -> float:
    left = item.budget_left
    return -1e9 if left is None else -left


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 1.0
