"""In-memory store whose next calls can be made to fail."""

from __future__ import annotations

from fuchsiacourse import errors
from fuchsiacourse import store as stores


class MemoryStore(stores.Store):
    """Stores objects in memory and raises scripted errors.

    The errors in ``errors_by_call`` are raised by the next calls of that
    name.
    """

    def __init__(self) -> None:
        self.objects_by_key: dict[str, stores.StoredObject] = {}
        self.errors_by_call: dict[str, list[Exception]] = {}
        # Whether a write that raises StoreOutcomeUnknown takes effect.
        self.takes_effect = True
        self._revision = 0

    def _error(self, call: str) -> Exception | None:
        pending = self.errors_by_call.get(call)
        return pending.pop(0) if pending else None

    async def get(self, key: str) -> stores.StoredObject | None:
        """Returns an object or None."""
        error = self._error("get")
        if error is not None:
            raise error
        return self.objects_by_key.get(key)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object."""
        error = self._error("put")
        if error is not None and not (
            isinstance(error, errors.StoreOutcomeUnknown) and self.takes_effect
        ):
            raise error
        found = self.objects_by_key.get(key)
        version = found.version if found is not None else 0
        if if_version is not None and if_version != version:
            raise errors.VersionConflict(key)
        self._revision += 1
        self.objects_by_key[key] = stores.StoredObject(
            key=key, value=value, version=self._revision
        )
        if error is not None:
            raise error
        return self._revision

    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object."""
        self.objects_by_key.pop(key, None)

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """Not used by entries."""
        raise NotImplementedError

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> stores.WatchBatch:
        """Not used by entries."""
        raise NotImplementedError

    async def hosts(self) -> list[stores.HostRecord]:
        """Not used by entries."""
        raise NotImplementedError
