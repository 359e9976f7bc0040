"""What the detection keeps for each target besides its evidence."""

from __future__ import annotations

import collections

from fuchsiacourse import target_row

# Number of earlier process starts of a target that are remembered.
KNOWN_INCARNATIONS = 16


class TargetHealth:
    """Kept in ``TargetRow.details``; times are monotonic seconds.

    Args:
        now: Time at which the target was first seen.
    """

    __slots__ = (
        "first_seen_s",
        "is_known",
        "leaving_since_s",
        "past_incarnations",
        "new_incarnation",
        "weak_signs",
        "cold_since_s",
        "ejected_at_s",
        "backoff_s",
        "retry_at_s",
        "unhealthy_kind",
        "reason",
        "good_canaries",
        "next_canary_s",
        "canary_offered",
        "canary_used",
        "good_probes",
        "readmitted_at_s",
        "is_readmitted",
        "is_listed",
        "over_threshold_since_s",
        "is_suspect",
        "suspicions",
        "suspected_at_s",
        "suspect_until_s",
    )

    def __init__(self, *, now: float) -> None:
        self.first_seen_s = now
        # Whether any answer or report has come since.
        self.is_known = False
        self.leaving_since_s: float | None = None
        self.past_incarnations: collections.deque[str] = collections.deque(
            maxlen=KNOWN_INCARNATIONS
        )
        # Seen once while the target was leaving; a second report of it
        # confirms that the target has started anew.
        self.new_incarnation = ""
        # Failed probes and reports of bad health in a row.
        self.weak_signs = 0
        self.cold_since_s: float | None = None
        self.ejected_at_s = 0.0
        self.backoff_s = 0.0
        # Time of the next canary request of an ejected target.
        self.retry_at_s = 0.0
        # Kind that led to the ejection; empty if all kinds did.
        self.unhealthy_kind = ""
        self.reason = ""
        self.good_canaries = 0
        self.next_canary_s = 0.0
        self.canary_offered = False
        self.canary_used = False
        self.good_probes = 0
        self.readmitted_at_s: float | None = None
        # Canaries succeeded but the status object still lists the ejection.
        self.is_readmitted = False
        self.is_listed = False
        self.over_threshold_since_s: float | None = None
        self.is_suspect = False
        # Number of suspicions, the older ones with less weight.
        self.suspicions = 0.0
        self.suspected_at_s = 0.0
        self.suspect_until_s = 0.0


def of(row: target_row.TargetRow, now: float) -> TargetHealth:
    """Returns the health record of a row, made at the first use."""
    if row.details is None:
        row.details = TargetHealth(now=now)
    return row.details
