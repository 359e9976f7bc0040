"""Health of the targets of one shard.

Combines the detector's evidence, the target states, the crash detection and
the status object into the decision which targets may take requests.
"""

from __future__ import annotations

from collections.abc import Collection
import random
import typing

from fuchsiacourse import candidates as candidate_order
from fuchsiacourse import crash_detector
from fuchsiacourse import detector as detectors
from fuchsiacourse import incarnations
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import service_file
from fuchsiacourse import service_status
from fuchsiacourse import shard as shards
from fuchsiacourse import target_client
from fuchsiacourse import target_health
from fuchsiacourse import target_row
from fuchsiacourse import target_states

# Time in seconds for which a target's score must exceed the threshold before
# it is ejected. In this time a fault of the network or of this process shows
# at the other targets too. The time is longer for refused and lost
# connections, because they fail at once and raise the score sooner.
EJECTION_DELAY_S = 0.2
CONNECTION_EJECTION_DELAY_S = 0.5
# A target without any answer or probe report for this time, in seconds,
# counts as cold.
UNKNOWN_GRACE_S = 5.0
# Time in seconds after which no new attempt may start at a target that is
# known to be leaving.
LEAVING_LIMIT_S = 3.0

_State = target_row.TargetState
_Outcome = target_row.Outcome
_EJECTED_STATES = target_states.EJECTED_STATES


class Health:
    """Decides which targets of a shard may take requests.

    Args:
        shard: Tables of the shard.
        rng: Source of randomness for ties between targets.
        false_ejections_per_target_s: Bound on the rate of wrong ejections,
            per target and second.
        invariants: Receives the checks that leaving targets get no attempts.
        log: Logger.
        detector: Collects the evidence on the targets; by default a new
            detector.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        rng: random.Random,
        false_ejections_per_target_s: float,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        detector: detectors.Detector | None = None,
    ) -> None:
        self._shard = shard
        self._invariants = invariants
        self._detector = detector or detectors.Detector(
            shard=shard,
            false_ejections_per_target_s=false_ejections_per_target_s,
        )
        self._candidates = candidate_order.Candidates(
            shard=shard, detector=self._detector, rng=rng
        )
        self._crash_detector = crash_detector.CrashDetector()
        self._states = target_states.TargetStates(
            shard=shard, detector=self._detector, log=log
        )

    def record_start(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        """Records the start of an attempt.

        Args:
            row: Target of the attempt.
            attempt: The attempt.
            now: Monotonic time in seconds.
        """
        details = target_health.get_or_create(row, now)
        since = details.leaving_since_s
        self._invariants.check(
            invariant_checks.InvariantId.LEAVING,
            not row.leaving or since is None or now - since <= LEAVING_LIMIT_S,
            service=self._shard.service.service,
            target=row.id,
        )
        if attempt.is_canary:
            details.canary_offered = False
            details.canary_used = True
            details.next_canary_s = now + candidate_order.test_interval_s(
                row, details
            )

    def record_finish(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
        *,
        draining: bool = False,
        incarnation: str = "",
    ) -> None:
        """Records the end of an attempt.

        Args:
            row: Target of the attempt.
            attempt: The attempt.
            outcome: How it ended.
            now: Monotonic time in seconds.
            draining: Whether the answer marks the target as draining.
            incarnation: Incarnation of the target that the answer names;
                empty without one.
        """
        details = target_health.get_or_create(row, now)
        self._record_incarnation(row, incarnation, draining, now)
        if outcome in (_Outcome.OK, _Outcome.ERROR_STATUS, _Outcome.SHED):
            details.is_known = True
        if outcome in (_Outcome.CONNECTION_LOST, _Outcome.UNREACHABLE):
            self._crash_detector.record_failure(row.id, attempt, outcome, now)
        good = self._detector.finished(
            row,
            attempt,
            outcome,
            now,
            shifts_limits=self._states.shifts_limits(row),
        )
        if attempt.is_canary:
            self._states.record_canary_result(row, good, outcome, now)
        self._states.update_suspicion(row, now)

    def record_report(
        self,
        row: target_row.TargetRow,
        report: target_client.TargetReport,
        now: float,
    ) -> None:
        """Records the report of a health probe, which is weak evidence.

        Args:
            row: Target that was probed.
            report: Its report.
            now: Monotonic time in seconds.
        """
        details = target_health.get_or_create(row, now)
        row.report = report
        details.is_known = True
        self._record_incarnation(
            row, report.incarnation, report.draining, now, is_report=True
        )
        if report.warming and row.state is _State.HEALTHY:
            self._states.enter(row, _State.COLD, now)
        if report.healthy:
            details.bad_probes = 0
            details.good_probes += 1
        else:
            details.bad_probes += 1
            details.good_probes = 0
        self._states.update_suspicion(row, now)

    def probe_failed(self, row: target_row.TargetRow, now: float) -> None:
        """Records a health probe that returned no usable report."""
        details = target_health.get_or_create(row, now)
        details.bad_probes += 1
        details.good_probes = 0
        self._crash_detector.record_unreachable(row.id, now)
        self._states.update_suspicion(row, now)

    def host_leaving(self, row: target_row.TargetRow, now: float) -> None:
        """Records that the platform is removing the target's host."""
        target_health.get_or_create(row, now).is_host_leaving = True
        self._states.set_leaving(row, now, source="hosts")

    def host_staying(self, row: target_row.TargetRow, now: float) -> None:
        """Records that the host list doesn't name the host as leaving.

        It ends the leaving state of an incarnation that started on a leaving
        host, but not that of one that was there before.
        """
        details = target_health.get_or_create(row, now)
        details.is_host_leaving = False
        if details.inherits_leaving:
            self._states.end_leaving(row, now)

    def pop_crashes(self) -> list[crash_detector.Crash]:
        """Returns and clears the crashes detected since the last call.

        The caller reports each fingerprint in them to the quarantine.
        """
        return self._crash_detector.pop_crashes()

    def clear_crash_evidence(self, target_ids: Collection[str]) -> None:
        """Clears the errors of targets that a quarantined request crashed.

        Args:
            target_ids: Targets whose crashes the request caused.
        """
        for id in target_ids:
            row = self._shard.targets_by_id.get(id)
            if row is not None:
                self._detector.clear_error_scores(row)

    def tick(self, now: float) -> None:
        """Records the ages of running attempts and updates all states."""
        self._states.expire_ejections(now)
        for row in self._shard.targets_by_id.values():
            for attempt in row.attempts_by_id.values():
                self._detector.record_age(row, attempt, now)
            self._states.advance(row, now)
        self._states.discount_common_faults(now)
        self._states.update_suspects(now)

    def candidates(
        self,
        kind: service_file.RequestKind,
        now: float,
        *,
        is_backlogged: bool = False,
    ) -> list[target_row.TargetRow]:
        """Returns targets that may take one more request, best first.

        A canary or suspect target whose test is due comes first, because
        behind the healthy targets it would only be tested at full load.
        Healthy and cold targets follow, the least used first. Other suspect
        targets come last, and only once all others have had no free slot for
        a short time, unless there are no others or ``is_backlogged`` is set.

        Args:
            kind: Kind of the request.
            now: Monotonic time in seconds.
            is_backlogged: Whether more requests are queued than all targets
                can serve in time.
        """
        self._states.expire_ejections(now)
        return self._candidates.ordered(kind, now, is_backlogged=is_backlogged)

    def expire_ejections(self, now: float) -> None:
        """Ends ejections whose status object is outdated.

        ``candidates`` does the same before it selects targets.
        """
        self._states.expire_ejections(now)

    def is_canary(self, row: target_row.TargetRow) -> bool:
        """Returns whether a request to a candidate would test the target."""
        if row.state is _State.CANARY:
            return True
        return (
            row.state is _State.SUSPECT
            and row.details is not None
            and row.details.canary_offered
        )

    # Methods that the ejection agent calls.

    def pending_ejections(self, now: float) -> list[target_row.TargetRow]:
        """Returns the targets to eject, those with the highest score first.

        A target is left out while most targets of its shard or zone fail
        too.
        """
        pending = []
        for row in self._shard.targets_by_id.values():
            details = target_health.get_or_create(row, now)
            since = details.over_threshold_since_s
            if since is None or row.leaving or row.state in _EJECTED_STATES:
                continue
            delay_s = EJECTION_DELAY_S
            if self._crash_detector.is_unreachable(row.id, now):
                delay_s = CONNECTION_EJECTION_DELAY_S
            if now - since < delay_s:
                continue
            if self._states.is_common_fault(row, now):
                continue
            score = self._detector.score(row, now)
            if score.value >= self._detector.threshold:
                pending.append((-score.value, row.id, row))
        return [item[2] for item in sorted(pending, key=lambda item: item[:2])]

    def ejection(
        self,
        row: target_row.TargetRow,
        *,
        by: str,
        now: float,
        wall: float,
    ) -> service_status.Ejection:
        """Returns the ejection of a target for the status object.

        Args:
            row: Target to eject.
            by: Member that ejects it.
            now: Monotonic time in seconds.
            wall: Unix time in seconds.
        """
        score = self._detector.score(row, now)
        return service_status.Ejection(
            since=wall,
            reason=score.reason,
            evidence={
                "kind": score.kind,
                "score": round(score.value, 2),
                "threshold": round(self._detector.threshold, 2),
            },
            by=by,
            backoff_s=self._states.next_backoff_s(row, now),
            incarnation=row.incarnation,
        )

    def apply(
        self,
        status: service_status.ServiceStatus,
        in_effect: Collection[str],
        *,
        valid_until_s: float,
        now: float,
        wall: float,
    ) -> None:
        """Applies a status object to the targets of the shard.

        Args:
            status: The object.
            in_effect: Targets whose ejection the floor allows.
            valid_until_s: Monotonic time in seconds after which the
                ejections expire.
            now: Monotonic time in seconds.
            wall: Unix time in seconds.
        """
        self._states.valid_until_s = valid_until_s
        for row in self._shard.targets_by_id.values():
            details = target_health.get_or_create(row, now)
            listed = status.ejected.get(row.id)
            details.is_listed = listed is not None
            if listed is None:
                details.is_readmitted = False
            incarnation = status.leaving.get(row.id)
            if incarnation is not None and row.incarnation in (
                "",
                incarnation,
            ):
                self._states.set_leaving(row, now, source="status")
            if (
                listed is not None
                and row.id in in_effect
                and not details.is_readmitted
                and now <= valid_until_s
            ):
                if row.state not in _EJECTED_STATES:
                    self._states.eject(row, listed, now, wall)
            elif row.state in _EJECTED_STATES:
                self._states.enter(row, _State.SUSPECT, now)
        self._states.update_suspects(now)

    def unhealthy_ids(self, now: float) -> set[str]:
        """Returns the shard's targets known to be leaving or cold."""
        return {
            row.id
            for row in self._shard.targets_by_id.values()
            if row.leaving or self.is_cold(row, now)
        }

    def unknown_ids(self, now: float) -> set[str]:
        """Returns the shard's targets without any answer or report yet."""
        return {
            row.id
            for row in self._shard.targets_by_id.values()
            if not target_health.get_or_create(row, now).is_known
        }

    def is_readmitted(self, row: target_row.TargetRow) -> bool:
        """Returns whether the canaries of an ejected target have succeeded.

        The status object still lists such a target as ejected until the
        re-admission is written.
        """
        return row.details is not None and row.details.is_readmitted

    def is_cold(self, row: target_row.TargetRow, now: float) -> bool:
        """Returns whether a target is cold.

        A target without any answer or report for UNKNOWN_GRACE_S after it
        was first seen counts as cold too.
        """
        if row.state is _State.COLD:
            return True
        details = target_health.get_or_create(row, now)
        return (
            not details.is_known
            and now - details.first_seen_s > UNKNOWN_GRACE_S
        )

    def _record_incarnation(
        self,
        row: target_row.TargetRow,
        incarnation: str,
        draining: bool,
        now: float,
        *,
        is_report: bool = False,
    ) -> None:
        details = target_health.get_or_create(row, now)
        change = incarnations.update_incarnation(
            row, details, incarnation, draining, is_report=is_report
        )
        if change is incarnations.Change.STARTED_ANEW:
            self._crash_detector.record_unreachable(row.id, now)
            self._states.restart(row, now)
        if draining and change is not incarnations.Change.OUTDATED:
            self._states.set_leaving(row, now, source="target")
