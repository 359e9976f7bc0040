"""Tests of the final answer after several attempts."""

import itertools
import unittest

from bench import front_fakes
from fuchsiacourse.front import outcome
from tests import test_request_run

Outcome = outcome.Outcome
ENDS = (
    (Outcome.LOST, None),
    (Outcome.FAILED, 500),
    (Outcome.FAILED, 404),
    (Outcome.FAILED, 408),
    (Outcome.FAILED, 429),
    (Outcome.FAILED, 503),
    (Outcome.BAD_ANSWER, 301),
    (Outcome.BAD_ANSWER, 404),
    (Outcome.DECLINED, 400),
    (Outcome.DECLINED, 429),
    (Outcome.DECLINED, 503),
    (Outcome.MISDIRECTED, 421),
    (Outcome.UNREACHED, None),
    (Outcome.TIMED_OUT, 504),
    (Outcome.TIMED_OUT, 404),
)


class FinalAnswersTest(unittest.TestCase):
    """The final answer must be true for every combination of failures."""

    def test_final_answer_after_each_combination_of_failures(self):
        """Guards against a 4xx, or a 503 though an attempt may have run."""
        for ends in itertools.product(ENDS, repeat=2):
            for is_idempotent in (True, False):
                with self.subTest(ends=ends, is_idempotent=is_idempotent):
                    self.check(ends, is_idempotent)

    def check(self, ends, is_idempotent: bool) -> None:
        played = []

        def behave(target, count):
            played.append(ends[min(len(played), len(ends) - 1)])
            return 0.01, front_fakes.result(*played[-1])

        answer, *_ = test_request_run.handle(
            behave, is_idempotent=is_idempotent, max_targets=3
        )
        may_have_run = any(not item[0].is_not_run for item in played)
        statuses = (500, 502, 504) if may_have_run else (503,)
        self.assertIn(answer.status, statuses)
        if not is_idempotent:
            runs = [item for item in played if not item[0].is_not_run]
            self.assertLessEqual(len(runs), 1)
