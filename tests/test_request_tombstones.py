"""Tests of the memory of ended requests."""

import unittest

from fuchsiacourse import request_tombstones


class KnownIdsTest(unittest.TestCase):
    """What was told of a request must stay true for its lifetime."""

    def setUp(self):
        self.ids = request_tombstones.RequestTombstones(max_ids=3)

    def test_full_tombstones_are_kept_and_refuse_new_requests(self):
        """Guards against a withdrawn request that runs after all."""
        for number in range(3):
            self.assertTrue(self.ids.withdraw(f"a-{number}", 0.0))
        self.assertTrue(self.ids.is_full(1.0))
        self.assertFalse(self.ids.withdraw("a-9", 1.0))
        self.assertTrue(self.ids.was_withdrawn("a-0", 599.0))
        self.assertFalse(self.ids.is_full(600.0))
        self.assertFalse(self.ids.was_withdrawn("a-0", 600.0))

    def test_sent_booking_is_not_forgotten_early(self):
        """Guards against a duplicate that runs a booking again."""
        for number in range(5):
            self.ids.add_sent(f"a-{number}", False, 0.0)
        self.assertTrue(self.ids.is_full(1.0))
        self.assertTrue(self.ids.was_sent("a-0", 599.0))

    def test_nothing_unknown_is_withdrawn_after_forgetting(self):
        """Guards against a confirmed withdrawal of a forgotten run."""
        for number in range(4):
            self.ids.add_sent(f"a-{number}", True, 0.0)
        self.assertFalse(self.ids.was_sent("a-0", 1.0))
        self.assertFalse(self.ids.is_full(1.0))
        self.assertFalse(self.ids.withdraw("a-0", 1.0))
        self.assertTrue(self.ids.withdraw("a-0", 601.0))
