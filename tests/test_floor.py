"""Tests of the floor of healthy slots."""

import unittest

from bench import workload
from fuchsiacourse import floor
from fuchsiacourse import service_status


def status(*ids: str) -> service_status.ServiceStatus:
    """Returns a status object with ejections, the oldest first."""
    return service_status.ServiceStatus(
        service="larder",
        ejected={
            id: service_status.Ejection(
                since=float(index),
                reason="errors",
                evidence={},
                by="m",
                backoff_s=5.0,
            )
            for index, id in enumerate(ids)
        },
    )


class FloorTest(unittest.TestCase):
    """Ejections must never leave fewer healthy slots than the floor."""

    def setUp(self):
        # Eight targets with three slots each, floor 15.
        self.service = workload.service(workload.USERS[0], "larder")

    def test_ejection_up_to_the_floor_only(self):
        """Guards against an ejection below the floor."""
        two = status("larder-0", "larder-1")
        self.assertTrue(floor.may_eject(self.service, two, "larder-2"))
        three = status("larder-0", "larder-1", "larder-2")
        self.assertFalse(floor.may_eject(self.service, three, "larder-3"))

    def test_other_unhealthy_targets_count(self):
        """Guards against counting leaving or cold targets as healthy."""
        for field in ("leaving", "cold", "released"):
            two = status("larder-0", "larder-1")
            getattr(two, field)["larder-7"] = "i"
            self.assertFalse(floor.may_eject(self.service, two, "larder-2"))
        two = status("larder-0", "larder-1")
        self.assertFalse(
            floor.may_eject(self.service, two, "larder-2", {"larder-7"})
        )

    def test_raised_floor_readmits_oldest_first(self):
        """Guards against a raised floor that leaves too few targets."""
        three = status("larder-5", "larder-1", "larder-2")
        raised = self.service.model_copy(update={"floor_slots": 18})
        self.assertEqual(
            {"larder-1", "larder-2"}, floor.in_effect(raised, three)
        )
        self.assertIn("larder-5", floor.usable(raised, three))

    def test_leaving_target_readmits(self):
        """Guards against ejections that stay while other targets leave."""
        three = status("larder-0", "larder-1", "larder-2")
        self.assertEqual(
            {"larder-1", "larder-2"},
            floor.in_effect(self.service, three, {"larder-7"}),
        )

    def test_no_ejection_below_the_floor(self):
        """Guards against ejections while the floor can't be reached."""
        gone = {f"larder-{index}" for index in range(2, 8)}
        self.assertEqual(
            set(), floor.in_effect(self.service, status("larder-0"), gone)
        )
