"""The manifest: which version of each service makes up a configuration.

Sizes: an entry takes about 130 bytes, so the manifest of 1,900 services
has about 250 KB and fits into one object. Between processes only the
difference to the asker's manifest is sent (ManifestDelta): at 3,500
changes a day the whole manifest would cost each node about 10 KB/s.
"""

from __future__ import annotations

import hashlib

import pydantic

from fuchsiacourse import errors
from fuchsiacourse import service_file

KEY = "manifest"
VERSION_DIGITS = 16
# The first field of a difference, which a whole manifest does not have.
_DELTA_START = b'{"base":'


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ServiceVersion(_Part):
    """Version of one service's body."""

    version: str
    digest: str


class Manifest(_Part):
    """A configuration: its number and the version of each service."""

    number: int = pydantic.Field(ge=0)
    publish_id: str
    services: dict[str, ServiceVersion]

    def encode(self) -> bytes:
        """Returns the JSON text, the same for equal manifests."""
        ordered = self.model_copy(
            update={"services": dict(sorted(self.services.items()))}
        )
        return ordered.model_dump_json().encode()

    def changed_from(self, base: Manifest) -> list[str]:
        """Returns the services that are new or differ from a base."""
        return sorted(
            name
            for name, held in self.services.items()
            if base.services.get(name) != held
        )

    def removed_from(self, base: Manifest) -> list[str]:
        """Returns the services of a base that are gone."""
        return sorted(base.services.keys() - self.services.keys())


class ManifestDelta(_Part):
    """Difference of a manifest to the one with the number ``base``."""

    base: int
    number: int
    publish_id: str
    changed: dict[str, ServiceVersion]
    removed: list[str]
    digest: str

    def apply(self, base: Manifest) -> Manifest:
        """Returns the manifest that the difference leads to.

        Raises:
            ServiceFileError: The base is another one.
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
                f"manifest {self.number}: the difference does not fit"
                f" manifest {base.number}"
            )
        return result


EMPTY = Manifest(number=0, publish_id="", services={})


def digest(content: bytes) -> str:
    """Returns the SHA-256 digest in hexadecimal digits."""
    return hashlib.sha256(content).hexdigest()


def version_of(body: bytes) -> ServiceVersion:
    """Returns the version of a body; it follows from the content alone.

    Equal bodies get equal versions, so that writing one twice, after a
    lost reply or by two operators, has no further effect.
    """
    full = digest(body)
    return ServiceVersion(version=full[:VERSION_DIGITS], digest=full)


def body_key(name: str, version: str) -> str:
    """Returns the key of a service's body."""
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
    """Parses a manifest or a difference to a base.

    Raises:
        ServiceFileError: The content is wrong or fits another base.
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
            f"{body_key(name, held.version)}: the body has another digest"
        )


def _decode(model, content: bytes, source: str):
    try:
        return model.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.ServiceFileError(
            service_file.describe(error, source=source)
        ) from error
