"""Manifest with its service bodies, in the form served to peers."""

from __future__ import annotations

import collections.abc
import zlib

from fuchsiacourse import fleet_pb2
from fuchsiacourse import manifest as manifests

# Bytes of bodies in a reply; small enough that a reply does not block other
# calls on its connection.
MAX_REPLY_BYTES = 1_000_000


class ConfigBundle:
    """Holds a manifest and the compressed bodies of its services.

    Args:
        manifest: The manifest.
        packed_by_name: zlib-compressed body of each service.
    """

    __slots__ = ("manifest", "packed_by_name")

    def __init__(
        self,
        *,
        manifest: manifests.Manifest = manifests.EMPTY,
        packed_by_name: collections.abc.Mapping[str, bytes] | None = None,
    ) -> None:
        self.manifest = manifest
        self.packed_by_name = dict(packed_by_name or {})

    def body(self, name: str) -> bytes:
        """Returns the body of a service."""
        return zlib.decompress(self.packed_by_name[name])

    def with_manifest(
        self,
        manifest: manifests.Manifest,
        bodies_by_name: collections.abc.Mapping[str, bytes],
    ) -> ConfigBundle:
        """Returns the bundle of another manifest.

        Args:
            manifest: The other manifest.
            bodies_by_name: Bodies of the services that differ from this
                bundle's; the other bodies are reused.
        """
        changed = set(manifest.changed_from(self.manifest))
        return ConfigBundle(
            manifest=manifest,
            packed_by_name={
                name: (
                    zlib.compress(bodies_by_name[name])
                    if name in changed
                    else self.packed_by_name[name]
                )
                for name in manifest.services
            },
        )

    def reply(
        self,
        request: fleet_pb2.FetchRequest,
        base: manifests.Manifest | None,
    ) -> fleet_pb2.FetchReply:
        """Returns the reply to a request for the manifest or for bodies.

        The reply to a manifest request also holds the changed bodies if
        the requester's manifest is known here. Bodies beyond
        MAX_REPLY_BYTES are left out; the requester fetches them by name.

        Args:
            request: The requester's number, or names of services.
            base: Manifest with the requester's number, None if unknown.
        """
        number = self.manifest.number
        reply = fleet_pb2.FetchReply(number=number)
        if request.services:
            self._add_bodies(reply, request, request.services)
            return reply
        if request.number >= number:
            return reply
        if base is None:
            reply.manifest = self.manifest.encode()
            return reply
        difference = manifests.delta(base, self.manifest)
        reply.manifest = difference.model_dump_json().encode()
        self._add_bodies(reply, request, sorted(difference.changed))
        return reply

    def _add_bodies(
        self,
        reply: fleet_pb2.FetchReply,
        request: fleet_pb2.FetchRequest,
        names: collections.abc.Iterable[str],
    ) -> None:
        held = set(request.held_digests)
        size = 0
        for name in names:
            version = self.manifest.services.get(name)
            if version is None or version.digest in held:
                continue
            body = self.body(name)
            size += len(body)
            if size > MAX_REPLY_BYTES and reply.bodies:
                return
            reply.bodies.add(
                name=name,
                version=version.version,
                digest=version.digest,
                body=body,
            )
