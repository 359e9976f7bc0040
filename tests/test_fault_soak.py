"""Short run of the fault soak, and tests of its testbed."""

import pathlib
import random
import unittest

from bench import fault_soak
from bench import fault_testbed


class FaultSoakTest(unittest.TestCase):
    """Guards against violated guarantees while processes and links fail."""

    def test_short_run(self):
        checker = fault_soak.run_seed(seed=7, seconds=8.0).checker
        self.assertEqual([], checker.violations)
        self.assertGreater(checker.checked["run"], 100)
        self.assertGreater(checker.faults.total(), 3)

    def test_short_run_of_planned_stops(self):
        """Guards against late requests that overlapping stops cut off."""
        checker = fault_soak.run_seed(
            seed=37011,
            seconds=10.0,
            only=("stop", "rolling_restart", "stop_several"),
            busy=2,
        ).checker
        self.assertEqual([], checker.violations)
        for kind in ("plain", "streamed", "chunks with pauses"):
            self.assertGreater(checker.checked[f"late caller {kind}"], 10)
        self.assertGreater(checker.faults.total(), 5)
        self.assertGreater(checker.faults["stop_several"], 0)

    def test_unknown_fault_is_refused(self):
        """Guards against a run that injects nothing that was asked for."""
        with self.assertRaises(ValueError):
            fault_soak.run_seed(seed=1, seconds=1.0, only=("stops",))


class FaultTestbedTest(unittest.IsolatedAsyncioTestCase):
    """Guards against rejections that are checked with wrong limits."""

    async def test_lowest_limits_since_a_time(self):
        """Guards against a limit that was in force but is overlooked."""
        testbed = fault_testbed.FaultTestbed(
            folder=pathlib.Path(), rng=random.Random(1)
        )
        begin_s = testbed.clock.now()
        testbed.change_limits(max_header_bytes=100)
        testbed.change_limits(max_header_bytes=9000)
        lowest = testbed.lowest_limits_since(begin_s)["max_header_bytes"]
        now = testbed.lowest_limits_since(testbed.clock.now())[
            "max_header_bytes"
        ]
        self.assertEqual((100, 9000), (lowest, now))
