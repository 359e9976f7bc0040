"""Port to the platform's object API."""

from __future__ import annotations

import abc

# Condition on a write: the object must not exist yet.
CREATE_ONLY = 0
# Key that is read where only the store's answer counts; none is written.
_PROOF_KEY = "front-proofs/none"


class StoredObject:
    """An object as the platform holds it.

    Args:
        key: Name of the object.
        value: Content.
        version: Store-wide revision of the last write to the object.
        deleted: Whether a watch reports the object's deletion.
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
        revision: Store-wide revision to continue the watch after.
        objects: Objects changed since the asked revision, in order.
    """

    __slots__ = ("revision", "objects")

    def __init__(self, *, revision: int, objects: list[StoredObject]) -> None:
        self.revision = revision
        self.objects = objects


class HostRecord:
    """An item of the platform's lagging list of hosts.

    Args:
        host: IP number of the host.
        availability_zone: Zone of the host.
        region: Region of the zone.
        leaving: Whether the host is about to be taken away.
        address: Address of the process on the host that the item is about,
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
    """Object API with versions, conditional updates and watches.

    Every method may raise StoreUnavailable, StoreRateLimited or
    StoreUnsure; the writing ones VersionConflict as well.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Returns an object, or None if there is none."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> list[StoredObject]:
        """Returns all objects whose key starts with a prefix."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object.

        Args:
            key: Name of the object.
            value: Content, at most one megabyte.
            if_version: Version that the object must have; CREATE_ONLY if
                it must not exist, None for no condition.

        Returns:
            The new version.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if there is none."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Waits for changes after a revision.

        Returns:
            The changes, or an empty batch after the timeout.
        """

    async def ping(self) -> None:
        """Returns when the store has answered a call.

        The call may cost less than the others.
        """
        await self.get(_PROOF_KEY)

    @abc.abstractmethod
    async def hosts(self) -> list[HostRecord]:
        """Returns the list of live and leaving hosts, which lags."""
