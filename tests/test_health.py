"""Tests of the health of a shard's targets."""

import unittest

from bench import shard_run
from bench import target_fault
from bench import workload
from fuchsiacourse import target_row


class HealthTest(unittest.TestCase):
    """A sick target must lose its work, the others must keep theirs."""

    def run_with(self, kind, seconds, **options):
        service = workload.service(workload.USERS[1], "couloirs")
        run = shard_run.ShardRun(
            service=service,
            region="tunis-nord",
            seed=3,
            use=lambda now: workload.ORDINARY_USE,
            faults=[
                target_fault.TargetFault(
                    target_id="couloirs-0", kind=kind, onset_s=10.0, **options
                )
            ],
        )
        run.run(seconds)
        return run

    def test_wrong_answers_eject(self):
        """Guards against a target that keeps work with wrong answers."""
        run = self.run_with(target_fault.FaultKind.WRONG, 13.0)
        self.assertEqual(["couloirs-0"], [id for _, id in run.ejections])
        row = run.shard.targets_by_id["couloirs-0"]
        self.assertIs(target_row.TargetState.EJECTED, row.state)
        kind = run.service.kinds_by_name["lookup"]
        self.assertNotIn(row, run.health.candidates(kind, run.now))
