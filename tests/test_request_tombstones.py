"""Tests of the identifiers of ended requests."""

import unittest

from fuchsiacourse import request_tombstones


class RequestTombstonesTest(unittest.TestCase):
    """The reply to a withdrawal must stay true while its id is kept."""

    def setUp(self):
        self.ids = request_tombstones.RequestTombstones(max_ids=3)

    def test_full_tombstones_are_kept_and_refuse_new_requests(self):
        """Guards against running a request that was withdrawn."""
        for number in range(3):
            self.assertTrue(self.ids.withdraw(f"a-{number}", 0.0))
        self.assertTrue(self.ids.is_full(1.0))
        self.assertFalse(self.ids.withdraw("a-9", 1.0))
        self.assertTrue(self.ids.was_withdrawn("a-0", 599.0))
        self.assertFalse(self.ids.is_full(600.0))
        self.assertFalse(self.ids.was_withdrawn("a-0", 600.0))

    def test_sent_booking_is_not_dropped_early(self):
        """Guards against a duplicate that runs a request again."""
        for number in range(5):
            self.ids.add_sent(f"a-{number}", False, 0.0)
        self.assertTrue(self.ids.is_full(1.0))
        self.assertTrue(self.ids.was_sent("a-0", 599.0))

    def test_unknown_request_is_not_withdrawn_after_a_drop(self):
        """Guards against a confirmed withdrawal of a run that was dropped."""
        for number in range(4):
            self.ids.add_sent(f"a-{number}", True, 0.0)
        self.assertFalse(self.ids.was_sent("a-0", 1.0))
        self.assertFalse(self.ids.is_full(1.0))
        self.assertFalse(self.ids.withdraw("a-0", 1.0))
        self.assertTrue(self.ids.withdraw("a-0", 601.0))
