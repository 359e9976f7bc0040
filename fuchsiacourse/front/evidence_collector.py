"""Collects evidence of this front and of the others."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import retry_budget
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_table
from fuchsiacourse import logs

# Evidence of other zones counts less: a path or a target may be bad for the
# callers of one zone only.
OTHER_ZONE_WEIGHT = 0.5
# Outcomes that may be the fault of the path from the front that saw them.
PATH_OUTCOMES = frozenset(
    (
        outcomes.Outcome.UNREACHED,
        outcomes.Outcome.LOST,
        outcomes.Outcome.TIMED_OUT,
        outcomes.Outcome.LATE,
    )
)
PATH_WEIGHT = 0.5
# A sick target fails a request at once; one that fails after this part of
# the usual time has done its work, and the request itself is often wrong.
WORKED_SHARE = 0.4
WORKED_WEIGHT = 0.4
# Sickness above which a change of belief is logged.
SUSPECT_THRESHOLD = 0.5

EvidenceSender = typing.Callable[[evidences.Evidence], None]


class EvidenceCollector:
    """Applies evidence to targets, budgets, times and suspects.

    Args:
        clock: Source of time.
        table: Targets.
        budget: Budget for repeats.
        times: Usual times of the services.
        suspects: Requests that crash targets.
        tell: Sends evidence to the other fronts of the region.
        warn: Sends evidence to the other regions.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        table: target_table.TargetTable,
        budget: retry_budget.RetryBudget,
        times: service_times.ServiceTimes,
        suspects: crash_suspects.CrashSuspects,
        send_evidence: EvidenceSender,
        warn_regions: EvidenceSender,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._table = table
        self._budget = budget
        self._times = times
        self._suspects = suspects
        self._tell = send_evidence
        self._warn = warn_regions
        self._log = log

    def record_start(
        self, target: targets.Target, kind: evidences.AttemptKind
    ) -> None:
        """Notes the start of an own sending."""
        now_s = self._clock.now()
        target.last_used_s = now_s
        target.load.change(1, now_s)
        self._count(target.record.service, kind)
        self._tell(
            evidences.Evidence(
                target_key=target.key,
                outcome=None,
                kind=kind,
                in_flight=target.load.own,
            )
        )

    def record_late(
        self, target: targets.Target, kind: evidences.AttemptKind
    ) -> None:
        """Notes that an own sending takes unusually long."""
        self._observe_own(target, outcomes.Outcome.LATE, took_s=0.0)
        self._tell(
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
        reported: int | None,
        fingerprint: int,
    ) -> None:
        """Notes the end of an own sending."""
        now_s = self._clock.now()
        target.load.change(-1, now_s)
        was_trusted = target.health.probability(now_s) < SUSPECT_THRESHOLD
        self._observe_own(target, outcome, took_s=took_s)
        if outcome is outcomes.Outcome.MISDIRECTED:
            target.is_misplaced = True
            logs.warning(
                self._log, "target_misplaced", target=target.record.id
            )
        lost = fingerprint if outcome is outcomes.Outcome.LOST else 0
        told = evidences.Evidence(
            target_key=target.key,
            outcome=outcome,
            kind=kind,
            in_flight=target.load.own,
            took_s=took_s,
            reported=reported,
            fingerprint=lost,
        )
        self._common(target, told)
        if outcome is outcomes.Outcome.ANSWERED:
            self._suspects.clear(fingerprint)
        self._tell(told)
        if (
            was_trusted
            and target.health.probability(now_s) >= SUSPECT_THRESHOLD
        ):
            self._warn(told)

    def apply_remote(
        self, told: evidences.Evidence, *, front: str, is_same_zone: bool
    ) -> None:
        """Applies the evidence of another front.

        Args:
            told: The evidence.
            front: IP number of the front.
            is_same_zone: Whether the front is in this front's zone.
        """
        target = self._table.by_key.get(told.target_key)
        if target is None:
            return
        now_s = self._clock.now()
        target.load.set_count(front, told.in_flight, now_s)
        if told.outcome is None:
            target.last_used_s = now_s
            self._count(target.record.service, told.kind)
            return
        weight = 1.0 if is_same_zone else OTHER_ZONE_WEIGHT
        if told.outcome in PATH_OUTCOMES:
            weight *= PATH_WEIGHT
        weight *= self._failure_weight(target, told.outcome, told.took_s)
        self._observe(
            target,
            told.outcome,
            took_s=told.took_s,
            weight=weight,
            front=front,
        )
        self._common(target, told)

    def _common(
        self, target: targets.Target, told: evidences.Evidence
    ) -> None:
        if told.reported is not None:
            target.load.report(told.reported, self._clock.now())
        if told.outcome is not None:
            target.declines.observe(told.outcome, self._clock.now())
        if told.outcome is outcomes.Outcome.ANSWERED:
            self._times.add(target.record.service, told.took_s)
        if told.fingerprint:
            if self._suspects.record_lost(told.fingerprint, target.key):
                logs.warning(
                    self._log,
                    "request_quarantined",
                    service=target.record.service,
                    fingerprint=f"{told.fingerprint:016x}",
                )

    def _count(self, service: str, kind: evidences.AttemptKind) -> None:
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
        is_path_news = outcome in PATH_OUTCOMES
        if is_path_news or outcome is outcomes.Outcome.ANSWERED:
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
        return WORKED_WEIGHT if took_s > WORKED_SHARE * usual_s else 1.0

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
