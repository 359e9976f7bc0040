"""Tests of the upper bound of a day's worth."""

import unittest

from bench import worth_bound

WORK = {"mean": 200.0, "tail": 0.03, "tail_x": 7.0}


def site(**kind_changes) -> dict:
    kind = {
        "name": "order",
        "service": "dispatch",
        "kind": "unsafe",
        "worth": 2,
        "late_worth": 0.6,
        "aim_ms": 1000,
        "error_share": 0.01,
        "work_ms": WORK,
    }
    return {
        "length_s": 30.0,
        "classes": [{**kind, **kind_changes}],
        "traffic": [{"per_s": 10.0, "mix": {"order": 1.0}}],
        "goal": {
            "mean": 0.35,
            "window": 0.15,
            "class": 0.15,
            "nines": 0.35,
            "nines_best": 0.005,
        },
    }


def parts(day=None, **kind_changes) -> dict[str, float]:
    bound = worth_bound.WorthBound(
        site(**kind_changes), {"name": "d", **(day or {})}, 60.0
    )
    return bound.parts()


class WorthBoundTest(unittest.TestCase):
    """Only losses that no decision can prevent count."""

    def test_request_without_retries_fails_with_its_work(self):
        """Guards against a bound that retries unsafe requests."""
        # One in a hundred fails; three in a hundred are late and lose 0.7.
        self.assertAlmostEqual(0.99 * (1 - 0.03 * 0.7), parts()["mean"])

    def test_retried_request_fails_only_with_both_attempts(self):
        """Guards against a bound that ignores retries of safe requests."""
        found = parts(kind="safe")
        self.assertAlmostEqual(0.9999 * (1 - 0.0009 * 0.7), found["mean"])
        self.assertAlmostEqual(1.0, found["nines"])

    def test_long_work_within_the_objective_is_not_late(self):
        """Guards against a loss for slow work that meets its objective."""
        self.assertAlmostEqual(0.99, parts(aim_ms=2000)["mean"])

    def test_loss_of_all_fronts_loses_requests_in_flight(self):
        """Guards against a bound without the losses of a full shutdown."""
        closing = {"closing": {"kind": "kill_all", "down_s": 1.0}}
        found = parts(closing)
        # Two of 300 requests are in flight; ten arrive while all are down.
        self.assertLess(found["mean"], parts()["mean"] - 2 / 300)
        self.assertLess(found["window"], 0.85)

    def test_shedding_by_all_targets_exhausts_the_retry_budget(self):
        """Guards against a bound with unlimited retries."""
        fault = {"kind": "x", "how": "shed all", "x": 0.5, "for_s": 10.0}
        bound = worth_bound.WorthBound(
            site(), {"name": "d", "faults": [fault]}, 60.0
        )
        # 100 requests with 20 and 60 retries; half of all attempts succeed.
        self.assertAlmostEqual(10.0, bound.unserved_requests("dispatch"))
        self.assertEqual(
            0.0,
            worth_bound.WorthBound(
                site(), {"name": "d"}, 60.0
            ).unserved_requests("dispatch"),
        )
