"""Copy of the objects under a prefix of the store, and updates of copies."""

from __future__ import annotations

import collections

from fuchsiacourse import store as stores

# Most deletions that a copy remembers. A peer that lacks older ones receives a
# snapshot. A release of the largest service deletes fewer targets than this.
MAX_DELETIONS = 1000

# Era of the store and revision within it. A store that comes back from an
# older copy gives out revisions again, in a new era, so only both together
# order its states.
Position = tuple[int, int]


class CopyUpdate:
    """Snapshot of a copy, or its changes after a revision.

    Args:
        revision: Store-wide revision that the copy has reached.
        is_snapshot: Whether the update is a snapshot of all objects.
        objects: Objects; deleted ones occur only among changes.
        era: Era of the revision, 0 if it isn't known.
    """

    __slots__ = ("revision", "is_snapshot", "objects", "era")

    def __init__(
        self,
        *,
        revision: int,
        is_snapshot: bool,
        objects: list[stores.StoredObject],
        era: int = 0,
    ) -> None:
        self.revision = revision
        self.is_snapshot = is_snapshot
        self.objects = objects
        self.era = era

    @property
    def position(self) -> Position:
        """Position in the store's history that the copy has reached."""
        return self.era, self.revision


class ObjectCopy:
    """Objects at a revision, with the latest deletions.

    Attributes:
        by_key: Objects by key.
        revision: Store-wide revision up to which the copy has all changes,
            0 without a copy.
        changed_revision: Revision of the last change under the prefix, or of
            a snapshot that may contain one; 0 without a copy.
        era: Era of all revisions, 0 if it isn't known.
    """

    __slots__ = (
        "by_key",
        "revision",
        "changed_revision",
        "era",
        "_deleted_by_key",
        "_first_revision",
    )

    def __init__(self) -> None:
        self.by_key: dict[str, stores.StoredObject] = {}
        self.revision = 0
        self.changed_revision = 0
        self.era = 0
        self._deleted_by_key: collections.OrderedDict[
            str, stores.StoredObject
        ] = collections.OrderedDict()
        # All deletions after this store-wide revision are remembered.
        self._first_revision = 0

    @property
    def position(self) -> Position:
        """Position in the store's history up to which all is known."""
        return self.era, self.revision

    def replace(
        self,
        revision: int,
        objects: list[stores.StoredObject],
        *,
        era: int = 0,
    ) -> None:
        """Replaces all objects by a snapshot at a revision of an era.

        The deletions of another era are forgotten: a peer that has a copy of
        that era receives a snapshot.
        """
        if era != self.era:
            self.by_key = {}
            self._deleted_by_key.clear()
            self.revision = self.changed_revision = 0
            self.era = era
        if self.revision == 0:
            self._first_revision = revision
        present = {item.key: item for item in objects}
        for key in set(self.by_key) - set(present):
            self._delete(key, revision)
        self.by_key = present
        # Not the revision of the newest object: the last change may have
        # been a deletion, which a snapshot does not show.
        self.changed_revision = max(self.changed_revision, revision)
        self.revision = revision

    def update(
        self, revision: int, objects: list[stores.StoredObject]
    ) -> None:
        """Applies changes, in order, up to a revision."""
        for item in objects:
            if item.deleted:
                self._delete(item.key, revision)
            else:
                self.by_key[item.key] = item
                self._deleted_by_key.pop(item.key, None)
        if objects:
            self.changed_revision = revision
        self.revision = revision

    def since(self, revision: int, era: int | None = None) -> CopyUpdate:
        """Returns the changes after a revision.

        The result is a snapshot if the revision belongs to another era, or if
        the deletions since then are no longer known.

        Args:
            revision: Revision that the other copy has reached, 0 for none.
            era: Era of that revision, None if the other front is of a build
                that doesn't know eras.
        """
        is_snapshot = revision < max(1, self._first_revision) or (
            era is not None and era != self.era
        )
        objects = list(self.by_key.values())
        if not is_snapshot:
            # Deletions come first: a deleted key may have been created again.
            objects = [
                item
                for item in (*self._deleted_by_key.values(), *objects)
                if item.version > revision
            ]
        return CopyUpdate(
            revision=self.revision,
            is_snapshot=is_snapshot,
            objects=objects,
            era=self.era,
        )

    def _delete(self, key: str, revision: int) -> None:
        self.by_key.pop(key, None)
        self._deleted_by_key.pop(key, None)
        # The revision of the deletion, not of the last write.
        self._deleted_by_key[key] = stores.StoredObject(
            key=key, value=b"", version=revision, deleted=True
        )
        if len(self._deleted_by_key) > MAX_DELETIONS:
            _, oldest = self._deleted_by_key.popitem(last=False)
            self._first_revision = max(self._first_revision, oldest.version)
