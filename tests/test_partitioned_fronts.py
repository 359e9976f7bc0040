"""Tests of fronts that are cut off from all targets."""

import unittest

from bench import cut_day

# Most of one zone, one front of another, and all of one zone.
MOST_OF_A_ZONE = tuple(f"10.0.0.{last}" for last in range(1, 7)) + (
    "10.0.1.2",
)
WHOLE_ZONE = tuple(f"10.0.1.{last}" for last in range(1, 9))
REFUSED_S = 0.001
HANGING_S = 0.4


class PartitionedFrontsTest(unittest.TestCase):
    """Callers must be served as if no front were cut off."""

    def check(self, cut_ips: tuple[str, ...], connect_s: float) -> None:
        for is_idempotent in (False, True):
            day = cut_day.CutDay(
                cut_ips=cut_ips,
                connect_s=connect_s,
                is_idempotent=is_idempotent,
            )
            day.play()
            text = f"{day.cut.served} of {day.cut.sent} served"
            self.assertTrue(day.is_kept, text)
            self.assertGreater(day.others.share, 0.95)

    def test_callers_leave_fronts_whose_connections_are_refused(self):
        """Guards against fronts that turn callers away but stay listed."""
        self.check(MOST_OF_A_ZONE, REFUSED_S)

    def test_callers_leave_fronts_whose_connections_hang(self):
        """Guards against the same where each attempt takes its time."""
        self.check(MOST_OF_A_ZONE, HANGING_S)

    def test_callers_leave_a_zone_that_is_cut_off(self):
        """Guards against fronts that learn nothing from their own zone."""
        self.check(WHOLE_ZONE, REFUSED_S)
