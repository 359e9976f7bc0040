"""Tests of the copy of the store's objects."""

import unittest

from fuchsiacourse.front import object_copy
from fuchsiacourse import store as stores


def item(key: str, version: int, deleted: bool = False):
    return stores.StoredObject(
        key=key, value=b"x", version=version, deleted=deleted
    )


def told(part: object_copy.CopyUpdate) -> list[tuple[str, bool]]:
    return [(found.key, found.deleted) for found in part.objects]


class ObjectCopyTest(unittest.TestCase):
    """Another front must get all that it lacks, deletions included."""

    def setUp(self) -> None:
        self.copy = object_copy.ObjectCopy()
        self.copy.replace(10, [item("a", 3), item("b", 8)])

    def test_front_without_a_copy_gets_all_objects(self):
        part = self.copy.since(0)
        self.assertTrue(part.is_snapshot)
        self.assertEqual([("a", False), ("b", False)], told(part))
        self.assertEqual(10, part.revision)

    def test_older_copy_gets_all_objects(self):
        self.assertTrue(self.copy.since(9).is_snapshot)

    def test_newer_copy_gets_changes_and_deletions(self):
        # A watch reports a deletion with the revision of the last write.
        self.copy.update(15, [item("b", 8, deleted=True), item("c", 14)])
        part = self.copy.since(12)
        self.assertFalse(part.is_snapshot)
        self.assertEqual([("b", True), ("c", False)], told(part))
        self.assertEqual(15, self.copy.changed_revision)

    def test_key_that_is_used_again_is_not_deleted(self):
        self.copy.update(15, [item("b", 8, deleted=True), item("b", 14)])
        self.assertEqual([("b", False)], told(self.copy.since(12)))

    def test_list_after_lost_history_tells_deletions(self):
        self.copy.replace(20, [item("a", 3)])
        self.assertEqual([("b", True)], told(self.copy.since(12)))

    def test_watch_without_changes_is_no_news(self):
        self.copy.update(19, [])
        self.assertEqual(10, self.copy.changed_revision)
        self.assertEqual(19, self.copy.since(12).revision)

    def test_list_may_bring_a_deletion(self):
        older = object_copy.ObjectCopy()
        older.replace(9, [item("a", 3), item("b", 8), item("c", 5)])
        self.assertGreater(self.copy.changed_revision, older.revision)
        part = self.copy.since(older.revision)
        self.assertTrue(part.is_snapshot)
        self.assertEqual([("a", False), ("b", False)], told(part))

    def test_forgotten_deletions_give_all_objects(self):
        for number in range(object_copy.MAX_DELETIONS + 1):
            self.copy.update(
                20 + number, [item(f"k{number}", 1, deleted=True)]
            )
        self.assertTrue(self.copy.since(19).is_snapshot)
        self.assertFalse(self.copy.since(20).is_snapshot)
