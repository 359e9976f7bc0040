"""Status of a service's targets, shared through the platform."""

from __future__ import annotations

import json
import typing

from fuchsiacourse import errors

_PREFIX = "status/"


def key(service: str) -> str:
    """Returns the key of a service's status object."""
    return _PREFIX + service


class Ejection:
    """Why and since when a target receives no ordinary work.

    Args:
        since: Unix time of the ejection in seconds.
        reason: Short name of the kind of evidence.
        evidence: Figures behind the decision.
        by: Member that decided.
        backoff_s: Seconds before canary requests.
        incarnation: Process of the target that was ejected.
    """

    __slots__ = (
        "since",
        "reason",
        "evidence",
        "by",
        "backoff_s",
        "incarnation",
    )

    def __init__(
        self,
        *,
        since: float,
        reason: str,
        evidence: dict[str, typing.Any],
        by: str,
        backoff_s: float,
        incarnation: str = "",
    ) -> None:
        self.since = since
        self.reason = reason
        self.evidence = evidence
        self.by = by
        self.backoff_s = backoff_s
        self.incarnation = incarnation


class ServiceStatus:
    """Content of the object ``status/<service>``.

    Args:
        service: Name of the service.
        config_number: Highest configuration that a writer had in force.
        ejected: Ejections by target.
        leaving: Incarnation of each target that is leaving.
        cold: Incarnation of each target that is cold or unknown.
        released: Identifier of the release of each target that was ejected
            before and that some process may still treat as ejected.
    """

    __slots__ = (
        "service",
        "config_number",
        "ejected",
        "leaving",
        "cold",
        "released",
    )

    def __init__(
        self,
        *,
        service: str,
        config_number: int = 0,
        ejected: dict[str, Ejection] | None = None,
        leaving: dict[str, str] | None = None,
        cold: dict[str, str] | None = None,
        released: dict[str, str] | None = None,
    ) -> None:
        self.service = service
        self.config_number = config_number
        self.ejected = dict(ejected or {})
        self.leaving = dict(leaving or {})
        self.cold = dict(cold or {})
        self.released = dict(released or {})

    def copy(self) -> ServiceStatus:
        """Returns a copy whose maps can be changed."""
        return ServiceStatus(
            service=self.service,
            config_number=self.config_number,
            ejected=self.ejected,
            leaving=self.leaving,
            cold=self.cold,
            released=self.released,
        )

    def encode(self) -> bytes:
        """Returns the JSON text of the object."""
        content = {
            "service": self.service,
            "config_number": self.config_number,
            "ejected": {
                id: {name: getattr(item, name) for name in Ejection.__slots__}
                for id, item in self.ejected.items()
            },
            "leaving": self.leaving,
            "cold": self.cold,
            "released": self.released,
        }
        return json.dumps(content, sort_keys=True).encode()


def decode(value: bytes, *, service: str) -> ServiceStatus:
    """Parses the JSON text of a status object.

    Args:
        value: Content of the object.
        service: Service that the object must belong to.

    Raises:
        StoreError: The content is not a status of this service.
    """
    try:
        content = json.loads(value)
        if content["service"] != service:
            raise ValueError(f"it belongs to {content['service']}")
        return ServiceStatus(
            service=service,
            config_number=int(content["config_number"]),
            ejected={
                id: Ejection(**item) for id, item in content["ejected"].items()
            },
            leaving=content["leaving"],
            cold=content.get("cold", {}),
            released=content.get("released", {}),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreError(
            f"{key(service)}: not a status object: {error}"
        ) from error
