"""Tests of the benchmark of failure detection by the fronts."""

import unittest

from bench import measure_fronts


class MeasureFrontsTest(unittest.TestCase):
    """Guards against detection that never ends or misses a fault."""

    def test_failing_target_is_avoided(self):
        """Guards against a failing target that keeps getting requests."""
        # With seed 2 a rounding error in the check for late attempts made
        # the run wait for ever.
        for seed in range(4):
            with self.subTest(seed=seed):
                detected_s = measure_fronts.detection_time("fails", seed)
                self.assertLess(detected_s, measure_fronts.MAX_DETECTION_S)

    def test_each_fault_is_detected(self):
        """Guards against a kind of fault that the fronts never detect."""
        for fault in measure_fronts.OUTCOMES_BY_FAULT:
            with self.subTest(fault=fault):
                detected_s = measure_fronts.detection_time(fault, 1)
                self.assertLess(detected_s, measure_fronts.MAX_DETECTION_S)

    def test_measures_are_registered(self):
        """Guards against a measure that isn't run with the others."""
        self.assertEqual(
            {"front_detection", "front_wrong_avoidance"},
            set(measure_fronts.MEASURES),
        )
