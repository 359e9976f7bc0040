"""Reads the settings file that the platform writes on each host."""

from __future__ import annotations

import os
import pathlib

from fuchsiacourse import errors
from fuchsiacourse.front import front_settings

PATH_VARIABLE = "FUCHSIACOURSE_CONFIG"
# Environment variable with the port for metrics, which the deploy file sets.
# Without it no metrics are served.
METRICS_VARIABLE = "METRICS_PORT"

# Heartbeats of a target that the store waits for before it removes the
# target's registration.
_LIFETIME_HEARTBEATS = 3.0

Fields = dict[str, str]


def load(path: pathlib.Path) -> front_settings.FrontSettings:
    """Returns the settings of a file and the environment's metrics port.

    Args:
        path: File with a line ``name=value`` for each field.

    Raises:
        SettingsError: The file can't be read, or a field is missing or
            invalid; names the file, and the missing field or invalid value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    return parse(
        text,
        source=str(path),
        metrics_port=os.environ.get(METRICS_VARIABLE, ""),
    )


def parse(
    text: str, *, source: str, metrics_port: str = ""
) -> front_settings.FrontSettings:
    """Returns the settings that a text holds.

    Args:
        text: Lines ``name=value``; unknown names are ignored.
        source: Name of the text in error messages.
        metrics_port: Port for metrics, empty for none.

    Raises:
        SettingsError: A field is missing or invalid; names the source, and
            the missing field or invalid value.
    """
    fields: Fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    try:
        return _settings(fields, metrics_port)
    except KeyError as error:
        raise errors.SettingsError(
            f"{source}: field {error.args[0]} is missing"
        ) from error
    except ValueError as error:
        raise errors.SettingsError(f"{source}: {error}") from error


def _settings(
    fields: Fields, metrics_port: str
) -> front_settings.FrontSettings:
    ip = fields["self.ip"]
    zones = "network.zones."
    return front_settings.FrontSettings(
        name=fields["self.node"],
        ip=ip,
        availability_zone=fields["self.zone"],
        region=fields["self.region"],
        regions_by_zone={
            name.removeprefix(zones): value
            for name, value in fields.items()
            if name.startswith(zones)
        },
        front_address=_address(fields["network.listen.front"]),
        ready_address=_address(fields["network.listen.ready"]),
        directory_address=_optional(fields, "network.listen.directory"),
        control_address=_optional(fields, "network.listen.control"),
        # The first of the ports that are free for traffic between hosts.
        peer_port=int(fields["network.internal_ports"].partition(",")[0]),
        metrics_address=(ip, int(metrics_port)) if metrics_port else None,
        seeds=tuple(
            _address(item)
            for item in fields.get("network.seeds", "").split(",")
            if item
        ),
        store_address=_address(fields["platform.platform.address"]),
        cores=float(fields.get("self.limits.cpu_share", "1"))
        * float(fields.get("self.limits.cores", "1")),
        link_mbps=float(fields.get("self.limits.link_mbps", "100")),
        is_first_start=fields.get("self.bootstrap") == "true",
        registration_lifetime_s=_LIFETIME_HEARTBEATS
        * float(fields.get("platform.heartbeat_ms", "1500"))
        / 1000.0,
        bounds=_bounds(fields),
    )


def _bounds(fields: Fields) -> front_settings.Bounds:
    def number(name: str, default: float) -> float:
        return float(fields.get(f"terms.bounds.{name}", default))

    return front_settings.Bounds(
        # Times are in seconds; only names that end in _ms are in milliseconds.
        stop_s=number("grace_s", 6.0),
        drain_s=number("drain_ms", 2000.0) / 1000.0,
        retry_share=number("retry_budget_ratio", 0.2),
        retry_extra=number("retry_budget_extra", 50.0),
        retry_window_s=number("budget_window_s", 10.0),
        max_address_ttl_s=number("ttl_max_s", 5.0),
        floor_share=number("floor_share", 0.7),
    )


def _optional(fields: Fields, name: str) -> front_settings.Address | None:
    value = fields.get(name)
    return _address(value) if value else None


def _address(value: str) -> front_settings.Address:
    ip, _, port = value.rpartition(":")
    if not ip:
        raise ValueError(f"{value!r} is not an address of the form ip:port")
    return ip, int(port)
