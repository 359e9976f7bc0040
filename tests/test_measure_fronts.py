"""Tests of the measure of how fast fronts leave a sick target."""

import unittest

from bench import measure_fronts


class MeasureFrontsTest(unittest.TestCase):
    """Detection on virtual time must end and must notice."""

    def test_target_that_fails_is_left(self):
        # Seed 2 waited for ever for a rounding error.
        for seed in range(4):
            with self.subTest(seed=seed):
                left_s = measure_fronts.detection_time("fails", seed)
                self.assertLess(left_s, measure_fronts.MAX_DETECTION_S)

    def test_each_fault_is_noticed(self):
        for fault in measure_fronts.OUTCOMES_BY_FAULT:
            with self.subTest(fault=fault):
                left_s = measure_fronts.detection_time(fault, 1)
                self.assertLess(left_s, measure_fronts.MAX_DETECTION_S)

    def test_collected(self):
        self.assertEqual(
            {"front_detection", "front_wrong_avoidance"},
            set(measure_fronts.MEASURES),
        )
