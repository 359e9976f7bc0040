"""Tests of the share of sound targets that a service keeps in use."""

import statistics
import unittest

from bench import gray_day

# Largest share of windows below the floor. The operator counts a window only
# if more than a tenth of its requests fail, which is rare.
MAX_SHARE_BELOW = 0.05


class FloorInUseTest(unittest.TestCase):
    """The floor must be kept before a failure makes the operator count it."""

    def test_sound_targets_stay_in_use_while_others_turn_unhealthy(self):
        """Guards against idle targets that failed once and are sound again."""
        shares = gray_day.GrayDay(seed=0, for_s=25.0).play()
        below = sum(share < gray_day.FLOOR_SHARE for share in shares)
        self.assertLessEqual(below / len(shares), MAX_SHARE_BELOW)
        self.assertGreater(statistics.mean(shares), gray_day.FLOOR_SHARE)
