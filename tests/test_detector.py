"""Tests of the detector and its evidence."""

import random
import unittest

from bench import workload
from fuchsiacourse import detector as detectors
from fuchsiacourse import evidence
from fuchsiacourse import likelihood
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row

OUTCOMES = target_row.Outcome


class DetectorTest(unittest.TestCase):
    """Evidence must be relative to the other targets of the service."""

    def setUp(self):
        self.service = workload.service(workload.USERS[0], "dispatch")
        self.shard = shards.Shard(service=self.service, region="tayside")
        self.detector = detectors.Detector(
            shard=self.shard, false_ejections_per_target_s=1e-6
        )
        self.rows = list(self.shard.targets_by_id.values())
        self.rng = random.Random(5)
        self.now = 0.0
        self.highest = 0.0

    def attempt(self, started_s, kind=0):
        return target_row.Attempt(
            request_id=str(self.rng.random()),
            kind=self.service.kinds[kind],
            fingerprint="",
            target_id="",
            started_s=started_s,
        )

    def feed(self, seconds, *, factor=1.0, unhealthy_factor=None, per_s=20):
        for _ in range(int(seconds * per_s)):
            self.now += 1.0 / per_s
            for row in self.rows:
                own = factor
                if unhealthy_factor and row is self.rows[0]:
                    own = unhealthy_factor
                attempt = self.attempt(self.now)
                run_s = own * workload.run_s(attempt.kind, self.rng)
                attempt.started_s -= run_s
                self.detector.finished(row, attempt, OUTCOMES.OK, self.now)
                score = self.detector.score(row, self.now).value
                self.highest = max(self.highest, score)

    def score(self, index=0):
        return self.detector.score(self.rows[index], self.now)

    def test_stragglers_are_no_evidence(self):
        """Guards against ejections because of one percent of stragglers."""
        self.feed(300.0)
        self.assertLess(self.highest, self.detector.threshold)

    def test_common_slowdown_is_no_evidence(self):
        """Guards against ejections when all targets slow down together."""
        self.feed(60.0)
        for factor in (2.0, 1.0, 0.2, 0.4):
            self.feed(20.0, factor=factor)
        self.assertLess(self.highest, self.detector.threshold)

    def test_slow_target_is_detected(self):
        """Guards against missing a target that is slower than its peers."""
        self.feed(60.0)
        self.feed(2.0, unhealthy_factor=10.0)
        self.assertGreaterEqual(self.score().value, self.detector.threshold)
        self.assertEqual("latency", self.score().reason)
        self.assertLess(self.score(1).value, self.detector.threshold)

    def test_unfinished_attempts_count_once_for_each_limit(self):
        """Guards against missing a stuck request or counting it twice."""
        self.feed(60.0)
        self.detector.reset(self.rows[0], self.now)
        attempt = self.attempt(self.now)
        for age_s in (0.5, 0.6, 5.0):
            self.detector.record_age(self.rows[0], attempt, self.now + age_s)
        once = self.detector.score(self.rows[0], self.now + 5.0).value
        self.assertTrue(attempt.is_counted_late)
        self.assertGreater(once, 2.0)
        self.assertLess(once, 4.0)

    def test_few_stragglers_do_not_raise_the_limits(self):
        """Guards against limits of a rare kind that stragglers raise."""
        for index in range(60):
            self.now += 0.1
            for row in self.rows:
                run_s = 1.5 if index % 20 == 0 else 0.05
                attempt = self.attempt(self.now - run_s, kind=1)
                self.detector.finished(row, attempt, OUTCOMES.OK, self.now)
        self.detector.reset(self.rows[0], self.now)
        attempt = self.attempt(self.now, kind=1)
        self.detector.record_age(self.rows[0], attempt, self.now + 0.5)
        self.assertGreater(
            self.detector.score(self.rows[0], self.now + 0.5).value, 2.2
        )

    def test_one_failing_kind_is_detected(self):
        """Guards against missing a kind that fails while others succeed."""
        self.feed(10.0)
        for _ in range(8):
            self.feed(0.5)
            attempt = self.attempt(self.now - 0.05, kind=1)
            self.detector.finished(
                self.rows[0], attempt, OUTCOMES.BAD_ANSWER, self.now
            )
        self.assertEqual("booking", self.score().kind)
        self.assertGreaterEqual(self.score().value, self.detector.threshold)

    def test_common_errors_are_weak(self):
        """Guards against ejections for errors that all targets return."""
        for _ in range(200):
            self.now += 0.05
            for row in self.rows:
                attempt = self.attempt(self.now - 0.05)
                bad = self.rng.random() < 0.2
                outcome = OUTCOMES.ERROR_STATUS if bad else OUTCOMES.OK
                self.detector.finished(row, attempt, outcome, self.now)
        self.assertLess(self.score().value, self.detector.threshold)

    def test_threshold_follows_the_bound(self):
        """Guards against a threshold that ignores the configured bound."""
        strict = detectors.Detector(
            shard=self.shard, false_ejections_per_target_s=1e-9
        )
        self.assertGreater(strict.threshold, self.detector.threshold + 6.0)


class EvidenceTest(unittest.TestCase):
    """Histograms and ratios must be correct for extreme values."""

    def test_quantiles_leave_the_target_out(self):
        """Guards against an unhealthy target that raises its own limits."""
        pool, own = evidence.KindEvidence(), evidence.KindEvidence()
        for latency_s, parts in ((0.05, (pool,)), (5.0, (pool, own))):
            for entry in parts:
                entry.buckets[evidence.bucket(latency_s)] += 100.0
                entry.weight += 100.0
        late_s, very_late_s = evidence.quantiles(pool, own, (0.1, 0.02))
        self.assertLess(very_late_s, 0.06)
        self.assertGreaterEqual(late_s, 0.05)

    def test_extreme_latencies_have_a_bucket(self):
        """Guards against an index outside the histogram."""
        self.assertEqual(0, evidence.bucket(0.0))
        self.assertEqual(evidence.BUCKETS - 1, evidence.bucket(1e9))

    def test_common_behavior_is_no_evidence(self):
        """Guards against evidence from behavior that all targets share."""
        self.assertEqual(0.0, likelihood.failed(0.9))
        expected = evidence.Expectation(
            late_s=1.0, very_late_s=2.0, limits_until_s=0.0
        )
        expected.late = expected.very_late = 0.9
        for level in range(3):
            self.assertEqual(0.0, likelihood.finished(expected, level))
