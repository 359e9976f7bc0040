"""Writes service files and the manifest that puts them in force."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import manifest as manifests
from fuchsiacourse import publish_change
from fuchsiacourse import publish_files
from fuchsiacourse import retry_backoff
from fuchsiacourse import service_file
from fuchsiacourse import store as stores

# With a back-off that doubles from 0.2 s to 2 s, the waits between attempts
# add up to about 8 s.
ATTEMPTS = 8
_MAX_WAIT_S = 2.0
# Concurrent reads of other services' bodies, well below the platform's
# limit on reads.
_PARALLEL_READS = 8
_PUBLISH_ID_BITS = 64


class Publisher:
    """Puts validated service files in force by a conditional write.

    Bodies are written first, then the manifest, on the condition that its
    version is the one that was read. On a version conflict the change is
    merged into the newer manifest and written again.

    Args:
        store: Object API of the platform.
        clock: Source of time.
        rng: Source of publish ids and of the jitter of the back-off.
        operator: Name that publishes are recorded under.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        clock: clocks.Clock,
        rng: random.Random,
        operator: str,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._operator = operator
        self._bodies_by_key: dict[str, publish_files.Candidate] = {}

    async def read_manifest(self) -> tuple[manifests.Manifest, int]:
        """Returns the manifest in the store and its version.

        Before the first publish, the manifest is empty and the version
        CREATE_ONLY.
        """
        found = await self._retry(lambda: self._store.get(manifests.KEY))
        if found is None:
            return manifests.EMPTY, stores.CREATE_ONLY
        parsed = manifests.decode(found.value, source=manifests.KEY)
        return parsed, found.version

    async def publish(
        self,
        candidates: collections.abc.Sequence[publish_files.Candidate],
        *,
        removed: collections.abc.Sequence[str] = (),
        base: manifests.Manifest | None = None,
        dry_run: bool = False,
    ) -> publish_change.PublishResult:
        """Puts service files in force.

        Services that are neither among the files nor removed stay as
        published.

        Args:
            candidates: Validated service files.
            removed: Names of services to remove.
            base: Manifest that the operator based the change on; by
                default the one in the store at the start.
            dry_run: Whether to compute the change without writing it.

        Raises:
            ServiceFileError: Routes collide with those of published
                services, or a service to remove does not exist.
            PublishConflict: Another operator changed the same services
                since the base.
            StoreOutcomeUnknown: A write got no reply; the change may still
                take effect.
            StoreError: The platform does not answer; the manifest is
                unchanged.
        """
        current, version = await self.read_manifest()
        change = publish_change.PublishChange(
            base=base if base is not None else current,
            candidates=candidates,
            removed=removed,
            publish_id=self._new_publish_id(),
        )
        merged = change.merged_into(current)
        await self._require_unique_routes(change, merged)
        if dry_run or merged is current:
            return change.result(current, merged, is_dry_run=dry_run)
        for key, item in change.bodies(current).items():
            await self._create(key, item.body)
        return await self._write_manifest(change, current, version)

    async def _write_manifest(
        self,
        change: publish_change.PublishChange,
        before: manifests.Manifest,
        version: int,
    ) -> publish_change.PublishResult:
        backoff = self._backoff()
        current = before
        outcome_unknown: errors.StoreOutcomeUnknown | None = None
        for _ in range(ATTEMPTS):
            merged = change.merged_into(current)
            if merged is current:
                # Put in force by an earlier attempt or another operator.
                return change.result(before, current)
            await self._require_unique_routes(change, merged)
            try:
                await self._store.put(
                    manifests.KEY, merged.encode(), if_version=version
                )
                return change.result(before, merged)
            except errors.VersionConflict:
                pass
            except errors.StoreOutcomeUnknown as error:
                outcome_unknown = error
                await self._clock.sleep(backoff.next())
            except errors.StoreUnavailable:
                await self._clock.sleep(backoff.next())
            try:
                current, version = await self.read_manifest()
            except errors.StoreUnavailable as error:
                raise outcome_unknown or error from error
            if current.publish_id == change.publish_id:
                # An earlier attempt took effect, but its reply was lost.
                return change.result(before, current)
        raise outcome_unknown or errors.StoreUnavailable(
            f"{manifests.KEY}: not written in {ATTEMPTS} attempts"
        )

    async def _create(self, key: str, body: bytes) -> None:
        try:
            await self._retry(
                lambda: self._store.put(
                    key, body, if_version=stores.CREATE_ONLY
                )
            )
        except errors.VersionConflict as error:
            # Created by an earlier attempt or by another operator.
            found = await self._retry(lambda: self._store.get(key))
            if found is None or found.value != body:
                raise errors.StoreError(
                    f"{key}: the stored body differs from the new one"
                ) from error

    async def _require_unique_routes(
        self,
        change: publish_change.PublishChange,
        merged: manifests.Manifest,
    ) -> None:
        """Checks that no two services of a manifest share a route.

        Raises:
            ServiceFileError: Names each shared route.
        """
        read_limit = asyncio.Semaphore(_PARALLEL_READS)
        found = await asyncio.gather(
            *(
                self._load_candidate(change, name, published, read_limit)
                for name, published in sorted(merged.services.items())
            )
        )
        # Puts the operator's files last: duplicate_routes then reports them
        # as duplicates of the services that are published already.
        found.sort(key=lambda item: item.name in change.candidates_by_name)
        lines = publish_files.duplicate_routes(found)
        if lines:
            raise errors.ServiceFileError("\n".join(lines))

    async def _load_candidate(
        self,
        change: publish_change.PublishChange,
        name: str,
        published: manifests.ServiceVersion,
        read_limit: asyncio.Semaphore,
    ) -> publish_files.Candidate:
        ours = change.candidates_by_name.get(name)
        if ours is not None and manifests.version_of(ours.body) == published:
            return ours
        key = manifests.body_key(name, published.version)
        if key not in self._bodies_by_key:
            async with read_limit:
                found = await self._retry(lambda: self._store.get(key))
            if found is None:
                raise errors.StoreError(f"{key}: the store has no such body")
            self._bodies_by_key[key] = publish_files.Candidate(
                parsed=service_file.parse(found.value, source=key),
                body=found.value,
                source=key,
            )
        return self._bodies_by_key[key]

    async def _retry(
        self,
        call: typing.Callable[[], collections.abc.Awaitable[typing.Any]],
    ) -> typing.Any:
        """Calls an idempotent operation of the store with retries.

        Returns:
            The result of the first attempt that succeeds.

        Raises:
            StoreUnavailable: The last of ATTEMPTS attempts failed.
            StoreOutcomeUnknown: The last attempt got no reply.
        """
        backoff = self._backoff()
        for _ in range(ATTEMPTS - 1):
            try:
                return await call()
            except (errors.StoreUnavailable, errors.StoreOutcomeUnknown):
                await self._clock.sleep(backoff.next())
        return await call()

    def _backoff(self) -> retry_backoff.RetryBackoff:
        return retry_backoff.RetryBackoff(rng=self._rng, max_s=_MAX_WAIT_S)

    def _new_publish_id(self) -> str:
        return f"{self._operator}-{self._rng.getrandbits(_PUBLISH_ID_BITS):x}"
