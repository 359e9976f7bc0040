"""Tests of copies of the store's objects and their updates."""

import unittest

from fuchsiacourse.front import object_copy
from fuchsiacourse import store as stores


def item(key: str, version: int, deleted: bool = False):
    return stores.StoredObject(
        key=key, value=b"x", version=version, deleted=deleted
    )


def changes(update: object_copy.CopyUpdate) -> list[tuple[str, bool]]:
    return [(found.key, found.deleted) for found in update.objects]


class ObjectCopyTest(unittest.TestCase):
    """A peer must receive all changes that it lacks, deletions included."""

    def setUp(self) -> None:
        self.copy = object_copy.ObjectCopy()
        self.copy.replace(10, [item("a", 3), item("b", 8)])

    def test_peer_without_a_copy_gets_a_snapshot(self):
        """Guards against a first copy that lacks objects."""
        update = self.copy.since(0)
        self.assertTrue(update.is_snapshot)
        self.assertEqual([("a", False), ("b", False)], changes(update))
        self.assertEqual(10, update.revision)

    def test_copy_from_before_the_known_history_gets_a_snapshot(self):
        """Guards against changes that are missing from a delta."""
        self.assertTrue(self.copy.since(9).is_snapshot)

    def test_newer_copy_gets_changes_and_deletions(self):
        """Guards against a deletion that a peer never learns of."""
        # A watch reports a deletion with the revision of the last write.
        self.copy.update(15, [item("b", 8, deleted=True), item("c", 14)])
        update = self.copy.since(12)
        self.assertFalse(update.is_snapshot)
        self.assertEqual([("b", True), ("c", False)], changes(update))
        self.assertEqual(15, self.copy.changed_revision)

    def test_key_that_is_created_again_is_not_deleted(self):
        """Guards against an old deletion that removes a new object."""
        self.copy.update(15, [item("b", 8, deleted=True), item("b", 14)])
        self.assertEqual([("b", False)], changes(self.copy.since(12)))

    def test_snapshot_after_lost_history_yields_deletions(self):
        """Guards against objects that vanish without a deletion."""
        self.copy.replace(20, [item("a", 3)])
        self.assertEqual([("b", True)], changes(self.copy.since(12)))

    def test_watch_without_changes_is_no_change(self):
        """Guards against peers that fetch a copy which has not changed."""
        self.copy.update(19, [])
        self.assertEqual(10, self.copy.changed_revision)
        self.assertEqual(19, self.copy.since(12).revision)

    def test_snapshot_may_contain_a_deletion(self):
        """Guards against a deletion before the snapshot that is missed."""
        older = object_copy.ObjectCopy()
        older.replace(9, [item("a", 3), item("b", 8), item("c", 5)])
        self.assertGreater(self.copy.changed_revision, older.revision)
        update = self.copy.since(older.revision)
        self.assertTrue(update.is_snapshot)
        self.assertEqual([("a", False), ("b", False)], changes(update))

    def test_forgotten_deletions_yield_a_snapshot(self):
        """Guards against a delta that lacks forgotten deletions."""
        for number in range(object_copy.MAX_DELETIONS + 1):
            self.copy.update(
                20 + number, [item(f"k{number}", 1, deleted=True)]
            )
        self.assertTrue(self.copy.since(19).is_snapshot)
        self.assertFalse(self.copy.since(20).is_snapshot)
