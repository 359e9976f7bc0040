"""Which process of a target an observation is about."""

from __future__ import annotations

import enum

from fuchsiacourse import target_health
from fuchsiacourse import target_row


class Change(enum.Enum):
    """What an observation says of the target's process."""

    SAME = "same"
    OUTDATED = "outdated"
    STARTED_ANEW = "started_anew"


def update_incarnation(
    row: target_row.TargetRow,
    details: target_health.TargetHealth,
    incarnation: str,
    draining: bool,
    *,
    is_report: bool,
) -> Change:
    """Takes over the incarnation that an answer or report names.

    An incarnation seen before the present one is outdated for ever, so a
    late report can't bring it back. While a target is leaving, a new
    incarnation is believed at its second report, so that a single late
    report of a process not seen here before can't end the leaving.

    Args:
        row: Target.
        details: Its health record.
        incarnation: Named incarnation; empty if none is named.
        draining: Whether the observation says that the target is leaving.
        is_report: Whether it is a report rather than an answer.
    """
    if not incarnation or incarnation == row.incarnation:
        return Change.SAME
    if incarnation in details.past_incarnations:
        return Change.OUTDATED
    if not row.incarnation:
        row.incarnation = incarnation
        return Change.SAME
    if row.leaving and not draining:
        if not is_report:
            return Change.OUTDATED
        if details.new_incarnation != incarnation:
            details.new_incarnation = incarnation
            return Change.OUTDATED
    details.new_incarnation = ""
    details.past_incarnations.append(row.incarnation)
    row.incarnation = incarnation
    return Change.STARTED_ANEW
