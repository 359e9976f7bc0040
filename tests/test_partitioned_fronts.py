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

    def check(
        self,
        cut_ips: tuple[str, ...],
        connect_s: float,
        *,
        idempotent_shares: tuple[float, ...] = (0.0, 1.0),
        keeps_connections: bool = False,
    ) -> None:
        for idempotent_share in idempotent_shares:
            day = cut_day.CutDay(
                cut_ips=cut_ips,
                connect_s=connect_s,
                idempotent_share=idempotent_share,
                keeps_connections=keeps_connections,
            )
            day.play()
            text = (
                f"{day.cut.served} of {day.cut.sent} served,"
                f" {day.others.served} of {day.others.sent} elsewhere"
            )
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

    def test_callers_leave_fronts_whose_kept_connections_live_on(self):
        """Guards against answers that hide that new connections fail."""
        for connect_s in (REFUSED_S, HANGING_S):
            self.check(
                MOST_OF_A_ZONE,
                connect_s,
                idempotent_shares=(0.3, 0.5, 0.9),
                keeps_connections=True,
            )

    def test_front_that_is_cut_off_stays_out(self):
        """Guards against answers to earlier requests that bring it back."""
        day = cut_day.CutDay(
            cut_ips=MOST_OF_A_ZONE,
            connect_s=REFUSED_S,
            idempotent_share=0.9,
            keeps_connections=True,
        )
        day.play()
        self.assertEqual(len(MOST_OF_A_ZONE), day.returns)
