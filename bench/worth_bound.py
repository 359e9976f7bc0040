"""What perfect knowledge of the targets could be worth on a day.

A bound for the decisions of the fronts, from the figures of a day file. It
knows at each moment which target is well, so that only these losses remain:
failures that come with the work itself, work that takes many times as long as
usual, requests in flight and arriving while all fronts are down, and requests
that all targets of a service turn away beyond the budget for repeats. Queues
are empty, and no byte, probe or call is priced.
"""

from __future__ import annotations

import math
import pathlib
import tomllib
import typing

import typer

WINDOW_S = 2.0
# Bounds of the operator where the file names none.
REPEAT_SHARE = 0.2
REPEAT_WINDOW_S = 10.0

Fields = dict[str, typing.Any]


class KindBound:
    """What remains of one kind of request under perfect knowledge.

    Args:
        fields: The kind as the day file has it.
        per_s: Requests a second.
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
        # A request that may run again fails, or is late, only if both of
        # its runs are.
        power = 2 if fields["kind"] == "safe" else 1
        self.failing = error**power
        self.late = tail**power
        self.late_share = fields["late_worth"] / self.worth

    def credit(self, lost: float) -> float:
        """Returns the share of the worth that is earned.

        Args:
            lost: Share of the requests lost to the faults of the day.
        """
        served = (1.0 - lost) * (1.0 - self.failing)
        return served * (1.0 - self.late * (1.0 - self.late_share))


class WorthBound:
    """Bound of one day.

    Args:
        site: The site file.
        day: One of its days.
        repeat_extra: Repeats of a service beyond the share of its requests
            in a window.
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

    def turned_away(self, service: str) -> float:
        """Returns the requests of a service that end unserved."""
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
            repeats = (
                REPEAT_SHARE * per_s * for_s
                + self._repeat_extra * for_s / REPEAT_WINDOW_S
            )
            served = (1.0 - fault["x"]) * (per_s * for_s + repeats)
            total += max(0.0, per_s * for_s - served)
        return total

    def parts(self) -> dict[str, float]:
        """Returns the parts of the worth before prices, 0 to 1."""
        length_s = self._length_s
        down_s = float(self._closing.get("down_s", 0.0))
        owed = earned = missed = count = 0.0
        worst_kind = worst_window = 1.0
        for kind in self._kinds:
            in_flight = kind.per_s * kind.work_s if self._closing else 0.0
            arrived = kind.per_s * length_s
            lost = in_flight + self.turned_away(kind.service)
            credit = kind.credit(lost / arrived)
            # Callers that connect while all are down come late.
            late = kind.per_s * down_s / arrived
            credit -= late * (1.0 - kind.late_share)
            owed += kind.worth * arrived
            earned += kind.worth * arrived * credit
            missed += lost + arrived * kind.failing
            count += arrived
            worst_kind = min(worst_kind, credit)
        if self._closing:
            worst_window = self._closing_window(down_s)
        unserved = max(missed / count, self._goal["nines_best"])
        return {
            "mean": earned / owed,
            "window": min(worst_window, earned / owed),
            "class": worst_kind,
            "nines": math.log(unserved) / math.log(self._goal["nines_best"]),
        }

    def worth(self) -> float:
        """Returns the worth before prices."""
        return sum(
            self._goal[name] * value for name, value in self.parts().items()
        )

    def _closing_window(self, down_s: float) -> float:
        """Returns the mean credit of the window of the loss and the next."""
        owed = earned = 0.0
        for kind in self._kinds:
            arrived = kind.per_s * 2.0 * WINDOW_S
            lost = kind.per_s * kind.work_s
            late = kind.per_s * down_s * (1.0 - kind.late_share)
            owed += kind.worth * arrived
            earned += kind.worth * max(0.0, arrived - lost - late)
        return earned / owed


def _per_s(traffic: list[Fields], name: str) -> float:
    return sum(
        item["per_s"] * item["mix"].get(name, 0.0) / sum(item["mix"].values())
        for item in traffic
    )


def main(site_file: pathlib.Path, repeat_extra: float) -> None:
    """Prints the bound of each day of a site file.

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
