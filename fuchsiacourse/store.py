"""Interface to the platform's object store.

Programs and tests use it in place of the HTTP client of the platform.
"""

from __future__ import annotations

import abc

# Value of if_version: the object must not exist yet.
CREATE_ONLY = 0
# Key that ping reads. No object has it, because only the fact that the store
# answers matters.
_PING_KEY = "front-proofs/none"


class StoredObject:
    """One version of an object in the platform's store.

    Args:
        key: Key of the object.
        value: Content of the object.
        version: Store-wide revision of the last write to the object.
        deleted: Whether this is a watch event for the object's deletion.
    """

    __slots__ = ("key", "value", "version", "deleted")

    def __init__(
        self,
        *,
        key: str,
        value: bytes,
        version: int,
        deleted: bool = False,
    ) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.deleted = deleted


class WatchBatch:
    """Result of one watch call.

    Args:
        revision: Store-wide revision after which to continue the watch.
        objects: Objects changed after the requested revision, in order.
        era: Number of the store's history that the revision belongs to. It
            rises when the store comes back from an older copy and gives out
            revisions again; 0 if the store states none.
    """

    __slots__ = ("revision", "objects", "era")

    def __init__(
        self, *, revision: int, objects: list[StoredObject], era: int = 0
    ) -> None:
        self.revision = revision
        self.objects = objects
        self.era = era


class HostRecord:
    """An entry of the platform's host list, which lags behind.

    Args:
        host: IP address of the host.
        availability_zone: Availability zone of the host.
        region: Region of the availability zone.
        leaving: Whether the platform is about to withdraw the host.
        address: Address of the process on the host that the entry describes:
            a target's address or a gossip address of the fleet.
    """

    __slots__ = ("host", "availability_zone", "region", "leaving", "address")

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        region: str,
        leaving: bool = False,
        address: str = "",
    ) -> None:
        self.host = host
        self.availability_zone = availability_zone
        self.region = region
        self.leaving = leaving
        self.address = address


class Store(abc.ABC):
    """Object store with versions, conditional writes and watches.

    Every method may raise StoreUnavailable, StoreRateLimited or
    StoreOutcomeUnknown; the methods that write may also raise
    VersionConflict.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Returns the object with a key, None if there is none."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Returns all objects whose key starts with a prefix."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object.

        Args:
            key: Key of the object.
            value: Content, at most one megabyte.
            if_version: Version that the object must have; CREATE_ONLY if
                it must not exist, None for no condition.

        Returns:
            The new version of the object.

        Raises:
            VersionConflict: The object's version differs from if_version.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if it does not exist.

        Args:
            key: Key of the object.
            if_version: Version that the object must have, None for no
                condition.

        Raises:
            VersionConflict: The object's version differs from if_version.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Waits for changes of objects whose key starts with a prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: Store-wide revision after which changes count.
            timeout_s: Longest wait in seconds.

        Returns:
            The changes, or an empty batch after the timeout.
        """

    async def ping(self) -> int:
        """Returns the store's era once the store has answered a call.

        An implementation may use a call that costs less than a read.

        Returns:
            The era, 0 if the store states none.
        """
        await self.get(_PING_KEY)
        return 0

    @abc.abstractmethod
    async def hosts(self) -> list[HostRecord]:
        """Returns the live and leaving hosts; the list lags behind."""
