"""Tracking of the current incarnation of a target."""

from __future__ import annotations

import enum

from fuchsiacourse import target_health
from fuchsiacourse import target_row


class Change(enum.Enum):
    """Relation of an observed incarnation to the target's current one."""

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
    """Updates a target's incarnation from an answer or report.

    An incarnation that preceded the current one stays outdated, so a late
    report can't bring it back. While a target is leaving, a new incarnation
    is accepted only at its second report, so that a single late report of a
    process not seen here before can't end the leaving state.

    Args:
        row: Target; its incarnation is replaced by a newer one.
        details: Health record of the target.
        incarnation: Observed incarnation; empty if none is given.
        draining: Whether the observation says that the target is leaving.
        is_report: Whether it is a report rather than an answer.

    Returns:
        How the observed incarnation relates to the current one.
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
