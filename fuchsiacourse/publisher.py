"""Publishing of service files by an operator."""

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

# With waits of 0.2 s doubling to 2 s the attempts cover about 8 s.
ATTEMPTS = 8
_MAX_WAIT_S = 2.0
# Bodies of other services are read a few at a time, well below the
# platform's limit on reads.
_PARALLEL_READS = 8
_PUBLISH_ID_BITS = 64


class Publisher:
    """Puts validated service files in force.

    Args:
        store: Object API.
        clock: Source of time.
        rng: Source of publish ids and of the jitter between attempts.
        operator: Name that a publish is recorded under.
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

        The manifest is empty and the version CREATE_ONLY before the first
        publish.
        """
        found = await self._retried(lambda: self._store.get(manifests.KEY))
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

        Services that are neither among the files nor removed stay as they
        are published.

        Args:
            candidates: Validated service files.
            removed: Names of services to remove.
            base: Manifest that the operator last read and based the
                change on; by default the one in the store at the start.
            dry_run: Whether to compute the difference only.

        Raises:
            ServiceFileError: Routes collide with published services, or a
                service to remove does not exist.
            PublishConflict: Another operator changed the same services
                since the base.
            StoreOutcomeUnknown: The change may still take effect.
            StoreError: The platform does not answer; no change.
        """
        current, version = await self.read_manifest()
        change = publish_change.PublishChange(
            base=base if base is not None else current,
            candidates=candidates,
            removed=removed,
            publish_id=self._new_publish_id(),
        )
        wanted = change.merged_into(current)
        await self._check_routes(change, wanted)
        if dry_run or wanted is current:
            return change.result(current, wanted, is_dry_run=dry_run)
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
        last_unsure: errors.StoreOutcomeUnknown | None = None
        for _ in range(ATTEMPTS):
            wanted = change.merged_into(current)
            if wanted is current:
                # An earlier attempt or another operator put it in force.
                return change.result(before, current)
            await self._check_routes(change, wanted)
            try:
                await self._store.put(
                    manifests.KEY, wanted.encode(), if_version=version
                )
                return change.result(before, wanted)
            except errors.VersionConflict:
                pass
            except errors.StoreOutcomeUnknown as error:
                last_unsure = error
                await self._clock.sleep(backoff.next())
            except errors.StoreUnavailable:
                await self._clock.sleep(backoff.next())
            try:
                current, version = await self.read_manifest()
            except errors.StoreUnavailable as error:
                raise last_unsure or error from error
            if current.publish_id == change.publish_id:
                # An earlier attempt took effect and its reply was lost.
                return change.result(before, current)
        raise last_unsure or errors.StoreUnavailable(
            f"{manifests.KEY}: not written in {ATTEMPTS} attempts"
        )

    async def _create(self, key: str, body: bytes) -> None:
        try:
            await self._retried(
                lambda: self._store.put(
                    key, body, if_version=stores.CREATE_ONLY
                )
            )
        except errors.VersionConflict as error:
            # Written by an earlier attempt or by another operator.
            found = await self._retried(lambda: self._store.get(key))
            if found is None or found.value != body:
                raise errors.StoreError(
                    f"{key}: holds another body"
                ) from error

    async def _check_routes(
        self,
        change: publish_change.PublishChange,
        wanted: manifests.Manifest,
    ) -> None:
        """Checks routes over all services of the wanted manifest."""
        limit = asyncio.Semaphore(_PARALLEL_READS)
        found = await asyncio.gather(
            *(
                self._candidate(change, name, held, limit)
                for name, held in sorted(wanted.services.items())
            )
        )
        # The operator's files come last, so that a line names them first.
        found.sort(key=lambda item: item.name in change.candidates_by_name)
        lines = publish_files.duplicate_routes(found)
        if lines:
            raise errors.ServiceFileError("\n".join(lines))

    async def _candidate(
        self,
        change: publish_change.PublishChange,
        name: str,
        held: manifests.ServiceVersion,
        limit: asyncio.Semaphore,
    ) -> publish_files.Candidate:
        mine = change.candidates_by_name.get(name)
        if mine is not None and manifests.version_of(mine.body) == held:
            return mine
        key = manifests.body_key(name, held.version)
        if key not in self._bodies_by_key:
            async with limit:
                found = await self._retried(lambda: self._store.get(key))
            if found is None:
                raise errors.StoreError(f"{key}: the body is missing")
            self._bodies_by_key[key] = publish_files.Candidate(
                parsed=service_file.parse(found.value, source=key),
                body=found.value,
                source=key,
            )
        return self._bodies_by_key[key]

    async def _retried(
        self,
        call: typing.Callable[[], collections.abc.Awaitable[typing.Any]],
    ) -> typing.Any:
        """Repeats a call that may take effect twice without harm."""
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
