"""Tests of the order in which targets get requests."""

import random
import unittest

from bench import workload
from fuchsiacourse import candidates
from fuchsiacourse import detector as detectors
from fuchsiacourse import shard as shards
from fuchsiacourse import target_row

STATES = target_row.TargetState


class CandidatesTest(unittest.TestCase):
    """Requests must go to healthy targets with free slots first."""

    def setUp(self):
        self.service = workload.service(workload.USERS[0], "larder")
        shard = shards.Shard(service=self.service, region="tayside")
        self.rows = list(shard.targets_by_id.values())
        self.candidates = candidates.Candidates(
            shard=shard,
            detector=detectors.Detector(
                shard=shard, false_ejections_per_target_s=1e-6
            ),
            rng=random.Random(1),
        )
        self.lookup, self.booking = self.service.kinds[:2]

    def ordered(self, kind, now):
        return self.candidates.ordered(kind, now)

    def fill(self, row, count):
        row.attempts_by_id = {
            f"{row.id}/{index}": target_row.Attempt(
                request_id=str(index),
                kind=self.booking,
                fingerprint="",
                target_id=row.id,
                started_s=0.0,
            )
            for index in range(count)
        }

    def test_least_used_first_without_full_targets(self):
        """Guards against more requests at a target than it has slots."""
        for row, count in zip(self.rows, (3, 2, 0, 1)):
            self.fill(row, count)
        one, two, three, four = self.rows
        self.assertEqual([three, four, two], self.ordered(self.booking, 0.0))
        three.leaving = True
        self.assertEqual([four, two], self.ordered(self.booking, 0.0))

    def test_suspect_is_used_after_others_are_full_for_a_while(self):
        """Guards against requests for suspect targets at ordinary load."""
        suspect = self.rows[0]
        suspect.state = STATES.SUSPECT
        self.assertIs(suspect, self.ordered(self.booking, 0.0)[-1])
        for row in self.rows[1:]:
            self.fill(row, 3)
        self.assertEqual([], self.ordered(self.booking, 1.0))
        self.assertEqual([suspect], self.ordered(self.booking, 1.2))

    def test_only_suspects_are_used_at_once(self):
        """Guards against waiting for targets that do not exist."""
        for row in self.rows:
            row.state = STATES.SUSPECT
        self.assertEqual(4, len(self.ordered(self.booking, 0.0)))

    def test_suspect_is_tested_first_by_short_idempotent_requests(self):
        """Guards against a suspicion that no test confirms or clears."""
        self.rows[0].state = STATES.SUSPECT
        self.assertIs(self.rows[0], self.ordered(self.lookup, 0.0)[0])
        export = self.service.kinds[2]
        self.assertIsNot(self.rows[0], self.ordered(export, 0.0)[0])
