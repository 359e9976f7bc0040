"""Collects evidence of health from this front and from the others."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import failure_share
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import retry_budget
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_table
from fuchsiacourse import logs

# Weight of evidence from other zones: a path or a target may fail for the
# callers of one zone only.
OTHER_ZONE_WEIGHT = 0.5
# Outcomes that a target itself has produced over a path that works. They weigh
# the same from all zones.
TARGET_FAILURES = frozenset(
    (outcomes.Outcome.FAILED, outcomes.Outcome.BAD_ANSWER)
)
# Outcomes that the network path from the observing front may have caused.
PATH_OUTCOMES = frozenset(
    (
        outcomes.Outcome.UNREACHED,
        outcomes.Outcome.LOST,
        outcomes.Outcome.TIMED_OUT,
        outcomes.Outcome.LATE,
    )
)
# Weight of such an outcome as evidence of the target's health.
PATH_WEIGHT = 0.5
# An unhealthy target fails a request at once. A target that fails it after
# this part of the usual time has worked on it, and often the request itself is
# wrong.
WORK_DONE_SHARE = 0.4
# Weight of such a failure.
WORK_DONE_WEIGHT = 0.4
# Probability of "unhealthy" from which a target is suspected.
SUSPECT_THRESHOLD = 0.5

EvidenceSender = typing.Callable[[evidences.Evidence], None]


class EvidenceCollector:
    """Applies evidence to targets, retry budgets, times and crash suspects.

    Args:
        clock: Source of time.
        table: Targets.
        budget: Retry budget.
        times: Usual response times of the services.
        failures: Share of the attempts that fail, by service.
        suspects: Requests suspected of crashing targets.
        limiter: Spaces the starts at targets with a rate limit.
        send_evidence: Sends evidence to the other fronts of the region.
        warn_regions: Sends evidence to the other regions.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        table: target_table.TargetTable,
        budget: retry_budget.RetryBudget,
        times: service_times.ServiceTimes,
        failures: failure_share.FailureShare,
        suspects: crash_suspects.CrashSuspects,
        limiter: rate_limiter.RateLimiter,
        send_evidence: EvidenceSender,
        warn_regions: EvidenceSender,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._table = table
        self._budget = budget
        self._times = times
        self._failures = failures
        self._suspects = suspects
        self._limiter = limiter
        self._send_evidence = send_evidence
        self._warn_regions = warn_regions
        self._log = log

    def record_start(
        self, target: targets.Target, kind: evidences.AttemptKind
    ) -> None:
        """Records the start of an attempt of this front."""
        now_s = self._clock.now()
        target.last_used_s = now_s
        target.load.change(1, now_s)
        self._count_attempt(target.record.service, kind)
        self._limiter.record_start(target)
        self._send_evidence(
            evidences.Evidence(
                target_key=target.key,
                outcome=None,
                kind=kind,
                in_flight=target.load.own,
                is_paced=target.limit.is_stated,
            )
        )

    def record_resends(self, target: targets.Target, count: int) -> None:
        """Records that an attempt of this front was sent again.

        The operator counts each arrival at a target.

        Args:
            target: Target of the attempt.
            count: Number of times that it was sent again.
        """
        for _ in range(count):
            self._count_attempt(
                target.record.service, evidences.AttemptKind.REPEAT
            )
            self._limiter.record_start(target)
            self._send_evidence(
                evidences.Evidence(
                    target_key=target.key,
                    outcome=None,
                    kind=evidences.AttemptKind.REPEAT,
                    in_flight=target.load.own,
                )
            )

    def record_late(
        self, target: targets.Target, kind: evidences.AttemptKind
    ) -> None:
        """Records that an attempt of this front runs unusually long."""
        self._observe_own(target, outcomes.Outcome.LATE, took_s=0.0)
        self._send_evidence(
            evidences.Evidence(
                target_key=target.key,
                outcome=outcomes.Outcome.LATE,
                kind=kind,
                in_flight=target.load.own,
            )
        )

    def record_end(
        self,
        target: targets.Target,
        outcome: outcomes.Outcome,
        *,
        kind: evidences.AttemptKind,
        took_s: float,
        reported_load: int | None,
        rate_limit: float | None,
        fingerprint: int,
    ) -> None:
        """Records the end of an attempt of this front.

        Other regions are warned if the target becomes suspected by it.

        Args:
            target: Target of the attempt.
            outcome: How the attempt ended.
            kind: How the attempt counts against the retry budget.
            took_s: Time from the start to the end, in seconds.
            reported_load: Load that the target has reported, in requests;
                None if it has reported none.
            rate_limit: Limit that the target has stated, in requests per
                second; target_limit.UNLIMITED if it has stated that there is
                none, None if it has stated nothing.
            fingerprint: Fingerprint of the request.
        """
        now_s = self._clock.now()
        target.load.change(-1, now_s)
        was_trusted = target.health.probability(now_s) < SUSPECT_THRESHOLD
        self._observe_own(target, outcome, took_s=took_s)
        if outcome is outcomes.Outcome.MISDIRECTED:
            target.is_misdirected = True
            logs.warning(
                self._log, "target_misplaced", target=target.record.id
            )
        lost_fingerprint = (
            fingerprint if outcome is outcomes.Outcome.LOST else 0
        )
        evidence = evidences.Evidence(
            target_key=target.key,
            outcome=outcome,
            kind=kind,
            in_flight=target.load.own,
            took_s=took_s,
            reported_load=reported_load,
            fingerprint=lost_fingerprint,
            rate_limit=rate_limit,
        )
        self._apply(target, evidence, front="")
        if outcome is outcomes.Outcome.ANSWERED:
            self._suspects.clear(fingerprint)
        self._send_evidence(evidence)
        if (
            was_trusted
            and target.health.probability(now_s) >= SUSPECT_THRESHOLD
        ):
            self._warn_regions(evidence)

    def apply_remote(
        self, evidence: evidences.Evidence, *, front: str, is_same_zone: bool
    ) -> None:
        """Applies evidence from another front.

        Evidence about an unknown incarnation is ignored.

        Args:
            evidence: The evidence.
            front: IP address of the other front.
            is_same_zone: Whether that front is in this front's zone.
        """
        target = self._table.by_key.get(evidence.target_key)
        if target is None:
            return
        now_s = self._clock.now()
        target.load.set_count(front, evidence.in_flight, now_s)
        if evidence.outcome is None:
            target.last_used_s = now_s
            self._count_attempt(target.record.service, evidence.kind)
            self._limiter.record_start(target)
            return
        if evidence.kind is evidences.AttemptKind.FIRST_AT_END:
            start_s = now_s - evidence.took_s
            target.last_used_s = max(target.last_used_s, start_s)
            self._budget.count_request(target.record.service)
        is_certain = is_same_zone or evidence.outcome in TARGET_FAILURES
        weight = 1.0 if is_certain else OTHER_ZONE_WEIGHT
        if evidence.outcome in PATH_OUTCOMES:
            weight *= PATH_WEIGHT
        weight *= self._failure_weight(
            target, evidence.outcome, evidence.took_s
        )
        self._observe(
            target,
            evidence.outcome,
            took_s=evidence.took_s,
            weight=weight,
            front=front,
        )
        self._apply(target, evidence, front=front)

    def _apply(
        self,
        target: targets.Target,
        evidence: evidences.Evidence,
        *,
        front: str,
    ) -> None:
        if evidence.rate_limit is not None:
            self._record_limit(target, evidence, front)
        if evidence.reported_load is not None:
            target.load.report(evidence.reported_load, self._clock.now())
        if evidence.outcome is not None:
            now_s = self._clock.now()
            target.declines.observe(evidence.outcome, now_s)
            self._failures.observe(
                target.record.service, evidence.outcome, now_s
            )
        if evidence.outcome is outcomes.Outcome.ANSWERED:
            self._times.add(target.record.service, evidence.took_s)
        if evidence.fingerprint:
            if self._suspects.record_lost(evidence.fingerprint, target.key):
                logs.warning(
                    self._log,
                    "request_quarantined",
                    service=target.record.service,
                    fingerprint=f"{evidence.fingerprint:016x}",
                )

    def _record_limit(
        self,
        target: targets.Target,
        evidence: evidences.Evidence,
        front: str,
    ) -> None:
        before = target.limit.rate_per_s
        assert evidence.rate_limit is not None
        if self._limiter.record_limit(
            target, evidence.rate_limit, took_s=evidence.took_s
        ):
            logs.event(
                self._log,
                "target_limit_changed",
                service=target.record.service,
                target=target.record.id,
                rate_limit=evidence.rate_limit,
                before=before,
                seen_by=front or "self",
            )

    def _count_attempt(
        self, service: str, kind: evidences.AttemptKind
    ) -> None:
        if kind is evidences.AttemptKind.REPEAT:
            self._budget.count_retry(service)
        elif kind is evidences.AttemptKind.FIRST:
            self._budget.count_request(service)

    def _observe_own(
        self,
        target: targets.Target,
        outcome: outcomes.Outcome,
        *,
        took_s: float,
    ) -> None:
        weight = self._failure_weight(target, outcome, took_s)
        if outcome in PATH_OUTCOMES:
            weight *= PATH_WEIGHT
        is_path_outcome = outcome in PATH_OUTCOMES
        if is_path_outcome or outcome is outcomes.Outcome.ANSWERED:
            target.path_health.observe(
                outcome, self._clock.now(), took_s=took_s
            )
        self._observe(target, outcome, took_s=took_s, weight=weight, front="")

    def _failure_weight(
        self,
        target: targets.Target,
        outcome: outcomes.Outcome,
        took_s: float,
    ) -> float:
        if outcome is not outcomes.Outcome.FAILED:
            return 1.0
        usual_s = self._times.usual_s(target.record.service)
        return WORK_DONE_WEIGHT if took_s > WORK_DONE_SHARE * usual_s else 1.0

    def _observe(
        self,
        target: targets.Target,
        outcome: outcomes.Outcome,
        *,
        took_s: float,
        weight: float,
        front: str,
    ) -> None:
        now_s = self._clock.now()
        before = target.health.probability(now_s)
        target.health.observe(outcome, now_s, took_s=took_s, weight=weight)
        after = target.health.probability(now_s)
        if (before >= SUSPECT_THRESHOLD) != (after >= SUSPECT_THRESHOLD):
            logs.event(
                self._log,
                (
                    "target_suspected"
                    if after >= SUSPECT_THRESHOLD
                    else "target_trusted"
                ),
                service=target.record.service,
                target=target.record.id,
                outcome=outcome.name,
                seen_by=front or "self",
                sickness_before=round(before, 3),
                sickness=round(after, 3),
            )
