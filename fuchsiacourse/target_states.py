"""Changes the states of the targets of one shard.

It is apart from the health of the shard, which reports events to it.
"""

from __future__ import annotations

import math
import typing

from fuchsiacourse import candidates as candidate_order
from fuchsiacourse import detector as detectors
from fuchsiacourse import floor
from fuchsiacourse import logs
from fuchsiacourse import service_status
from fuchsiacourse import shard as shards
from fuchsiacourse import target_health
from fuchsiacourse import target_row

# Shares of the threshold at which a target becomes suspect and below which
# it stops being suspect.
SUSPECT_SHARE = 0.3
CLEAR_SHARE = 0.15
# Share of the threshold to which scores over it are lowered while most
# targets fail.
# It is far above SUSPECT_SHARE, so that the targets still count as unhealthy
# together.
DISCOUNTED_SHARE = 0.55
# Consecutive failed probes or bad reports that make a target suspect.
WEAK_SIGNS = 3
# Seconds for which a target stays suspect at least. The time triples with
# each recent suspicion, because a flapping target looks healthy between its
# faults.
FIRST_SUSPICION_S = 1.5
# The same for a kind whose requests can't be used for tests.
UNTESTABLE_SUSPICION_S = 5.0
SUSPICION_FACTOR = 3.0
MAX_SUSPICION_S = 60.0
# Time in seconds in which the weight of earlier suspicions decays to 1/e.
SUSPICION_MEMORY_S = 30.0
# An ejection younger than this, in seconds, counts as simultaneous with other
# faults.
SIMULTANEOUS_FAULT_S = 30.0
# Seconds from an ejection to the first canary request.
FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
# Seconds after a re-admission from which a new ejection starts with the first
# back-off again.
BACKOFF_RESET_S = 600.0
# A canary without requests is re-admitted after this time, in seconds, if its
# probes succeed.
IDLE_CANARY_S = 30.0

_State = target_row.TargetState
_Outcome = target_row.Outcome
# States of an ejected target: it receives no requests, or only canary
# requests.
EJECTED_STATES = (_State.EJECTED, _State.CANARY)


class TargetStates:
    """Changes the states of the targets of one shard.

    Args:
        shard: Tables of the shard.
        detector: Scores the evidence on the targets.
        log: Logger.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        detector: detectors.Detector,
        log: typing.Any,
    ) -> None:
        self._shard = shard
        self._detector = detector
        self._log = log
        # Monotonic time in seconds until which the status that was applied
        # last may be used.
        self.valid_until_s = 0.0

    def enter(
        self, row: target_row.TargetRow, state: _State, now: float
    ) -> None:
        """Puts a target into a state and logs the change."""
        if row.state is state:
            return
        details = target_health.get_or_create(row, now)
        previous = row.state
        row.state = state
        row.state_since_s = now
        details.is_suspect = state is _State.SUSPECT
        details.canary_offered = False
        details.cold_since_s = now if state is _State.COLD else None
        if state is _State.CANARY:
            details.good_canaries = 0
            details.good_probes = 0
            details.canary_used = False
        logs.event(
            self._log,
            "target_state",
            service=self._shard.service.service,
            target=row.id,
            state=state.value,
            previous=previous.value,
        )

    def set_leaving(
        self, row: target_row.TargetRow, now: float, *, source: str
    ) -> None:
        """Marks the current incarnation of a target as leaving.

        Args:
            row: The target.
            now: Monotonic time in seconds.
            source: Source of the information: ``hosts``, ``status`` or
                ``target``.
        """
        if row.leaving:
            return
        row.leaving = True
        target_health.get_or_create(row, now).leaving_since_s = now
        logs.event(
            self._log,
            "target_leaving",
            service=self._shard.service.service,
            target=row.id,
            source=source,
        )

    def end_leaving(self, row: target_row.TargetRow, now: float) -> None:
        """Marks the current incarnation of a target as not leaving.

        Args:
            row: The target.
            now: Monotonic time in seconds.
        """
        details = target_health.get_or_create(row, now)
        row.leaving = False
        details.leaving_since_s = None
        details.inherits_leaving = False

    def restart(self, row: target_row.TargetRow, now: float) -> None:
        """Resets a target that has a new incarnation.

        It is leaving as long as the host list says so of its host. An
        ejected target becomes a canary, any other target becomes cold.
        """
        details = target_health.get_or_create(row, now)
        if details.is_host_leaving:
            details.inherits_leaving = True
        else:
            self.end_leaving(row, now)
        details.bad_probes = 0
        self._detector.forget(row)
        if row.state in EJECTED_STATES:
            # The ejection was of another incarnation: test this one now.
            self.enter(row, _State.CANARY, now)
            return
        details.over_threshold_since_s = None
        self.enter(row, _State.COLD, now)

    def eject(
        self,
        row: target_row.TargetRow,
        listed: service_status.Ejection,
        now: float,
        wall: float,
    ) -> None:
        """Applies an ejection that the status object lists.

        Args:
            row: The target.
            listed: The ejection.
            now: Monotonic time in seconds.
            wall: Unix time in seconds.
        """
        details = target_health.get_or_create(row, now)
        # The age is the difference of two wall clocks, whose error only
        # shifts the time of the first canary request.
        age_s = min(max(0.0, wall - listed.since), listed.backoff_s)
        details.ejected_at_s = now - age_s
        details.retry_at_s = details.ejected_at_s + listed.backoff_s
        details.backoff_s = listed.backoff_s
        details.reason = listed.reason
        details.unhealthy_kind = str(listed.evidence.get("kind", ""))
        details.over_threshold_since_s = None
        self._detector.reset(row, now)
        self.enter(row, _State.EJECTED, now)

    def expire_ejections(self, now: float) -> None:
        """Turns ejections into suspicion if their status is too old."""
        if now <= self.valid_until_s:
            return
        for row in self._shard.targets_by_id.values():
            if row.state in EJECTED_STATES:
                self.enter(row, _State.SUSPECT, now)

    def advance(self, row: target_row.TargetRow, now: float) -> None:
        """Makes the changes of a target's state that depend on time."""
        details = target_health.get_or_create(row, now)
        age_s = now - row.state_since_s
        if row.state is _State.EJECTED:
            if now >= details.retry_at_s:
                self.enter(row, _State.CANARY, now)
        elif row.state is _State.CANARY:
            if (
                age_s >= IDLE_CANARY_S
                and not details.canary_used
                and details.good_probes >= candidate_order.CANARIES_NEEDED
            ):
                self._readmit(row, now)
        elif row.state is _State.COLD:
            warming = row.report is not None and row.report.warming
            if age_s >= candidate_order.SLOW_START_S and not warming:
                self.enter(row, _State.HEALTHY, now)
        self.update_suspicion(row, now)

    def record_canary_result(
        self,
        row: target_row.TargetRow,
        good: bool,
        outcome: target_row.Outcome,
        now: float,
    ) -> None:
        """Records the result of a test of a canary or suspect target.

        Enough successful tests re-admit a target that the status object
        lists as ejected. A suspect target is listed there if its ejection
        has expired or the floor does not allow it.

        Args:
            row: The target.
            good: Whether the test was as good as one of a healthy target.
            outcome: How the test ended.
            now: Monotonic time in seconds.
        """
        details = target_health.get_or_create(row, now)
        if row.state not in (_State.CANARY, _State.SUSPECT):
            return
        if good and outcome is _Outcome.OK:
            details.good_canaries += 1
            if (
                details.is_listed
                and details.good_canaries >= candidate_order.CANARIES_NEEDED
            ):
                self._readmit(row, now)
        if good:
            return
        details.good_canaries = 0
        if row.state is not _State.CANARY:
            return
        details.backoff_s = min(MAX_BACKOFF_S, 2.0 * details.backoff_s)
        details.retry_at_s = now + details.backoff_s
        self._detector.reset(row, now)
        self.enter(row, _State.EJECTED, now)

    def update_suspicion(self, row: target_row.TargetRow, now: float) -> None:
        """Updates a target's suspicion and ``over_threshold_since_s``."""
        if row.state in EJECTED_STATES:
            return
        details = target_health.get_or_create(row, now)
        score = self._detector.score(row, now)
        if (
            not score.value
            and not details.is_suspect
            and not details.is_listed
            and details.bad_probes < WEAK_SIGNS
        ):
            # The usual case: there is no evidence against the target.
            details.over_threshold_since_s = None
            return
        threshold = self._detector.threshold
        if score.value < threshold:
            details.over_threshold_since_s = None
        elif details.over_threshold_since_s is None:
            details.over_threshold_since_s = now
            details.reason = score.reason
        if (
            details.is_suspect
            and now >= details.suspect_until_s
            and score.value < threshold
            and not candidate_order.is_testable(
                self._shard.service, score.kind
            )
        ):
            # No test can clear the target, so it gets ordinary requests
            # again, and a longer suspicion if they fail.
            self._detector.cap_scores(row, CLEAR_SHARE * threshold / 2.0)
            score = self._detector.score(row, now)
        share = CLEAR_SHARE if details.is_suspect else SUSPECT_SHARE
        suspect = (
            score.value >= share * threshold
            or (details.is_suspect and now < details.suspect_until_s)
            or details.bad_probes >= WEAK_SIGNS
            or (details.is_listed and not details.is_readmitted)
        )
        if suspect == details.is_suspect:
            return
        details.is_suspect = suspect
        if suspect:
            strong = score.value >= SUSPECT_SHARE * threshold
            details.unhealthy_kind = score.kind if strong else ""
            self._extend_suspicion(details, now)
        self.update_suspects(now)

    def update_suspects(self, now: float) -> None:
        """Applies suspicion as far as the region's floor allows.

        If too few slots are left without the suspect targets, those with
        the lowest scores are used as if they were not suspect.
        """
        suspects = []
        slots = 0
        for row in self._shard.targets_by_id.values():
            if row.leaving or row.state in EJECTED_STATES:
                continue
            details = target_health.get_or_create(row, now)
            if details.is_suspect:
                score = self._detector.score(row, now).value
                suspects.append((score, row.id, row))
            else:
                if row.state is _State.SUSPECT:
                    self._set_suspicion(row, False, now)
                slots += row.target.slots
        if not suspects:
            return
        needed = floor.shard_floor(self._shard.service, self._shard.region)
        for item in sorted(suspects, key=lambda item: item[:2]):
            row = item[2]
            self._set_suspicion(row, slots >= needed, now)
            if slots < needed:
                slots += row.target.slots

    def discount_common_faults(self, now: float) -> None:
        """Lowers scores over the threshold while most targets fail.

        Otherwise the target that recovers last from a common fault would
        be ejected for it.
        """
        limit = DISCOUNTED_SHARE * self._detector.threshold
        over_threshold = [
            row
            for row in self._shard.targets_by_id.values()
            if target_health.get_or_create(row, now).over_threshold_since_s
            is not None
            and self.is_common_fault(row, now)
        ]
        for row in over_threshold:
            self._detector.cap_scores(row, limit)
            target_health.get_or_create(row, now).over_threshold_since_s = None

    def shifts_limits(self, row: target_row.TargetRow) -> bool:
        """Returns whether a target's latencies count towards the limits.

        An unhealthy target must not raise the limits of its peers, but if
        most targets are suspect, the latencies have changed for all of them.
        """
        if row.state in EJECTED_STATES:
            return False
        if row.state is not _State.SUSPECT:
            return True
        rows = self._shard.targets_by_id.values()
        suspects = sum(item.state is _State.SUSPECT for item in rows)
        return 2 * suspects > len(rows)

    def is_common_fault(self, row: target_row.TargetRow, now: float) -> bool:
        """Returns whether most targets of the shard or zone fail at once.

        Targets ejected more than SIMULTANEOUS_FAULT_S ago are left out. An
        availability zone with one target is not considered, because that
        target would always be the majority.
        """
        zone = row.target.availability_zone
        counts = [0, 0]
        unhealthy_counts = [0, 0]
        for other in self._shard.targets_by_id.values():
            details = target_health.get_or_create(other, now)
            out = other.state in EJECTED_STATES
            if out and now - details.ejected_at_s > SIMULTANEOUS_FAULT_S:
                continue
            in_zone = other.target.availability_zone == zone
            is_unhealthy = (
                out
                or details.bad_probes >= WEAK_SIGNS
                or self._detector.score(other, now).value
                >= SUSPECT_SHARE * self._detector.threshold
            )
            for index, counted in enumerate((True, in_zone)):
                counts[index] += counted
                unhealthy_counts[index] += counted and is_unhealthy
        if 2 * unhealthy_counts[0] > counts[0]:
            return True
        return counts[1] > 1 and 2 * unhealthy_counts[1] > counts[1]

    def next_backoff_s(self, row: target_row.TargetRow, now: float) -> float:
        """Returns the back-off of a new ejection in seconds.

        It doubles for a target that was re-admitted within BACKOFF_RESET_S.
        Only the owner of the shard knows this; a new owner begins with the
        first back-off.
        """
        details = target_health.get_or_create(row, now)
        since = details.readmitted_at_s
        if not details.backoff_s or since is None:
            return FIRST_BACKOFF_S
        if now - since > BACKOFF_RESET_S:
            return FIRST_BACKOFF_S
        return min(MAX_BACKOFF_S, 2.0 * details.backoff_s)

    def _readmit(self, row: target_row.TargetRow, now: float) -> None:
        details = target_health.get_or_create(row, now)
        details.is_readmitted = details.is_listed
        details.readmitted_at_s = now
        self._detector.reset(row, now)
        self.enter(row, _State.COLD, now)

    def _extend_suspicion(
        self, details: target_health.TargetHealth, now: float
    ) -> None:
        elapsed_s = now - details.suspected_at_s
        weight = math.exp(-max(0.0, elapsed_s) / SUSPICION_MEMORY_S)
        details.suspicions = details.suspicions * weight
        first_s = FIRST_SUSPICION_S
        if not candidate_order.is_testable(
            self._shard.service, details.unhealthy_kind
        ):
            first_s = UNTESTABLE_SUSPICION_S
        hold_s = first_s * SUSPICION_FACTOR**details.suspicions
        details.suspect_until_s = now + min(MAX_SUSPICION_S, hold_s)
        details.suspicions += 1.0
        details.suspected_at_s = now

    def _log_suspected(self, row: target_row.TargetRow, now: float) -> None:
        score = self._detector.score(row, now)
        logs.event(
            self._log,
            "target_suspected",
            service=self._shard.service.service,
            target=row.id,
            reason=score.reason,
            kind=score.kind,
            score=round(score.value, 2),
            threshold=round(self._detector.threshold, 2),
            weak_signs=target_health.get_or_create(row, now).bad_probes,
        )

    def _set_suspicion(
        self, row: target_row.TargetRow, suspect: bool, now: float
    ) -> None:
        if suspect and row.state in (_State.HEALTHY, _State.COLD):
            row.state = _State.SUSPECT
            row.state_since_s = now
            self._log_suspected(row, now)
        elif not suspect and row.state is _State.SUSPECT:
            since = target_health.get_or_create(row, now).cold_since_s
            cold = (
                since is not None
                and now - since < candidate_order.SLOW_START_S
            )
            row.state = _State.COLD if cold else _State.HEALTHY
            row.state_since_s = since if cold else now
