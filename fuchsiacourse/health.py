"""Health of the targets of one shard."""

from __future__ import annotations

from collections.abc import Collection
import random
import typing

from fuchsiacourse import candidates as orders
from fuchsiacourse import crash_signs
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

# Time for which refused or lost connections must stand out before an
# ejection, so that a network fault shows at the other targets as well.
CONNECTION_SETTLE_S = 0.5
# A target unheard of for this time counts as cold.
UNKNOWN_GRACE_S = 5.0
# Time within which no new work may reach a target known to be leaving.
LEAVING_LIMIT_S = 3.0

_State = target_row.TargetState
_Outcome = target_row.Outcome
_OUT = target_states.OUT


class Health:
    """Decides which targets may take work.

    Args:
        shard: Tables of the shard.
        rng: Source of randomness for ties.
        false_ejections_per_target_s: Bound on wrong ejections.
        invariants: Checks of the leaving promise.
        log: Logger.
        detector: Evidence on the targets, by default a new one.
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
        self._rng = rng
        self._invariants = invariants
        self._detector = detector or detectors.Detector(
            shard=shard,
            false_ejections_per_target_s=false_ejections_per_target_s,
        )
        self._crash_signs = crash_signs.CrashSigns()
        self._states = target_states.TargetStates(
            shard=shard, detector=self._detector, log=log
        )

    def started(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        """Records the start of an attempt."""
        details = target_health.of(row, now)
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
            details.next_canary_s = now + orders.CANARY_INTERVAL_S

    def finished(
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
            draining: Whether the answer says that the target is leaving.
            incarnation: Process of the target that the answer names.
        """
        details = target_health.of(row, now)
        self._note_incarnation(row, incarnation, draining, now)
        if outcome in (_Outcome.OK, _Outcome.ERROR_STATUS, _Outcome.SHED):
            details.is_known = True
        if outcome in (_Outcome.CONNECTION_LOST, _Outcome.UNREACHABLE):
            self._crash_signs.failed(row.id, attempt, outcome, now)
        good = self._detector.finished(
            row,
            attempt,
            outcome,
            now,
            shifts_limits=self._shifts_limits(row),
        )
        if attempt.is_canary:
            self._states.judge_canary(row, good, outcome, now)
        self._states.judge(row, now)

    def reported(
        self,
        row: target_row.TargetRow,
        report: target_client.TargetReport,
        now: float,
    ) -> None:
        """Records a target's report of itself, which is weak evidence."""
        details = target_health.of(row, now)
        row.report = report
        details.is_known = True
        self._note_incarnation(
            row, report.incarnation, report.draining, now, is_report=True
        )
        if report.warming and row.state is _State.HEALTHY:
            self._states.enter(row, _State.COLD, now)
        if report.healthy:
            details.weak_signs = 0
            details.good_probes += 1
        else:
            details.weak_signs += 1
            details.good_probes = 0
        self._states.judge(row, now)

    def probe_failed(self, row: target_row.TargetRow, now: float) -> None:
        """Records a probe without a usable report."""
        details = target_health.of(row, now)
        details.weak_signs += 1
        details.good_probes = 0
        self._crash_signs.unreachable(row.id, now)
        self._states.judge(row, now)

    def host_leaving(self, row: target_row.TargetRow, now: float) -> None:
        """Records that the platform takes the target's host away."""
        self._states.set_leaving(row, now, source="hosts")

    def take_crashes(self) -> list[crash_signs.Crash]:
        """Returns the crashes of targets found since the last call.

        The caller tells the quarantine of each fingerprint in them.
        """
        return self._crash_signs.take()

    def crash_explained(self, target_ids: Collection[str]) -> None:
        """Drops evidence of crashes that a quarantined request caused."""
        for id in target_ids:
            row = self._shard.targets_by_id.get(id)
            if row is not None:
                self._detector.forgive_errors(row)

    def tick(self, now: float) -> None:
        """Counts the ages of unfinished attempts and changes states."""
        self._states.lapse(now)
        for row in self._shard.targets_by_id.values():
            for attempt in row.attempts_by_id.values():
                self._detector.aged(row, attempt, now)
            self._states.advance(row, now)
        self._states.update_suspects(now)

    def candidates(
        self, kind: service_file.RequestKind, now: float
    ) -> list[target_row.TargetRow]:
        """Returns targets that may take one more request, best first.

        A canary whose test is due comes first, because behind the healthy
        targets it would only be tested at full load. Healthy and cold
        targets follow by their use, suspects come last.

        Args:
            kind: Kind of the request.
            now: Monotonic time in seconds.
        """
        self._states.lapse(now)
        found = []
        for row in self._shard.targets_by_id.values():
            if row.leaving or not row.free_slots:
                continue
            rank = self._rank(row, kind, now)
            if rank is not None:
                found.append(orders.Candidate(row=row, rank=rank))
        return orders.ranked(found)

    def lapse(self, now: float) -> None:
        """Ends ejections of an outdated status, as ``candidates`` does."""
        self._states.lapse(now)

    def is_canary(self, row: target_row.TargetRow) -> bool:
        """Tells whether a request to a candidate would be a test of it."""
        if row.state is _State.CANARY:
            return True
        return (
            row.state is _State.SUSPECT
            and row.details is not None
            and row.details.canary_offered
        )

    # Interface of the ejection agent.

    def pending_ejections(self, now: float) -> list[target_row.TargetRow]:
        """Returns targets to eject, those with the most evidence first."""
        found = []
        for row in self._shard.targets_by_id.values():
            details = target_health.of(row, now)
            since = details.condemned_since_s
            if since is None or row.leaving or row.state in _OUT:
                continue
            if details.reason == "errors" and self._crash_signs.is_unreached(
                row.id, now
            ):
                if now - since < CONNECTION_SETTLE_S:
                    continue
            if self._states.is_common_fault(row, now):
                continue
            score = self._detector.score(row, now)
            if score.value >= self._detector.threshold:
                found.append((-score.value, row.id, row))
        return [item[2] for item in sorted(found, key=lambda item: item[:2])]

    def ejection(
        self,
        row: target_row.TargetRow,
        *,
        by: str,
        now: float,
        wall: float,
    ) -> service_status.Ejection:
        """Returns the entry of a target for the status object."""
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
        """Takes over a status object.

        Args:
            status: The object.
            in_effect: Ejections that the floor allows.
            valid_until_s: Time after which the ejections lapse.
            now: Monotonic time in seconds.
            wall: Unix time in seconds.
        """
        self._states.valid_until_s = valid_until_s
        for row in self._shard.targets_by_id.values():
            details = target_health.of(row, now)
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
                if row.state not in _OUT:
                    self._states.eject(row, listed, now, wall)
            elif row.state in _OUT:
                self._states.enter(row, _State.SUSPECT, now)
        self._states.update_suspects(now)

    def unhealthy_ids(self, now: float) -> set[str]:
        """Returns own targets that are known to be leaving or cold."""
        return {
            row.id
            for row in self._shard.targets_by_id.values()
            if row.leaving or self.is_cold(row, now)
        }

    def unknown_ids(self, now: float) -> set[str]:
        """Returns own targets of which nothing has been heard yet."""
        return {
            row.id
            for row in self._shard.targets_by_id.values()
            if not target_health.of(row, now).is_known
        }

    def is_readmitted(self, row: target_row.TargetRow) -> bool:
        """Tells whether a listed target has succeeded as a canary."""
        return row.details is not None and row.details.is_readmitted

    def is_cold(self, row: target_row.TargetRow, now: float) -> bool:
        """Tells whether a target is cold or has been unknown for long."""
        if row.state is _State.COLD:
            return True
        details = target_health.of(row, now)
        return (
            not details.is_known
            and now - details.first_seen_s > UNKNOWN_GRACE_S
        )

    def _rank(
        self,
        row: target_row.TargetRow,
        kind: service_file.RequestKind,
        now: float,
    ) -> tuple[int, float, int, float] | None:
        details = target_health.of(row, now)
        details.canary_offered = False
        if row.state is _State.EJECTED:
            return None
        if row.state in (_State.CANARY, _State.SUSPECT):
            if orders.may_test(row, details, self._shard.service, kind, now):
                details.canary_offered = True
                return (0, 0.0, 0, self._rng.random())
            if row.state is _State.CANARY:
                return None
            score = self._detector.score(row, now).value
            return (2, score, row.in_flight, self._rng.random())
        allowance = row.target.slots
        if row.state is _State.COLD:
            allowance = orders.cold_allowance(row, details, now)
        if row.in_flight >= allowance:
            return None
        return (
            1,
            row.in_flight / allowance,
            int(row.state is _State.COLD),
            self._rng.random(),
        )

    def _note_incarnation(
        self,
        row: target_row.TargetRow,
        incarnation: str,
        draining: bool,
        now: float,
        *,
        is_report: bool = False,
    ) -> None:
        details = target_health.of(row, now)
        change = incarnations.observed(
            row, details, incarnation, draining, is_report=is_report
        )
        if change is incarnations.Change.STARTED_ANEW:
            self._crash_signs.unreachable(row.id, now)
            self._states.restart(row, now)
        if draining and change is not incarnations.Change.OUTDATED:
            self._states.set_leaving(row, now, source="target")

    def _shifts_limits(self, row: target_row.TargetRow) -> bool:
        """Tells whether a target's latencies count for its peers.

        A sick target must not raise the limits, but if most targets are
        suspect the latencies have changed for all of them.
        """
        if row.state in _OUT:
            return False
        if row.state is not _State.SUSPECT:
            return True
        rows = self._shard.targets_by_id.values()
        suspects = sum(item.state is _State.SUSPECT for item in rows)
        return 2 * suspects > len(rows)
