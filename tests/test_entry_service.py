"""Tests of the entry service under random faults."""

import unittest

from bench import entry_faults
from fuchsiacourse import verdict as verdicts

SEEDS = range(1, 41)


class RandomFaultsTest(unittest.TestCase):
    """No sequence of faults may run a key twice or falsify a verdict."""

    def check(self, seed):
        run = entry_faults.run(seed)
        self.assertEqual([], run.fleet.broken, f"seed {seed}")
        self.assertEqual([], run.fleet.failures, f"seed {seed}")
        self.assertEqual([], run.wrong_answers, f"seed {seed}")
        runs_by_body = run.fleet.runs_by_body
        for key, answers in run.verdicts_by_key.items():
            runs = runs_by_body[key.encode()]
            evidence = f"seed {seed}: {key} answered {answers}"
            self.assertLessEqual(runs, 1, evidence)
            if verdicts.Verdict.NOT_RUN in answers:
                self.assertEqual(0, runs, evidence)
            if verdicts.Verdict.RAN in answers:
                self.assertEqual(1, runs, evidence)
        return run

    def test_verdicts_hold_under_random_faults(self):
        """Guards against double runs and runs after not-run."""
        answers = set()
        for seed in SEEDS:
            run = self.check(seed)
            answers.update(*run.verdicts_by_key.values())
        # The rules of a verdict are only tested if it has occurred.
        self.assertEqual(set(verdicts.Verdict), answers)
