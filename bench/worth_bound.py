"""Upper bound of a day's worth with perfect knowledge of target health.

Bounds the decisions of the fronts, from the figures of a site file. With each
target's health known at every moment, only these losses remain: failures of
the work itself, work that takes many times as long as usual, requests in
flight and arriving while all fronts are down, and requests that all targets
of a service shed beyond the retry budget. Queues are empty, and bytes,
probes and calls have no price.
"""

from __future__ import annotations

import math
import pathlib
import tomllib
import typing

import typer

WINDOW_S = 2.0
# Retry budget if the site file sets none: retries as a share of the requests
# and the window in seconds.
RETRY_SHARE = 0.2
RETRY_WINDOW_S = 10.0

Fields = dict[str, typing.Any]


class KindBound:
    """Remaining losses of one request kind under perfect knowledge.

    Args:
        fields: The kind's table in the site file.
        per_s: Requests per second.
    """

    __slots__ = (
        "name",
        "service",
        "per_s",
        "worth",
        "failing",
        "late",
        "work_s",
        "late_share",
    )

    def __init__(self, fields: Fields, per_s: float) -> None:
        self.name: str = fields["name"]
        self.service: str = fields["service"]
        self.per_s = per_s
        self.worth = float(fields["worth"])
        work = fields["work_ms"]
        self.work_s = work["mean"] / 1000.0
        tail_ms = work["mean"] * work["tail_x"]
        tail = work["tail"] if tail_ms > fields["aim_ms"] else 0.0
        error = fields["error_share"]
        # A request that may be retried fails or is late only if both of its
        # attempts are.
        power = 2 if fields["kind"] == "safe" else 1
        self.failing = error**power
        self.late = tail**power
        self.late_share = fields["late_worth"] / self.worth

    def credit(self, lost: float) -> float:
        """Returns the earned share of the kind's worth.

        Args:
            lost: Share of the requests lost to the day's faults.
        """
        served = (1.0 - lost) * (1.0 - self.failing)
        return served * (1.0 - self.late * (1.0 - self.late_share))


class WorthBound:
    """Upper bound of the worth of one day.

    Args:
        site: Contents of the site file.
        day: One day of the site file.
        repeat_extra: Retries allowed to a service per window, in addition
            to the share of its requests.
    """

    def __init__(self, site: Fields, day: Fields, repeat_extra: float) -> None:
        self.name: str = day["name"]
        self._goal: Fields = site["goal"]
        self._length_s = float(day.get("length_s", site["length_s"]))
        self._closing: Fields = day.get("closing", {})
        self._repeat_extra = repeat_extra
        self._faults: list[Fields] = day.get("faults", [])
        traffic = day.get("traffic", site["traffic"])
        self._kinds = [
            KindBound(item, _per_s(traffic, item["name"]))
            for item in site["classes"]
        ]

    def unserved_requests(self, service: str) -> float:
        """Returns the number of a service's requests that end unserved."""
        total = 0.0
        for fault in self._faults:
            if fault.get("how") != "shed all":
                continue
            if fault.get("service", service) != service:
                continue
            per_s = sum(
                kind.per_s for kind in self._kinds if kind.service == service
            )
            for_s = float(fault["for_s"])
            retries = (
                RETRY_SHARE * per_s * for_s
                + self._repeat_extra * for_s / RETRY_WINDOW_S
            )
            served = (1.0 - fault["x"]) * (per_s * for_s + retries)
            total += max(0.0, per_s * for_s - served)
        return total

    def parts(self) -> dict[str, float]:
        """Returns the parts of the worth before prices, each 0 to 1."""
        length_s = self._length_s
        down_s = float(self._closing.get("down_s", 0.0))
        possible = earned = missed = count = 0.0
        worst_kind = worst_window = 1.0
        for kind in self._kinds:
            in_flight = kind.per_s * kind.work_s if self._closing else 0.0
            arrived = kind.per_s * length_s
            lost = in_flight + self.unserved_requests(kind.service)
            credit = kind.credit(lost / arrived)
            # Requests that arrive while all fronts are down are late.
            late = kind.per_s * down_s / arrived
            credit -= late * (1.0 - kind.late_share)
            possible += kind.worth * arrived
            earned += kind.worth * arrived * credit
            missed += lost + arrived * kind.failing
            count += arrived
            worst_kind = min(worst_kind, credit)
        if self._closing:
            worst_window = self._closing_window(down_s)
        unserved = max(missed / count, self._goal["nines_best"])
        return {
            "mean": earned / possible,
            "window": min(worst_window, earned / possible),
            "class": worst_kind,
            "nines": math.log(unserved) / math.log(self._goal["nines_best"]),
        }

    def worth(self) -> float:
        """Returns the day's worth before prices."""
        return sum(
            self._goal[name] * value for name, value in self.parts().items()
        )

    def _closing_window(self, down_s: float) -> float:
        """Returns the mean credit of the shutdown's window and the next."""
        possible = earned = 0.0
        for kind in self._kinds:
            arrived = kind.per_s * 2.0 * WINDOW_S
            lost = kind.per_s * kind.work_s
            late = kind.per_s * down_s * (1.0 - kind.late_share)
            possible += kind.worth * arrived
            earned += kind.worth * max(0.0, arrived - lost - late)
        return earned / possible


def _per_s(traffic: list[Fields], name: str) -> float:
    return sum(
        item["per_s"] * item["mix"].get(name, 0.0) / sum(item["mix"].values())
        for item in traffic
    )


def main(site_file: pathlib.Path, repeat_extra: float) -> None:
    """Prints the upper bound of each day of a site file.

    Args:
        site_file: Path of the file.
        repeat_extra: The site's ``retry_budget_extra``.
    """
    site = tomllib.loads(site_file.read_text(encoding="utf-8"))
    for day in site["day"]:
        bound = WorthBound(site, day, repeat_extra)
        parts = " ".join(
            f"{name}={value:.3f}" for name, value in bound.parts().items()
        )
        print(f"{bound.name}: worth before prices {bound.worth():.3f} {parts}")


if __name__ == "__main__":
    typer.run(main)
