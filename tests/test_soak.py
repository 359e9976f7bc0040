"""Short runs of the soak with fixed seeds."""

import unittest

from bench import soak_mutations
from bench import soak_run


class SoakTest(unittest.TestCase):
    """The guarantees must hold, and the soak must see it if not."""

    def test_guarantees_hold_and_a_publish_gets_through(self):
        """Guards against a broken guarantee under random faults."""
        result = soak_run.run(1, 8)
        self.assertEqual([], result.broken)
        self.assertEqual([], result.failed_own_checks)
        self.assertGreater(result.bookings, 100)
        self.assertGreater(result.checked["in_force"], 0)

    def test_same_seed_repeats(self):
        """Guards against a failing seed that cannot be traced."""
        one, other = (soak_run.run(2, 4, is_settling=False) for _ in range(2))
        self.assertEqual(one.lines(), other.lines())
        self.assertEqual([], one.broken)

    def test_switched_off_safeguards_are_found(self):
        """Guards against checks that let a broken guarantee pass."""
        for name in ("incarnation", "duplicate", "ledger", "claim"):
            with self.subTest(mutation=name):
                result = soak_run.run(1, 6, mutation=name, is_settling=False)
                mutation = soak_mutations.MUTATIONS_BY_NAME[name]
                self.assertTrue(mutation.first_break(result.broken))
