"""Health record of a target: everything but the evidence of its attempts.

It is apart from the target row because only failure detection reads it.
"""

from __future__ import annotations

import collections

from fuchsiacourse import target_row

# Number of earlier incarnations that are kept for each target.
KNOWN_INCARNATIONS = 16


class TargetHealth:
    """Holds the health of one target, in ``TargetRow.details``.

    All times are monotonic and in seconds.

    Args:
        now: Time at which the target was first seen.
    """

    __slots__ = (
        "first_seen_s",
        "is_known",
        "leaving_since_s",
        "is_host_leaving",
        "inherits_leaving",
        "past_incarnations",
        "new_incarnation",
        "bad_probes",
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
        # Whether the target has answered any request or probe so far.
        self.is_known = False
        self.leaving_since_s: float | None = None
        # Whether the last host list names the target's host as leaving.
        self.is_host_leaving = False
        # Whether the current incarnation is leaving only because its host
        # was when it started.
        self.inherits_leaving = False
        self.past_incarnations: collections.deque[str] = collections.deque(
            maxlen=KNOWN_INCARNATIONS
        )
        # Incarnation seen once while the target was leaving; a second
        # report of it confirms that the target has restarted.
        self.new_incarnation = ""
        # Consecutive failed probes and reports of bad health.
        self.bad_probes = 0
        self.cold_since_s: float | None = None
        self.ejected_at_s = 0.0
        self.backoff_s = 0.0
        # Time from which an ejected target may get canary requests.
        self.retry_at_s = 0.0
        # Request kind that led to the ejection; empty for all kinds.
        self.unhealthy_kind = ""
        self.reason = ""
        # Consecutive successful tests.
        self.good_canaries = 0
        # Earliest time of the next test.
        self.next_canary_s = 0.0
        # Whether the target was offered for a test when the candidates were
        # last ordered.
        self.canary_offered = False
        # Whether a test has started since the target became a canary.
        self.canary_used = False
        # Consecutive successful probes.
        self.good_probes = 0
        self.readmitted_at_s: float | None = None
        # Set once canaries have succeeded while the status object still
        # lists the ejection.
        self.is_readmitted = False
        # Whether the status object lists the target as ejected.
        self.is_listed = False
        self.over_threshold_since_s: float | None = None
        # Whether the evidence calls for suspicion. The target's state only
        # becomes SUSPECT if the floor allows it.
        self.is_suspect = False
        # Number of suspicions; older ones count with less weight.
        self.suspicions = 0.0
        self.suspected_at_s = 0.0
        self.suspect_until_s = 0.0


def get_or_create(row: target_row.TargetRow, now: float) -> TargetHealth:
    """Returns the health record of a target.

    The record is created when it is first needed.

    Args:
        row: Row of the target.
        now: Monotonic time in seconds.
    """
    if row.details is None:
        row.details = TargetHealth(now=now)
    return row.details
