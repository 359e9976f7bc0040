"""In-memory table of versioned objects with a bounded change log."""

from __future__ import annotations

import collections
import typing

import sortedcontainers

from fuchsiacourse import errors
from fuchsiacourse import store

MAX_VALUE_BYTES = 1_048_576
DEFAULT_HISTORY_LIMIT = 4_096

Waiter = typing.Callable[[], None]


class ValueTooLarge(errors.StoreError):
    """The value exceeds MAX_VALUE_BYTES; nothing was written."""


class SavedTable:
    """Copy of a table.

    Args:
        revision: Revision of the last change.
        objects: All objects.
        changes: Change log.
    """

    __slots__ = ("revision", "objects", "changes")

    def __init__(
        self,
        *,
        revision: int,
        objects: list[store.StoredObject],
        changes: list[store.StoredObject],
    ) -> None:
        self.revision = revision
        self.objects = objects
        self.changes = changes


class ObjectTable:
    """Stores objects by key under one revision counter.

    Attributes:
        revision: Revision of the last change.
        era: Number of the history; it rises with each restore.

    Args:
        history_limit: Number of changes that the change log holds.
    """

    def __init__(self, *, history_limit: int = DEFAULT_HISTORY_LIMIT) -> None:
        self.revision = 0
        self.era = 1
        self._objects_by_key: sortedcontainers.SortedDict[
            str, store.StoredObject
        ] = sortedcontainers.SortedDict()
        self._changes: collections.deque[store.StoredObject] = (
            collections.deque(maxlen=history_limit)
        )
        self._waiters_by_id: dict[int, tuple[str, Waiter]] = {}
        self._next_waiter_id = 0

    def get(self, key: str) -> store.StoredObject | None:
        """Returns an object, or None if there is none."""
        return self._objects_by_key.get(key)

    def list(self, prefix: str) -> list[store.StoredObject]:
        """Returns the objects whose key starts with a prefix, in key order."""
        found = []
        for key in self._objects_by_key.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            found.append(self._objects_by_key[key])
        return found

    def put(self, key: str, value: bytes, *, if_version: int | None) -> int:
        """Writes an object and returns its new version.

        Args:
            key: Key of the object.
            value: New content.
            if_version: Version that the object must have, CREATE_ONLY if it
                must not exist, None to write unconditionally.

        Raises:
            VersionConflict: The object has another version.
            ValueTooLarge: The value exceeds MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(
                f"{key}: {len(value)} bytes, above {MAX_VALUE_BYTES}"
            )
        self._require(key, if_version)
        self.revision += 1
        written = store.StoredObject(
            key=key, value=value, version=self.revision
        )
        self._objects_by_key[key] = written
        self._record(written)
        return written.version

    def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if there is none.

        Args:
            key: Key of the object.
            if_version: Version that the object must have, None to delete
                unconditionally.

        Raises:
            VersionConflict: The object has another version.
        """
        self._require(key, if_version)
        if self._objects_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._record(
            store.StoredObject(
                key=key, value=b"", version=self.revision, deleted=True
            )
        )

    def changes(self, prefix: str, after_revision: int) -> store.WatchBatch:
        """Returns the last change of each object after a revision.

        Returns all existing objects instead if the change log does not
        reach back to the revision, or if the revision is above the table's
        own, which happens after a restart that lost the objects.
        """
        if not self.covers_revision(after_revision):
            found = sorted(self.list(prefix), key=lambda item: item.version)
            return store.WatchBatch(revision=self.revision, objects=found)
        latest_by_key: dict[str, store.StoredObject] = {}
        for change in reversed(self._changes):
            if change.version <= after_revision:
                break
            if change.key.startswith(prefix):
                latest_by_key.setdefault(change.key, change)
        return store.WatchBatch(
            revision=self.revision,
            objects=list(reversed(latest_by_key.values())),
        )

    def add_waiter(self, prefix: str, waiter: Waiter) -> int:
        """Registers a function to call once, at the next change of a prefix.

        Returns:
            Identifier for remove_waiter.
        """
        self._next_waiter_id += 1
        self._waiters_by_id[self._next_waiter_id] = (prefix, waiter)
        return self._next_waiter_id

    def remove_waiter(self, waiter_id: int) -> None:
        """Removes a waiter; has no effect if it has been called."""
        self._waiters_by_id.pop(waiter_id, None)

    def covers_revision(self, after_revision: int) -> bool:
        """Whether the change log holds all changes after a revision."""
        if after_revision > self.revision:
            return False
        recorded = len(self._changes)
        return after_revision >= self.revision - recorded

    def saved(self) -> SavedTable:
        """Returns a copy of the objects and of the change log."""
        return SavedTable(
            revision=self.revision,
            objects=list(self._objects_by_key.values()),
            changes=list(self._changes),
        )

    def restore(self, saved: SavedTable) -> None:
        """Comes back from a copy: later changes are lost.

        All waiters are called, as the watches are cut.
        """
        self.era += 1
        self.revision = saved.revision
        self._objects_by_key.clear()
        self._objects_by_key.update({item.key: item for item in saved.objects})
        self._changes.clear()
        self._changes.extend(saved.changes)
        waiters = list(self._waiters_by_id.values())
        self._waiters_by_id.clear()
        for _, waiter in waiters:
            waiter()

    def _require(self, key: str, if_version: int | None) -> None:
        if if_version is None:
            return
        held = self._objects_by_key.get(key)
        version = held.version if held is not None else store.CREATE_ONLY
        if version != if_version:
            raise errors.VersionConflict(
                f"{key}: version is {version}, not {if_version}"
            )

    def _record(self, change: store.StoredObject) -> None:
        self._changes.append(change)
        due = [
            (waiter_id, waiter)
            for waiter_id, (prefix, waiter) in self._waiters_by_id.items()
            if change.key.startswith(prefix)
        ]
        for waiter_id, waiter in due:
            del self._waiters_by_id[waiter_id]
            waiter()
