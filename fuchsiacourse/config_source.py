"""Fetching of manifests and service bodies from peers and the store."""

from __future__ import annotations

import asyncio
import collections.abc

from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import manifest as manifests
from fuchsiacourse import peers as peer_calls
from fuchsiacourse import store as stores

PEER_TIMEOUT_S = 2.0
# Maximum services named in one request; the reply's size is bounded as well.
_NAMES_PER_REQUEST = 256
_PARALLEL_READS = 8

Bodies = dict[str, bytes]


class Offer:
    """Manifest offered by a source, with the bodies sent along with it.

    Args:
        manifest: The manifest.
        bodies_by_name: Bodies that match their digests.
        address: RPC address of the offering peer; empty for the store.
    """

    __slots__ = ("manifest", "bodies_by_name", "address")

    def __init__(
        self,
        *,
        manifest: manifests.Manifest,
        bodies_by_name: Bodies,
        address: str = "",
    ) -> None:
        self.manifest = manifest
        self.bodies_by_name = bodies_by_name
        self.address = address


class ConfigSource:
    """Fetches configurations and checks every body against its digest.

    The methods raise PeerError, StoreError, or ServiceFileError for
    content that does not match its digest or its schema.

    Args:
        store: Client of the platform's object API.
        peers: Client of the other processes.
    """

    def __init__(
        self, *, store: stores.Store, peers: peer_calls.Peers
    ) -> None:
        self._store = store
        self._peers = peers

    async def peer_offer(
        self, address: str, held: manifests.Manifest
    ) -> Offer | None:
        """Returns a peer's manifest, or None if it is not newer than ours."""
        reply = await self._peers.fetch_config(
            address,
            fleet_pb2.FetchRequest(number=held.number),
            timeout_s=PEER_TIMEOUT_S,
        )
        if reply.number <= held.number:
            return None
        found = manifests.resolve(
            reply.manifest, held, source=f"manifest of {address}"
        )
        if found.number <= held.number:
            return None
        return Offer(
            manifest=found,
            bodies_by_name=_checked_bodies(found, reply.bodies),
            address=address,
        )

    async def store_offer(self) -> Offer | None:
        """Returns the manifest in the store, None if there is none."""
        found = await self._store.get(manifests.KEY)
        if found is None:
            return None
        return Offer(
            manifest=manifests.decode(found.value, source=manifests.KEY),
            bodies_by_name={},
        )

    async def complete(
        self, offer: Offer, held: manifests.Manifest, known: Bodies
    ) -> Bodies:
        """Returns the bodies of all services that differ from a manifest.

        Args:
            offer: Manifest to complete and its source.
            held: Manifest whose bodies are not needed.
            known: Bodies by digest from earlier calls; bodies fetched here
                are added to it.
        """
        for name, body in offer.bodies_by_name.items():
            known[offer.manifest.services[name].digest] = body
        wanted = {
            name: offer.manifest.services[name]
            for name in offer.manifest.changed_from(held)
        }
        missing = [
            name
            for name, version in wanted.items()
            if version.digest not in known
        ]
        if offer.address:
            await self._add_from_peer(offer, missing, known)
        else:
            await self._add_from_store(offer, missing, known)
        return {name: known[item.digest] for name, item in wanted.items()}

    async def _add_from_peer(
        self, offer: Offer, missing: list[str], known: Bodies
    ) -> None:
        while missing:
            reply = await self._peers.fetch_config(
                offer.address,
                fleet_pb2.FetchRequest(services=missing[:_NAMES_PER_REQUEST]),
                timeout_s=PEER_TIMEOUT_S,
            )
            found = _checked_bodies(offer.manifest, reply.bodies)
            if not found.keys() & set(missing):
                raise errors.ServiceFileError(
                    f"{offer.address} returned no body for {missing[0]}"
                )
            for name, body in found.items():
                known[offer.manifest.services[name].digest] = body
            missing = [name for name in missing if name not in found]

    async def _add_from_store(
        self, offer: Offer, missing: list[str], known: Bodies
    ) -> None:
        limit = asyncio.Semaphore(_PARALLEL_READS)

        async def add(name: str) -> None:
            version = offer.manifest.services[name]
            key = manifests.body_key(name, version.version)
            async with limit:
                found = await self._store.get(key)
            if found is None:
                raise errors.ServiceFileError(f"{key}: no such object")
            manifests.check_body(name, version, found.value)
            known[version.digest] = found.value

        # Waits for all reads, so that none runs on after a failure.
        results = await asyncio.gather(
            *(add(name) for name in missing), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result


def _checked_bodies(
    manifest: manifests.Manifest,
    bodies: collections.abc.Iterable[fleet_pb2.ServiceBody],
) -> Bodies:
    checked = {}
    for item in bodies:
        version = manifest.services.get(item.name)
        if version is None:
            raise errors.ServiceFileError(
                f"{item.name}: not in manifest {manifest.number}"
            )
        manifests.check_body(item.name, version, item.body)
        checked[item.name] = item.body
    return checked
