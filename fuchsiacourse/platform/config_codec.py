"""Decodes the operator's configuration of the platform."""

from __future__ import annotations

import json
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import route_table

KEY = "config/main"
PREFIX = "config/"
_VERSION_MARK = "r"
_IDEMPOTENT = "safe"
_DEFAULT_MAX_TARGETS = 1


def decode(value: bytes) -> route_table.RouteTable:
    """Returns the configuration of a stored object.

    Args:
        value: JSON of the object's ``spec`` and ``status``.

    Raises:
        ConfigRejected: The content is not a configuration.
    """
    try:
        content = json.loads(value)["spec"]
        return _table(content)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.ConfigRejected(f"not a configuration: {error!r}") from (
            error
        )


def _table(content: dict[str, typing.Any]) -> route_table.RouteTable:
    limits = content["limits"]
    return route_table.RouteTable(
        version=int(content["version"].removeprefix(_VERSION_MARK)),
        routes=[
            _route(entry["host"], item)
            for entry in content["hosts"]
            for item in entry["paths"]
        ],
        limits=route_table.CallerLimits(
            max_head_bytes=int(limits["max_header_bytes"]),
            max_body_bytes=int(limits["max_body_bytes"]),
            # Counts until the request has been read whole.
            head_timeout_s=limits["header_timeout_ms"] / 1000.0,
            idle_timeout_s=limits["idle_timeout_ms"] / 1000.0,
        ),
        connection_caps_by_service={
            item["name"]: int(item["max_connections"])
            for item in content["services"]
        },
    )


def _route(host: str, item: dict[str, typing.Any]) -> routes.Route:
    split = item.get("traffic_split")
    if split:
        weights = {
            part["service"]: float(part["weight"])
            for part in split
            if part["weight"] > 0
        }
    else:
        weights = {item["service"]: 1.0}
    return routes.Route(
        name=item["name"],
        host=host.lower(),
        path_prefix=item["path_prefix"],
        is_idempotent=item["kind"] == _IDEMPOTENT,
        timeout_s=item["timeout_ms"] / 1000.0,
        # Not a bound: the time within which an answer is worth most.
        objective_s=item.get("target_latency_ms", item["timeout_ms"]) / 1000.0,
        # Counts the targets tried, the first one included.
        max_targets=int(item.get("max_attempts", _DEFAULT_MAX_TARGETS)),
        priority=int(item.get("priority", 0)),
        weights_by_service=weights,
    )
