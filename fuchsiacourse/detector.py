"""Sequential test for unhealthy targets.

Each attempt is compared with what the service's other targets do for the
same kind, so that a swing of demand, which shifts all targets, is no
evidence against one of them. Log-likelihood ratios of "unhealthy" against
"healthy" are summed and never fall below zero (CUSUM). The mean time to a
false alarm of such a test is at least exp(threshold) observations, from
which the threshold follows.
"""

from __future__ import annotations

import math

from fuchsiacourse import evidence
from fuchsiacourse import likelihood
from fuchsiacourse import score as scores
from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row

# Name under which the scores over all kinds are kept.
ALL_KINDS = ""

# Failures of the peers are multiplied by this before a comparison.
PEER_MARGIN = 2.0
# The limits lie above the quantiles by these factors, because a quantile of
# few observations is inexact and an error of the limit adds up over time.
LATE_MARGIN = 1.15
VERY_LATE_MARGIN = 1.15
# Among few observations the quantile may lie among the stragglers, so the
# second limit is at most this multiple of the first.
VERY_LATE_FACTOR = 3.0

# Attempts of the peers without which expected_ms gives the limits.
MIN_PEER_WEIGHT = 30.0
FALLBACK_LATE = 3.0
FALLBACK_VERY_LATE = 8.0

LIMITS_INTERVAL_S = 1.0
SHARES_INTERVAL_S = 0.1
SCALE_INTERVAL_S = 2.0
HALF_LIFE_S = 40.0
# Scores lose all but 1/e in this time, so that a target without work does
# not stay suspect.
SCORE_DECAY_S = 30.0
# Scores are capped at this multiple of the threshold.
SCORE_CAP = 1.5

_FAILURES = frozenset(
    (
        target_row.Outcome.ERROR_STATUS,
        target_row.Outcome.BAD_ANSWER,
        target_row.Outcome.UNREACHABLE,
        target_row.Outcome.CONNECTION_LOST,
    )
)


_NO_SCORE = scores.Score(value=0.0, reason="", kind=ALL_KINDS)


class Detector:
    """Evidence on the targets of one shard.

    Args:
        shard: Tables of the shard.
        false_ejections_per_target_s: Bound on false alarms.
    """

    def __init__(
        self, *, shard: shards.Shard, false_ejections_per_target_s: float
    ) -> None:
        self._shard = shard
        self._bound = false_ejections_per_target_s
        self._pools_by_kind: dict[str, evidence.KindEvidence] = {}
        self._scale_at_s = 0.0
        self._rate_per_s = 1.0
        self._finished = 0
        self._rate_at_s = 0.0

    @property
    def threshold(self) -> float:
        """Score at which a target is held to be unhealthy.

        Each target runs two tests for each kind and two over all kinds,
        and a test takes at most two steps for each attempt.
        """
        tests = 2 * (len(self._shard.service.kinds) + 1)
        steps_per_s = 2.0 * max(1.0, self._rate_per_s)
        return math.log(tests * steps_per_s / self._bound)

    def score(self, row: target_row.TargetRow, now: float) -> scores.Score:
        """Returns the highest score of a target."""
        best = _NO_SCORE
        for kind, kept in row.evidence_by_kind.items():
            if not kept.latency_score and not kept.error_score:
                continue
            self._decay(kept, now)
            if kept.error_score > best.value:
                best = scores.Score(
                    value=kept.error_score, reason="errors", kind=kind
                )
            if kept.latency_score > best.value:
                best = scores.Score(
                    value=kept.latency_score, reason="latency", kind=kind
                )
        return best

    def reset(self, row: target_row.TargetRow, now: float) -> None:
        """Forgets the scores of a target."""
        for kept in row.evidence_by_kind.values():
            kept.reset_scores(now)

    def cap_scores(self, row: target_row.TargetRow, limit: float) -> None:
        """Lowers the scores of a target to a limit."""
        for kept in row.evidence_by_kind.values():
            kept.latency_score = min(limit, kept.latency_score)
            kept.error_score = min(limit, kept.error_score)

    def forget(self, row: target_row.TargetRow) -> None:
        """Forgets everything of a target whose process is another one."""
        for kind, kept in row.evidence_by_kind.items():
            pool = self._pools_by_kind.get(kind)
            if pool is None:
                continue
            pool.buckets = [
                max(0.0, all - own)
                for all, own in zip(pool.buckets, kept.buckets)
            ]
            pool.weight = sum(pool.buckets)
        row.evidence_by_kind = {}

    def clear_error_scores(self, row: target_row.TargetRow) -> None:
        """Forgets failures that a request has caused."""
        for kept in row.evidence_by_kind.values():
            kept.error_score = 0.0

    def record_age(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        """Counts the age of an unfinished attempt, once for each limit."""
        kept = self._kept(row, attempt.kind.name)
        expected = self._expectation(row, attempt.kind, kept, now)
        age_s = now - attempt.started_s
        if age_s <= expected.late_s:
            return
        level = 2 if age_s > expected.very_late_s else 1
        before = kept.late_levels.get(attempt.request_id, 0)
        if level <= before:
            return
        attempt.is_counted_late = True
        kept.late_levels[attempt.request_id] = level
        kept.recent.decay(now)
        if before == 0:
            kept.recent.count += 1.0
            kept.recent.late += 1.0
        if level == 2:
            kept.recent.very_late += 1.0
        step = likelihood.unfinished(expected, level) - likelihood.unfinished(
            expected, before
        )
        self._add_latency(row, kept, step, now)

    def finished(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
        *,
        shifts_limits: bool = True,
    ) -> bool:
        """Counts an attempt that has ended.

        Args:
            row: Target of the attempt.
            attempt: The attempt.
            outcome: How it ended.
            now: Monotonic time in seconds.
            shifts_limits: Whether its latency counts for the peers.

        Returns:
            Whether the attempt was as good as those of a healthy target.
        """
        self._count(now)
        self.record_age(row, attempt, now)
        kept = self._kept(row, attempt.kind.name)
        expected = self._expectation(row, attempt.kind, kept, now)
        level = kept.late_levels.pop(attempt.request_id, 0)
        if outcome in (
            target_row.Outcome.CANCELLED,
            target_row.Outcome.TIMEOUT,
        ):
            # The latency is unknown; the age has been counted.
            return level == 0
        kept.recent.decay(now)
        if level == 0:
            kept.recent.count += 1.0
        if outcome is target_row.Outcome.SHED:
            kept.recent.sheds += 1.0
            step = likelihood.failed(expected.sheds)
            self._add_error(row, kept, step, now)
            return False
        if outcome in _FAILURES:
            kept.recent.errors += 1.0
            step = likelihood.failed(expected.errors)
            self._add_error(row, kept, step, now)
            return False
        step = likelihood.succeeded(expected.errors)
        self._add_error(row, kept, step, now)
        step = likelihood.finished(expected, level) - likelihood.unfinished(
            expected, level
        )
        self._add_latency(row, kept, step, now)
        if shifts_limits:
            self._add_bucket(kept, attempt, now)
        return level == 0

    def _add_bucket(
        self,
        kept: evidence.KindEvidence,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        pool = self._pool(attempt.kind.name)
        index = evidence.bucket(now - attempt.started_s)
        kept.buckets[index] += 1.0
        kept.weight += 1.0
        pool.buckets[index] += 1.0
        pool.weight += 1.0
        if now - self._scale_at_s >= SCALE_INTERVAL_S:
            self._scale(now)

    def _scale(self, now: float) -> None:
        elapsed_s = min(now - self._scale_at_s, 10 * HALF_LIFE_S)
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._scale_at_s = now
        for pool in self._pools_by_kind.values():
            pool.scale(factor)
        for row in self._shard.targets_by_id.values():
            for kept in row.evidence_by_kind.values():
                kept.scale(factor)

    def _count(self, now: float) -> None:
        self._finished += 1
        elapsed_s = now - self._rate_at_s
        if elapsed_s < 1.0:
            return
        rows = max(1, len(self._shard.targets_by_id))
        rate = self._finished / elapsed_s / rows
        # The higher of the new and the slowly falling old rate is the safe
        # one for the bound on false alarms.
        self._rate_per_s = max(rate, 0.9 * self._rate_per_s)
        self._finished = 0
        self._rate_at_s = now

    def _kept(
        self, row: target_row.TargetRow, kind: str
    ) -> evidence.KindEvidence:
        kept = row.evidence_by_kind.get(kind)
        if kept is None:
            kept = row.evidence_by_kind[kind] = evidence.KindEvidence()
        return kept

    def _pool(self, kind: str) -> evidence.KindEvidence:
        pool = self._pools_by_kind.get(kind)
        if pool is None:
            pool = self._pools_by_kind[kind] = evidence.KindEvidence()
        return pool

    def _expectation(
        self,
        row: target_row.TargetRow,
        kind: service_file.RequestKind,
        kept: evidence.KindEvidence,
        now: float,
    ) -> evidence.Expectation:
        expected = kept.expectation
        if expected is None or now >= expected.limits_until_s:
            expected = self._limits(kind, kept, now)
            kept.expectation = expected
        if now >= expected.shares_until_s:
            self._update_shares(row, kind.name, expected, now)
        return expected

    def _limits(
        self,
        kind: service_file.RequestKind,
        kept: evidence.KindEvidence,
        now: float,
    ) -> evidence.Expectation:
        pool = self._pool(kind.name)
        expected_s = kind.expected_ms / 1000.0
        usual = 0.0
        if pool.weight - kept.weight < MIN_PEER_WEIGHT:
            late_s = FALLBACK_LATE * expected_s
            very_late_s = FALLBACK_VERY_LATE * expected_s
        else:
            late_s, very_late_s = evidence.quantiles(
                pool, kept, (likelihood.LATE_SHARE, likelihood.VERY_LATE_SHARE)
            )
            late_s *= LATE_MARGIN
            very_late_s = min(
                very_late_s * VERY_LATE_MARGIN, late_s * VERY_LATE_FACTOR
            )
            usual = evidence.share_above(pool, kept, very_late_s)
        return evidence.Expectation(
            late_s=late_s,
            very_late_s=max(very_late_s, late_s * 1.01),
            limits_until_s=now + LIMITS_INTERVAL_S,
            usual_very_late=usual,
        )

    def _update_shares(
        self,
        row: target_row.TargetRow,
        kind: str,
        expected: evidence.Expectation,
        now: float,
    ) -> None:
        expected.shares_until_s = now + SHARES_INTERVAL_S
        late, very_late, failed, shed = [], [], [], []
        for other in self._shard.targets_by_id.values():
            if other is row or other.state is target_row.TargetState.EJECTED:
                continue
            kept = other.evidence_by_kind.get(kind)
            if kept is None:
                continue
            recent = kept.recent
            late.append(recent.share(recent.late, likelihood.LATE_SHARE, now))
            very_late.append(
                recent.share(recent.very_late, likelihood.VERY_LATE_SHARE, now)
            )
            failed.append(
                recent.share(recent.errors, likelihood.ERROR_SHARE, now)
            )
            shed.append(recent.share(recent.sheds, likelihood.SHED_SHARE, now))
        expected.late = max(likelihood.LATE_SHARE, evidence.upper_median(late))
        expected.very_late = max(
            likelihood.VERY_LATE_SHARE,
            expected.usual_very_late,
            evidence.upper_median(very_late),
        )
        expected.errors = max(
            likelihood.ERROR_SHARE, PEER_MARGIN * evidence.upper_median(failed)
        )
        expected.sheds = max(
            likelihood.SHED_SHARE, PEER_MARGIN * evidence.upper_median(shed)
        )

    def _decay(self, kept: evidence.KindEvidence, now: float) -> None:
        elapsed_s = now - kept.scored_at_s
        if elapsed_s <= 0.0:
            return
        kept.scored_at_s = now
        factor = math.exp(-elapsed_s / SCORE_DECAY_S)
        kept.latency_score *= factor
        kept.error_score *= factor

    def _add_latency(
        self,
        row: target_row.TargetRow,
        kept: evidence.KindEvidence,
        step: float,
        now: float,
    ) -> None:
        cap = SCORE_CAP * self.threshold
        for part in (kept, self._kept(row, ALL_KINDS)):
            self._decay(part, now)
            part.latency_score = min(cap, max(0.0, part.latency_score + step))

    def _add_error(
        self,
        row: target_row.TargetRow,
        kept: evidence.KindEvidence,
        step: float,
        now: float,
    ) -> None:
        cap = SCORE_CAP * self.threshold
        for part in (kept, self._kept(row, ALL_KINDS)):
            self._decay(part, now)
            part.error_score = min(cap, max(0.0, part.error_score + step))
