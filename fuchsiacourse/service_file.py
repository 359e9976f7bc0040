"""Models of the service files, in which operators describe services."""

from __future__ import annotations

import collections
import enum
import functools
import pathlib
import typing
import zoneinfo

import pydantic
import pydantic.dataclasses

from fuchsiacourse import errors

_NAME_PATTERN = r"^[a-z][a-z0-9-]{0,62}$"
_ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
# For an unknown field of a dataclass, pydantic reports an unexpected keyword
# argument of a call. This is the text that it reports for models.
_REASONS_BY_TYPE = {
    "unexpected_keyword_argument": "Extra inputs are not permitted"
}
_Method = typing.Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

Name = typing.Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]
Address = typing.Annotated[str, pydantic.Field(pattern=_ADDRESS_PATTERN)]


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


# Each process holds every target and request kind of the fleet. Dataclasses
# with slots use about a third of the memory of pydantic models.
_frozen_dataclass = pydantic.dataclasses.dataclass(
    config=pydantic.ConfigDict(extra="forbid"),
    frozen=True,
    kw_only=True,
    slots=True,
)


class Length(enum.Enum):
    """How long requests of a kind hold a slot."""

    SHORT = "short"
    LONG = "long"


@_frozen_dataclass
class Target:
    """A back end of a service."""

    id: Name
    address: Address
    availability_zone: Name
    region: Name
    slots: int = pydantic.Field(
        ge=1, le=10_000, description="Requests that it runs at a time."
    )
    connection_limit: int = pydantic.Field(
        ge=1, le=100_000, description="Connections from the whole fleet."
    )


class AnswerChecks(_Part):
    """Conditions that a complete and correct answer meets."""

    content_type: str | None = pydantic.Field(
        default=None, description="Required media type."
    )
    json_fields: list[str] = pydantic.Field(
        default=[], description="Required top-level fields of a JSON body."
    )
    min_bytes: int = pydantic.Field(default=0, ge=0)


@_frozen_dataclass
class RequestKind:
    """A kind of request and how it is treated."""

    name: Name
    method: _Method
    path_prefix: str = pydantic.Field(
        pattern=r"^/[^?#\s]*$", description="Matched by whole path segments."
    )
    idempotent: bool
    worth: float = pydantic.Field(
        gt=0, description="Value of a request that is answered in time."
    )
    deadline_ms: int = pydantic.Field(ge=1, le=3_600_000)
    length: Length
    expected_ms: int = pydantic.Field(
        default=50, ge=1, description="Usual run time at a target."
    )
    answer_checks: AnswerChecks = AnswerChecks()

    @property
    def route(self) -> tuple[str, str]:
        """Method and normalised path prefix."""
        return self.method, self.path_prefix.rstrip("/") or "/"

    @property
    def is_short(self) -> bool:
        """Whether the kind is short.

        The setting short_slot_share keeps slots free of long requests.
        """
        return self.length is Length.SHORT


class AccountLimit(_Part):
    """Request rate granted to one account."""

    rate_per_s: float = pydantic.Field(gt=0)
    burst: int = pydantic.Field(ge=1)


class AccountLimits(_Part):
    """Request rates of callers' accounts."""

    default: AccountLimit | None = None
    by_account: dict[str, AccountLimit] = {}


class Objective(_Part):
    """Service-level objective of one request kind."""

    kind: Name
    within_ms: int = pydantic.Field(ge=1)
    ratio: float = pydantic.Field(gt=0, lt=1)


class ServiceFile(_Part):
    """Description of one service by its operators."""

    service: Name
    time_zone: str = "UTC"
    targets: list[Target] = pydantic.Field(min_length=1)
    floor_slots: int = pydantic.Field(
        ge=0, description="Healthy slots that ejections must leave in use."
    )
    kinds: list[RequestKind] = pydantic.Field(min_length=1)
    account_limits: AccountLimits = AccountLimits()
    objectives: list[Objective] = []
    shed_statuses: list[int] = pydantic.Field(
        default=[503],
        description="Statuses that say the target has not run the request.",
    )
    probe_path: str = pydantic.Field(default="/health", pattern=r"^/")

    @pydantic.field_validator("time_zone")
    @classmethod
    def _validate_time_zone(cls, value: str) -> str:
        try:
            zoneinfo.ZoneInfo(value)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError):
            raise ValueError(f"unknown time zone {value}") from None
        return value

    @pydantic.model_validator(mode="after")
    def _validate_consistency(self) -> ServiceFile:
        _require_unique("target id", [item.id for item in self.targets])
        _require_unique(
            "target address", [item.address for item in self.targets]
        )
        _require_unique("request kind", [item.name for item in self.kinds])
        _require_unique("route", [" ".join(item.route) for item in self.kinds])
        if self.floor_slots > self.total_slots:
            raise ValueError(
                f"floor_slots is {self.floor_slots}, above the"
                f" {self.total_slots} slots of all targets"
            )
        for objective in self.objectives:
            if objective.kind not in self.kinds_by_name:
                raise ValueError(
                    f"objective names unknown kind {objective.kind}"
                )
        return self

    @property
    def total_slots(self) -> int:
        """Slots of all targets together."""
        return sum(item.slots for item in self.targets)

    @functools.cached_property
    def kinds_by_name(self) -> dict[str, RequestKind]:
        """Request kinds by their name."""
        return {item.name: item for item in self.kinds}

    @functools.cached_property
    def targets_by_id(self) -> dict[str, Target]:
        """Targets by their identifier."""
        return {item.id: item for item in self.targets}

    @functools.cached_property
    def regions(self) -> tuple[str, ...]:
        """Regions that hold targets, sorted."""
        return tuple(sorted({item.region for item in self.targets}))


def _require_unique(what: str, values: list[str]) -> None:
    for value, count in collections.Counter(values).items():
        if count > 1:
            raise ValueError(f"duplicate {what} {value}")


def parse(content: bytes, *, source: str) -> ServiceFile:
    """Parses and validates the text of a service file.

    Args:
        content: JSON text.
        source: File name or key that error messages start with.

    Raises:
        ServiceFileError: Names the file, each wrong field and the reason.
    """
    try:
        return ServiceFile.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.ServiceFileError(
            describe(error, source=source)
        ) from error


def load(path: pathlib.Path) -> ServiceFile:
    """Reads and validates a service file.

    Raises:
        ServiceFileError: The file can't be read or is invalid.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.ServiceFileError(f"{path}: {error.strerror}") from error
    return parse(content, source=str(path))


def describe(error: pydantic.ValidationError, *, source: str) -> str:
    """Returns one line for each invalid field: source, field and reason."""
    lines = []
    for item in error.errors():
        location = ".".join(str(part) for part in item["loc"]) or "(file)"
        reason = _REASONS_BY_TYPE.get(item["type"], item["msg"])
        lines.append(f"{source}: {location}: {reason}")
    return "\n".join(lines)
