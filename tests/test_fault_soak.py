"""Short run of the soak with processes."""

import unittest

from bench import fault_soak


class FaultSoakTest(unittest.TestCase):
    """The promises must hold while processes and links fail."""

    def test_short_run(self):
        ledger = fault_soak.play(seed=7, seconds=8.0).ledger
        self.assertEqual([], ledger.broken)
        self.assertGreater(ledger.checked["run"], 100)
        self.assertGreater(ledger.faults.total(), 3)
