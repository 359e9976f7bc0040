"""Tests of the object table."""

import unittest

from fuchsiacourse import errors
from fuchsiacourse import object_table


class ObjectTableTest(unittest.TestCase):
    """Conditions and watches must neither lose nor duplicate a change."""

    def setUp(self) -> None:
        self.table = object_table.ObjectTable(history_limit=3)

    def changed_keys(self, prefix: str, after: int) -> list[str]:
        batch = self.table.changes(prefix, after)
        return [item.key for item in batch.objects]

    def test_conditions(self):
        """Guards against overwriting a change that the writer has not seen."""
        version = self.table.put("a", b"1", if_version=0)
        with self.assertRaises(errors.VersionConflict):
            self.table.put("a", b"2", if_version=0)
        later = self.table.put("a", b"2", if_version=version)
        with self.assertRaises(errors.VersionConflict):
            self.table.delete("a", if_version=version)
        self.table.delete("a", if_version=later)
        self.assertIsNone(self.table.get("a"))
        self.assertGreater(self.table.put("a", b"3", if_version=0), later)

    def test_changes_show_the_last_state_once(self):
        """Guards against a stale value or a missing deletion in a batch."""
        self.table.put("a/1", b"1", if_version=None)
        self.table.put("a/2", b"1", if_version=None)
        self.table.delete("a/1", if_version=None)
        batch = self.table.changes("a/", 0)
        self.assertEqual(
            [("a/2", False), ("a/1", True)],
            [(item.key, item.deleted) for item in batch.objects],
        )
        self.assertEqual([], self.changed_keys("a/", batch.revision))

    def test_revision_outside_the_history(self):
        """Guards against missing changes that the change log has dropped."""
        for number in range(6):
            self.table.put(f"a/{number}", b"", if_version=None)
        self.assertEqual(6, len(self.changed_keys("a/", 1)))
        self.assertEqual(2, len(self.changed_keys("a/", 4)))
        self.assertEqual(6, len(self.changed_keys("a/", 99)))

    def test_waiter_is_called_once_for_its_prefix(self):
        """Guards against a waiter called for other keys or more than once."""
        calls = []
        self.table.add_waiter("a/", lambda: calls.append("a"))
        self.table.put("b/1", b"", if_version=None)
        self.assertEqual([], calls)
        self.table.put("a/1", b"", if_version=None)
        self.table.put("a/1", b"", if_version=None)
        self.assertEqual(["a"], calls)

    def test_value_above_the_limit(self):
        """Guards against storing a value above the platform's limit."""
        value = b"x" * (object_table.MAX_VALUE_BYTES + 1)
        with self.assertRaises(object_table.ValueTooLarge):
            self.table.put("a", value, if_version=None)
        self.assertEqual(0, self.table.revision)
