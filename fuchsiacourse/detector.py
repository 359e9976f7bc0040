"""Detects unhealthy targets with a sequential test (CUSUM).

Each attempt is compared with the attempts of the same kind at the shard's
other targets, so that a change of load, which affects all targets, is no
evidence against one of them. The test sums log-likelihood ratios of
"unhealthy" against "healthy" and never lets the sum fall below zero. The
mean time to a false alarm of such a test is at least exp(threshold)
observations, from which the threshold follows.
"""

from __future__ import annotations

import math

from fuchsiacourse import evidence
from fuchsiacourse import likelihood
from fuchsiacourse import score as scores
from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row

# Name of the kind that holds the scores over all kinds.
ALL_KINDS = ""

# The peers' shares of failed attempts are multiplied by this before the
# comparison.
PEER_MARGIN = 2.0
# The latency limits exceed the quantiles by these factors, because a quantile
# of few observations is inexact and an error of the limit accumulates in the
# score.
LATE_MARGIN = 1.15
VERY_LATE_MARGIN = 1.15
# With few observations the higher quantile may fall among the stragglers, so
# the second limit is at most this multiple of the first.
VERY_LATE_FACTOR = 3.0

# With less weight of peer attempts than this, the limits are multiples of
# the kind's expected_ms.
MIN_PEER_WEIGHT = 30.0
FALLBACK_LATE = 3.0
FALLBACK_VERY_LATE = 8.0

# Seconds between updates of the limits, of the peers' shares and of the
# weights of the histograms. The weights halve in HALF_LIFE_S.
LIMITS_INTERVAL_S = 1.0
SHARES_INTERVAL_S = 0.1
SCALE_INTERVAL_S = 2.0
HALF_LIFE_S = 40.0
# Time in seconds in which scores decay to 1/e, so that a target without
# requests does not stay suspect.
SCORE_DECAY_S = 30.0
# Scores are capped at this multiple of the threshold, which bounds the time
# in which a recovered target clears its score.
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
    """Collects and scores the evidence on the targets of one shard.

    Args:
        shard: Tables of the shard.
        false_ejections_per_target_s: Bound on the rate of false alarms, per
            target and second.
    """

    def __init__(
        self, *, shard: shards.Shard, false_ejections_per_target_s: float
    ) -> None:
        self._shard = shard
        self._max_false_ejections_per_s = false_ejections_per_target_s
        self._pools_by_kind: dict[str, evidence.KindEvidence] = {}
        self._scaled_at_s = 0.0
        # Finished attempts per second and target, and their number since the
        # rate was computed.
        self._rate_per_s = 1.0
        self._finished = 0
        self._rate_since_s = 0.0

    @property
    def threshold(self) -> float:
        """Score at which a target counts as unhealthy.

        Each target has two tests for each kind and two over all kinds, and
        an attempt moves a test by at most two steps.
        """
        tests = 2 * (len(self._shard.service.kinds) + 1)
        steps_per_s = 2.0 * max(1.0, self._rate_per_s)
        return math.log(tests * steps_per_s / self._max_false_ejections_per_s)

    def score(self, row: target_row.TargetRow, now: float) -> scores.Score:
        """Returns the highest score of a target over kinds and reasons.

        Args:
            row: The target.
            now: Monotonic time in seconds.
        """
        best = _NO_SCORE
        for kind, own in row.evidence_by_kind.items():
            if not own.latency_score and not own.error_score:
                continue
            self._decay(own, now)
            if own.error_score > best.value:
                best = scores.Score(
                    value=own.error_score, reason="errors", kind=kind
                )
            if own.latency_score > best.value:
                best = scores.Score(
                    value=own.latency_score, reason="latency", kind=kind
                )
        return best

    def reset(self, row: target_row.TargetRow, now: float) -> None:
        """Sets the scores of a target to zero."""
        for own in row.evidence_by_kind.values():
            own.reset_scores(now)

    def cap_scores(self, row: target_row.TargetRow, limit: float) -> None:
        """Lowers the scores of a target that exceed a limit to the limit."""
        for own in row.evidence_by_kind.values():
            own.latency_score = min(limit, own.latency_score)
            own.error_score = min(limit, own.error_score)

    def forget(self, row: target_row.TargetRow) -> None:
        """Drops all evidence on a target, for example after its restart."""
        for kind, own in row.evidence_by_kind.items():
            pool = self._pools_by_kind.get(kind)
            if pool is None:
                continue
            pool.buckets = [
                max(0.0, total - part)
                for total, part in zip(pool.buckets, own.buckets)
            ]
            pool.weight = sum(pool.buckets)
        row.evidence_by_kind = {}

    def clear_error_scores(self, row: target_row.TargetRow) -> None:
        """Sets the error scores of a target to zero.

        It is called when a request, not the target, caused the errors.
        """
        for own in row.evidence_by_kind.values():
            own.error_score = 0.0

    def record_age(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        """Records that a running attempt has passed a limit of latency.

        Each limit is counted once for each attempt.

        Args:
            row: Target of the attempt.
            attempt: The attempt.
            now: Monotonic time in seconds.
        """
        own = self._evidence_of(row, attempt.kind.name)
        expected = self._expectation(row, attempt.kind, own, now)
        age_s = now - attempt.started_s
        if age_s <= expected.late_s:
            return
        level = 2 if age_s > expected.very_late_s else 1
        before = own.limits_passed_by_request.get(attempt.request_id, 0)
        if level <= before:
            return
        attempt.is_counted_late = True
        own.limits_passed_by_request[attempt.request_id] = level
        own.recent.decay(now)
        if before == 0:
            own.recent.count += 1.0
            own.recent.late += 1.0
        if level == 2:
            own.recent.very_late += 1.0
        step = likelihood.unfinished(expected, level) - likelihood.unfinished(
            expected, before
        )
        self._add_latency(row, own, step, now)

    def finished(
        self,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
        outcome: target_row.Outcome,
        now: float,
        *,
        shifts_limits: bool = True,
    ) -> bool:
        """Records the outcome of an attempt and updates the scores.

        Args:
            row: Target of the attempt.
            attempt: The attempt.
            outcome: How it ended.
            now: Monotonic time in seconds.
            shifts_limits: Whether its latency counts towards the limits
                of the peers.

        Returns:
            Whether the attempt was as good as those of a healthy target.
        """
        self._update_rate(now)
        self.record_age(row, attempt, now)
        own = self._evidence_of(row, attempt.kind.name)
        expected = self._expectation(row, attempt.kind, own, now)
        level = own.limits_passed_by_request.pop(attempt.request_id, 0)
        if outcome in (
            target_row.Outcome.CANCELLED,
            target_row.Outcome.TIMEOUT,
        ):
            # The latency is unknown; the age has been recorded above.
            return level == 0
        own.recent.decay(now)
        if level == 0:
            own.recent.count += 1.0
        if outcome is target_row.Outcome.SHED:
            own.recent.sheds += 1.0
            step = likelihood.failed(expected.sheds)
            self._add_error(row, own, step, now)
            return False
        if outcome in _FAILURES:
            own.recent.errors += 1.0
            step = likelihood.failed(expected.errors)
            self._add_error(row, own, step, now)
            return False
        step = likelihood.succeeded(expected.errors)
        self._add_error(row, own, step, now)
        step = likelihood.finished(expected, level) - likelihood.unfinished(
            expected, level
        )
        self._add_latency(row, own, step, now)
        if shifts_limits:
            self._add_bucket(own, attempt, now)
        return level == 0

    def _add_bucket(
        self,
        own: evidence.KindEvidence,
        attempt: target_row.Attempt,
        now: float,
    ) -> None:
        pool = self._pool(attempt.kind.name)
        index = evidence.bucket(now - attempt.started_s)
        own.buckets[index] += 1.0
        own.weight += 1.0
        pool.buckets[index] += 1.0
        pool.weight += 1.0
        if now - self._scaled_at_s >= SCALE_INTERVAL_S:
            self._scale(now)

    def _scale(self, now: float) -> None:
        elapsed_s = min(now - self._scaled_at_s, 10 * HALF_LIFE_S)
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._scaled_at_s = now
        for pool in self._pools_by_kind.values():
            pool.scale(factor)
        for row in self._shard.targets_by_id.values():
            for own in row.evidence_by_kind.values():
                own.scale(factor)

    def _update_rate(self, now: float) -> None:
        self._finished += 1
        elapsed_s = now - self._rate_since_s
        if elapsed_s < 1.0:
            return
        rows = max(1, len(self._shard.targets_by_id))
        rate = self._finished / elapsed_s / rows
        # The larger of the new rate and the slowly decaying old one keeps
        # the bound on false alarms.
        self._rate_per_s = max(rate, 0.9 * self._rate_per_s)
        self._finished = 0
        self._rate_since_s = now

    def _evidence_of(
        self, row: target_row.TargetRow, kind: str
    ) -> evidence.KindEvidence:
        own = row.evidence_by_kind.get(kind)
        if own is None:
            own = row.evidence_by_kind[kind] = evidence.KindEvidence()
        return own

    def _pool(self, kind: str) -> evidence.KindEvidence:
        pool = self._pools_by_kind.get(kind)
        if pool is None:
            pool = self._pools_by_kind[kind] = evidence.KindEvidence()
        return pool

    def _expectation(
        self,
        row: target_row.TargetRow,
        kind: service_file.RequestKind,
        own: evidence.KindEvidence,
        now: float,
    ) -> evidence.Expectation:
        expected = own.expectation
        if expected is None or now >= expected.limits_until_s:
            expected = self._limits(kind, own, now)
            own.expectation = expected
        if now >= expected.shares_until_s:
            self._update_shares(row, kind.name, expected, now)
        return expected

    def _limits(
        self,
        kind: service_file.RequestKind,
        own: evidence.KindEvidence,
        now: float,
    ) -> evidence.Expectation:
        pool = self._pool(kind.name)
        expected_s = kind.expected_ms / 1000.0
        usual = 0.0
        if pool.weight - own.weight < MIN_PEER_WEIGHT:
            late_s = FALLBACK_LATE * expected_s
            very_late_s = FALLBACK_VERY_LATE * expected_s
        else:
            late_s, very_late_s = evidence.quantiles(
                pool, own, (likelihood.LATE_SHARE, likelihood.VERY_LATE_SHARE)
            )
            late_s *= LATE_MARGIN
            very_late_s = min(
                very_late_s * VERY_LATE_MARGIN, late_s * VERY_LATE_FACTOR
            )
            usual = evidence.share_above(pool, own, very_late_s)
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
            other_evidence = other.evidence_by_kind.get(kind)
            if other_evidence is None:
                continue
            recent = other_evidence.recent
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

    def _decay(self, own: evidence.KindEvidence, now: float) -> None:
        elapsed_s = now - own.scored_at_s
        if elapsed_s <= 0.0:
            return
        own.scored_at_s = now
        factor = math.exp(-elapsed_s / SCORE_DECAY_S)
        own.latency_score *= factor
        own.error_score *= factor

    def _add_latency(
        self,
        row: target_row.TargetRow,
        own: evidence.KindEvidence,
        step: float,
        now: float,
    ) -> None:
        cap = SCORE_CAP * self.threshold
        for part in (own, self._evidence_of(row, ALL_KINDS)):
            self._decay(part, now)
            part.latency_score = min(cap, max(0.0, part.latency_score + step))

    def _add_error(
        self,
        row: target_row.TargetRow,
        own: evidence.KindEvidence,
        step: float,
        now: float,
    ) -> None:
        cap = SCORE_CAP * self.threshold
        for part in (own, self._evidence_of(row, ALL_KINDS)):
            self._decay(part, now)
            part.error_score = min(cap, max(0.0, part.error_score + step))
