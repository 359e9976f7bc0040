"""Defines the status object of a service and its stored form.

The status of the service's targets is shared through the platform.
"""

from __future__ import annotations

import collections.abc
import json
import math
import typing

from fuchsiacourse import errors

_PREFIX = "status/"
# Number of changes that are kept for operators.
MAX_HISTORY = 50
EJECTED = "ejected"
READMITTED = "readmitted"


def key(service: str) -> str:
    """Returns the key under which a service's status object is stored."""
    return _PREFIX + service


class Ejection:
    """Describes why and since when a target is ejected.

    Args:
        since: Unix time of the ejection in seconds.
        reason: Short name of the kind of evidence.
        evidence: Values that the decision is based on.
        by: Member that ejected the target.
        backoff_s: Seconds until the target may get canary requests.
        incarnation: Incarnation of the target that was ejected.
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


class StatusChange:
    """Describes a past ejection or re-admission, for operators only.

    Args:
        at: Unix time in seconds.
        target: Identifier of the target.
        change: EJECTED or READMITTED.
        reason: Short name of the reason.
        score: Score of the target at its ejection.
        threshold: Score at which a target is ejected.
        member: Member that made the change.
    """

    __slots__ = (
        "at",
        "target",
        "change",
        "reason",
        "score",
        "threshold",
        "member",
    )

    def __init__(
        self,
        *,
        at: float,
        target: str,
        change: str,
        reason: str,
        score: float,
        threshold: float,
        member: str,
    ) -> None:
        self.at = at
        self.target = target
        self.change = change
        self.reason = reason
        self.score = score
        self.threshold = threshold
        self.member = member

    def as_dict(self) -> dict[str, typing.Any]:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class ServiceStatus:
    """Holds the content of the object ``status/<service>``.

    Args:
        service: Name of the service.
        config_number: Highest number of a configuration that a writer had
            in force.
        ejected: Ejections by target.
        leaving: Incarnation of each target that is leaving.
        cold: Incarnation of each target that is cold or unknown.
        released: Identifier of the release of each target that was
            re-admitted and that some process may still treat as ejected.
        history: Newest changes, oldest first; no decision depends on them.
    """

    __slots__ = (
        "service",
        "config_number",
        "ejected",
        "leaving",
        "cold",
        "released",
        "history",
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
        history: collections.abc.Iterable[StatusChange] = (),
    ) -> None:
        self.service = service
        self.config_number = config_number
        self.ejected = dict(ejected or {})
        self.leaving = dict(leaving or {})
        self.cold = dict(cold or {})
        self.released = dict(released or {})
        self.history = list(history)[-MAX_HISTORY:]

    def copy(self) -> ServiceStatus:
        """Returns a copy whose maps can be changed."""
        return ServiceStatus(
            service=self.service,
            config_number=self.config_number,
            ejected=self.ejected,
            leaving=self.leaving,
            cold=self.cold,
            released=self.released,
            history=self.history,
        )

    def record(
        self,
        target: str,
        change: str,
        reason: str,
        *,
        at: float,
        evidence: dict[str, typing.Any],
        member: str,
    ) -> None:
        """Adds a change to the history, and drops the oldest if it is full.

        Args:
            target: Identifier of the target.
            change: EJECTED or READMITTED.
            reason: Short name of the reason.
            at: Unix time in seconds.
            evidence: Evidence of the ejection that begins or ends.
            member: Member that made the change.
        """
        item = StatusChange(
            at=at,
            target=target,
            change=change,
            reason=reason,
            score=_number(evidence.get("score")),
            threshold=_number(evidence.get("threshold")),
            member=member,
        )
        self.history = [*self.history, item][-MAX_HISTORY:]

    def encode(self, *, with_history: bool = True) -> bytes:
        """Returns the object as JSON.

        Args:
            with_history: Whether to include the history. If two texts
                without it are equal, no write is needed.
        """
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
        if with_history:
            content["history"] = [item.as_dict() for item in self.history]
        return json.dumps(content, sort_keys=True).encode()


def decode(value: bytes, *, service: str) -> ServiceStatus:
    """Parses a status object.

    Args:
        value: JSON text of the object.
        service: Service that the object must belong to.

    Raises:
        StoreError: The text is not a status object of this service.
    """
    try:
        content = json.loads(value)
        if content["service"] != service:
            raise ValueError(f"it belongs to service {content['service']}")
        return ServiceStatus(
            service=service,
            config_number=int(content["config_number"]),
            ejected={
                id: Ejection(**item) for id, item in content["ejected"].items()
            },
            leaving=content["leaving"],
            cold=content.get("cold", {}),
            released=content.get("released", {}),
            history=_parse_history(content.get("history")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreError(
            f"{key(service)}: not a status object: {error}"
        ) from error


def _parse_history(content: typing.Any) -> list[StatusChange]:
    # A malformed history must not make the ejections unreadable.
    if not isinstance(content, list):
        return []
    return [
        StatusChange(
            at=_number(item.get("at")),
            target=str(item.get("target", "")),
            change=str(item.get("change", "")),
            reason=str(item.get("reason", "")),
            score=_number(item.get("score")),
            threshold=_number(item.get("threshold")),
            member=str(item.get("member", "")),
        )
        for item in content
        if isinstance(item, dict)
    ]


def _number(value: typing.Any) -> float:
    try:
        number = float(value)
    except (OverflowError, TypeError, ValueError):
        return 0.0
    return number if math.isfinite(number) else 0.0
