"""Models of the programs' settings, loaded from JSON files."""

from __future__ import annotations

import pathlib
import typing

import pydantic

from fuchsiacourse import errors
from fuchsiacourse import service_file

Address = service_file.Address
Name = service_file.Name


class _Settings(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(_Settings):
    """How to reach the platform's object API."""

    url: str = pydantic.Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d+$")
    timeout_s: float = pydantic.Field(default=2.0, gt=0)


class NodeSettings(_Settings):
    """Settings that entry and dispatch share."""

    host: str = pydantic.Field(description="IP address of the host.")
    availability_zone: Name
    region: Name
    gossip_address: Address
    rpc_address: Address
    status_address: Address = pydantic.Field(
        description="Serves /metrics, /healthz and /readyz."
    )
    seeds: list[Address] = pydantic.Field(
        default=[], description="Gossip addresses of some other members."
    )
    deployment_key: str = pydantic.Field(
        min_length=16, description="Shared secret of gossip packets."
    )
    platform: PlatformSettings


class EntrySettings(NodeSettings):
    """Settings of the entry program."""

    program: typing.Literal["entry"]
    http_address: Address
    address_list_ttl_s: float = pydantic.Field(default=5.0, gt=0)
    entries_per_account: int = pydantic.Field(default=3, ge=1)
    key_block_size: int = pydantic.Field(default=64, ge=1, le=10_000)
    key_block_lifetime_s: float = pydantic.Field(default=900.0, gt=0)
    ledger_max_records: int = pydantic.Field(default=100_000, ge=1)
    ledger_max_bytes: int = pydantic.Field(default=32_000_000, ge=1)
    ledger_max_answer_bytes: int = pydantic.Field(default=262_144, ge=1)
    claim_writes_per_s: float = pydantic.Field(default=2.0, gt=0)
    claim_lifetime_s: float = pydantic.Field(default=86_400.0, gt=0)
    max_body_bytes: int = pydantic.Field(default=1_048_576, ge=1)
    max_header_bytes: int = pydantic.Field(default=16_384, ge=256)
    body_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    spill_bytes_per_s: float = pydantic.Field(
        default=30_000.0,
        ge=0,
        description="Share of the region link for requests to other regions.",
    )
    drain_max_s: float = pydantic.Field(default=120.0, gt=0)
    second_signal: typing.Literal["ignore", "stop"] = "ignore"


class DispatchSettings(NodeSettings):
    """Settings of the dispatch program."""

    program: typing.Literal["dispatch"]
    queue_max_requests: int = pydantic.Field(default=10_000, ge=1)
    short_slot_share: float = pydantic.Field(
        default=0.0,
        ge=0,
        lt=1,
        description="Share of the slots that long requests can't take.",
    )
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    hedge_share: float = pydantic.Field(default=0.05, ge=0, le=1)
    false_ejections_per_target_s: float = pydantic.Field(
        default=1e-6,
        gt=0,
        lt=1,
        description="Bound on ejections of healthy targets per target-second.",
    )
    probe_interval_s: float = pydantic.Field(default=1.0, gt=0)
    drain_max_s: float = pydantic.Field(default=120.0, gt=0)
    second_signal: typing.Literal["ignore", "stop"] = "ignore"


class OperatorSettings(_Settings):
    """Settings of the operators' programs publish, ctl and report."""

    program: typing.Literal["operator"]
    platform: PlatformSettings
    operator: str = pydantic.Field(
        min_length=1, description="Name that a publish is recorded under."
    )


class HostSettings(_Settings):
    """A host that the platform stub lists from its start."""

    host: str = pydantic.Field(description="IP address of the host.")
    availability_zone: Name
    region: Name
    leaving: bool = False
    address: str = ""


class PlatformStubSettings(_Settings):
    """Settings of the stub of the platform."""

    program: typing.Literal["platform-stub"]
    http_address: Address
    writes_per_s: float = pydantic.Field(default=300.0, ge=1)
    reads_per_s: float = pydantic.Field(default=2_000.0, ge=1)
    host_lag_s: float = pydantic.Field(default=2.0, ge=0)
    hosts: list[HostSettings] = []


Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Loads and validates settings from a JSON file.

    Args:
        path: File to read.
        model: Settings class of the program.

    Raises:
        SettingsError: Names the file, each wrong field and the reason.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    try:
        return model.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            service_file.describe(error, source=str(path))
        ) from error
