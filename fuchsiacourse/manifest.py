"""The manifest: the version of each service that a configuration holds.

Sizes: an item takes about 130 bytes, so the manifest of 1,900 services has
about 250 KB and fits into one object. Processes send each other only the
difference to the requester's manifest (ManifestDelta): at 3,500 changes a
day the whole manifest would cost each node about 10 KB/s.
"""

from __future__ import annotations

import hashlib

import pydantic

from fuchsiacourse import errors
from fuchsiacourse import service_file

KEY = "manifest"
VERSION_DIGITS = 16
# First field of an encoded difference; a whole manifest does not have it.
_DELTA_START = b'{"base":'


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ServiceVersion(_Part):
    """Version of one service's body."""

    version: str
    digest: str


class Manifest(_Part):
    """Configuration number and the version of each of its services."""

    number: int = pydantic.Field(ge=0)
    publish_id: str
    services: dict[str, ServiceVersion]

    def encode(self) -> bytes:
        """Returns the JSON text, which is the same for equal manifests."""
        ordered = self.model_copy(
            update={"services": dict(sorted(self.services.items()))}
        )
        return ordered.model_dump_json().encode()

    def changed_from(self, base: Manifest) -> list[str]:
        """Returns the sorted names of services new or changed since a base."""
        return sorted(
            name
            for name, held in self.services.items()
            if base.services.get(name) != held
        )

    def removed_from(self, base: Manifest) -> list[str]:
        """Returns the sorted names of a base's services that are gone."""
        return sorted(base.services.keys() - self.services.keys())


class ManifestDelta(_Part):
    """Difference between a manifest and the one with number ``base``."""

    base: int
    number: int
    publish_id: str
    changed: dict[str, ServiceVersion]
    removed: list[str]
    digest: str

    def apply(self, base: Manifest) -> Manifest:
        """Returns the manifest that results from the difference.

        Args:
            base: Manifest that the difference was computed from.

        Raises:
            ServiceFileError: The difference has another base.
        """
        services = {
            name: held
            for name, held in base.services.items()
            if name not in self.removed
        }
        services.update(self.changed)
        result = Manifest(
            number=self.number,
            publish_id=self.publish_id,
            services=services,
        )
        if base.number != self.base or digest(result.encode()) != self.digest:
            raise errors.ServiceFileError(
                f"manifest {self.number}: difference does not apply to"
                f" manifest {base.number}"
            )
        return result


EMPTY = Manifest(number=0, publish_id="", services={})


def digest(content: bytes) -> str:
    """Returns the SHA-256 digest in hexadecimal digits."""
    return hashlib.sha256(content).hexdigest()


def version_of(body: bytes) -> ServiceVersion:
    """Returns the version of a body, derived from its content alone.

    Equal bodies have equal versions, so that writing a body twice, after a
    lost reply or by two operators, has no further effect.
    """
    full = digest(body)
    return ServiceVersion(version=full[:VERSION_DIGITS], digest=full)


def body_key(name: str, version: str) -> str:
    """Returns the store key of a version of a service's body."""
    return f"services/{name}/{version}"


def delta(base: Manifest, current: Manifest) -> ManifestDelta:
    """Returns the difference between two manifests."""
    return ManifestDelta(
        base=base.number,
        number=current.number,
        publish_id=current.publish_id,
        changed={
            name: current.services[name] for name in current.changed_from(base)
        },
        removed=current.removed_from(base),
        digest=digest(current.encode()),
    )


def decode(content: bytes, *, source: str) -> Manifest:
    """Parses a manifest.

    Raises:
        ServiceFileError: Names the source, each wrong field and the
            reason.
    """
    return _decode(Manifest, content, source)


def resolve(content: bytes, base: Manifest, *, source: str) -> Manifest:
    """Parses a manifest, or a difference that is applied to a base.

    Args:
        content: JSON text of a Manifest or a ManifestDelta.
        base: Manifest to apply a difference to.
        source: Name of the source for error messages.

    Raises:
        ServiceFileError: The content is malformed or has another base.
    """
    if not content.startswith(_DELTA_START):
        return decode(content, source=source)
    return _decode(ManifestDelta, content, source).apply(base)


def check_body(name: str, held: ServiceVersion, body: bytes) -> None:
    """Checks a body against its digest in the manifest.

    Raises:
        ServiceFileError: The digest differs.
    """
    if digest(body) != held.digest:
        raise errors.ServiceFileError(
            f"{body_key(name, held.version)}: the body does not match its"
            " digest"
        )


def _decode(model, content: bytes, source: str):
    try:
        return model.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.ServiceFileError(
            service_file.describe(error, source=source)
        ) from error
