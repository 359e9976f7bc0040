"""Tests of figures and of the measuring program."""

import contextlib
import io
import unittest

from bench import figure
from bench import measure
from bench import measure_health


def make(value, **options):
    """Returns a figure with a maximum of 3."""
    return figure.Figure(
        name="detection", value=value, unit="s", bound=3.0, **options
    )


class MeasureTest(unittest.TestCase):
    """A missed bound shows in the printed line and the exit code."""

    def test_line(self):
        """Guards against output that other programs can't parse."""
        self.assertEqual(
            "figure=detection value=2.5 unit=s bound=3"
            " baseline=round_robin:10",
            make(2.5, baselines={"round_robin": 10.0}).line(),
        )

    def test_bounds(self):
        """Guards against a missed bound that counts as met."""
        self.assertTrue(make(3.0).is_met)
        self.assertFalse(make(3.1).is_met)
        self.assertFalse(make(float("nan")).is_met)
        self.assertFalse(make(2.0, at_least=True).is_met)
        baselines = {"round_robin": 1.0}
        self.assertTrue(make(2.0, baselines=baselines).is_met)
        self.assertFalse(make(2.0, baselines=baselines, must_beat=True).is_met)

    def test_run_counts_misses(self):
        """Guards against a miss that a met bound hides."""
        measures = {"one": lambda: [make(1.0)], "two": lambda: [make(9.0)]}
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(1, measure.run(["one", "two"], measures))

    def test_failed_measurement_does_not_stop_the_others(self):
        """Guards against an error that suppresses all other figures."""

        def fail():
            raise RuntimeError("no answer")

        measures = {"one": fail, "two": lambda: [make(9.0)]}
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            self.assertEqual(2, measure.run(["one", "two"], measures))
        self.assertIn("measure=one failed=RuntimeError", output.getvalue())
        self.assertIn("figure=detection value=9", output.getvalue())

    def test_collects_health(self):
        """Guards against measurements that are never run."""
        found = measure.collect(["bench.measure_health", "bench.no_such"])
        self.assertEqual({"detection", "false_ejections", "floor"}, set(found))

    def test_p95(self):
        """Guards against a percentile that omits slow cases."""
        self.assertEqual(19, measure_health.p95(range(1, 21)))
        self.assertEqual(5, measure_health.p95(range(1, 6)))
