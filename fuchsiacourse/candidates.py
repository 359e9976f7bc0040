"""Order in which targets are offered work."""

from __future__ import annotations

import math

from fuchsiacourse import service_file
from fuchsiacourse import target_health
from fuchsiacourse import target_row

# Time in which the share of a cold target grows to all of its slots.
SLOW_START_S = 10.0
# Attempts of a canary that must succeed one after the other.
CANARIES_NEEDED = 5
# Time between the starts of two canary attempts at a target.
CANARY_INTERVAL_S = 0.2


def cold_allowance(
    row: target_row.TargetRow, details: target_health.TargetHealth, now: float
) -> int:
    """Returns how many attempts a cold target may run at a time."""
    if details.cold_since_s is None:
        return row.target.slots
    share = (now - details.cold_since_s) / SLOW_START_S
    return max(1, math.floor(row.target.slots * min(1.0, share)))


def may_test(
    row: target_row.TargetRow,
    details: target_health.TargetHealth,
    service: service_file.ServiceFile,
    kind: service_file.RequestKind,
    now: float,
) -> bool:
    """Tells whether a request may test a canary or a suspect now.

    Only idempotent requests are used, one at a time, because a failed test
    must be repeatable elsewhere. If one kind led to the ejection, this
    kind is tested.
    """
    if not kind.idempotent or now < details.next_canary_s:
        return False
    if any(item.is_canary for item in row.attempts_by_id.values()):
        return False
    sick = service.kinds_by_name.get(details.sick_kind)
    if sick is not None and sick.idempotent:
        return sick.name == kind.name
    return True


class Candidate:
    """A target that may take one more request.

    Args:
        row: The target.
        rank: Sort key, the best candidate has the lowest.
    """

    __slots__ = ("row", "rank")

    def __init__(
        self,
        *,
        row: target_row.TargetRow,
        rank: tuple[int, float, int, float],
    ) -> None:
        self.row = row
        self.rank = rank


def ranked(found: list[Candidate]) -> list[target_row.TargetRow]:
    """Returns the rows of the candidates, best first."""
    found.sort(key=lambda item: item.rank)
    return [item.row for item in found]
