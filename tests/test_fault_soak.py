"""Short run of the soak with processes."""

import pathlib
import random
import unittest

from bench import fault_soak
from bench import fault_testbed


class FaultSoakTest(unittest.TestCase):
    """The promises must hold while processes and links fail."""

    def test_short_run(self):
        checker = fault_soak.play(seed=7, seconds=8.0).checker
        self.assertEqual([], checker.violations)
        self.assertGreater(checker.checked["run"], 100)
        self.assertGreater(checker.faults.total(), 3)


class FaultTestbedTest(unittest.IsolatedAsyncioTestCase):
    """Callers must know which limits may be in force."""

    async def test_lowest_limits_since_some_time(self):
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
