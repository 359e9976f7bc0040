"""Decodes the operator's configuration from the platform's JSON."""

from __future__ import annotations

import json
import math
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import route_table
from fuchsiacourse.platform import tolerant_json

KEY = "config/main"
PREFIX = "config/"
_VERSION_PREFIX = "r"
# Kind of a route whose requests may run more than once.
_IDEMPOTENT_KIND = "safe"
_DEFAULT_MAX_TARGETS = 1

Json = dict[str, typing.Any]


def decode(value: bytes) -> route_table.RouteTable:
    """Returns the configuration that a stored object holds.

    Routes and hosts that can't be read are listed as unreadable; the others
    stay in force.

    Args:
        value: JSON object with the stored object's ``spec``.

    Raises:
        ConfigRejected: The content is not a configuration.
    """
    try:
        content = json.loads(value)["spec"]
        return _route_table(content)
    except tolerant_json.DECODE_ERRORS as error:
        raise errors.ConfigRejected(f"not a configuration: {error!r}") from (
            error
        )


def _route_table(content: Json) -> route_table.RouteTable:
    found: list[routes.Route] = []
    unreadable_routes: list[route_table.UnreadableRoute] = []
    for entry in _list_of(content["hosts"]):
        _read_host(entry, found, unreadable_routes)
    return route_table.RouteTable(
        version=int(content["version"].removeprefix(_VERSION_PREFIX)),
        routes=found,
        limits=_limits(content.get("limits")),
        connection_limits_by_service=_connection_limits(
            content.get("services")
        ),
        unreadable_routes=tuple(unreadable_routes),
    )


def _list_of(value: typing.Any) -> list[typing.Any]:
    if not isinstance(value, list):
        raise TypeError(f"expected a list, got {value!r:.40}")
    return value


def _read_host(
    entry: typing.Any,
    found: list[routes.Route],
    unreadable_routes: list[route_table.UnreadableRoute],
) -> None:
    """Appends the routes of a host and its unreadable parts to the lists."""
    host = prefix = None
    try:
        host = http_request.host_name(entry["host"])
        for item in _list_of(entry["paths"]):
            prefix = None
            try:
                prefix = _string(item["path_prefix"])
                found.append(_route(host, item))
            except tolerant_json.DECODE_ERRORS as error:
                unreadable_routes.append(
                    _unreadable_route(host, prefix, error)
                )
    except tolerant_json.DECODE_ERRORS as error:
        unreadable_routes.append(_unreadable_route(host, None, error))


def _unreadable_route(
    host: str | None, prefix: str | None, error: Exception
) -> route_table.UnreadableRoute:
    return route_table.UnreadableRoute(
        host=host, path_prefix=prefix, reason=repr(error)
    )


def _limits(value: typing.Any) -> route_table.CallerLimits:
    limits = value if isinstance(value, dict) else {}
    head_bytes = _positive(limits.get("max_header_bytes"))
    body_bytes = _positive(limits.get("max_body_bytes"))
    head_ms = _positive(limits.get("header_timeout_ms"))
    idle_ms = _positive(limits.get("idle_timeout_ms"))
    return route_table.CallerLimits(
        max_head_bytes=None if head_bytes is None else int(head_bytes),
        max_body_bytes=None if body_bytes is None else int(body_bytes),
        # It covers the head only; idle_timeout_ms limits pauses in a body.
        head_timeout_s=None if head_ms is None else head_ms / 1000.0,
        idle_timeout_s=None if idle_ms is None else idle_ms / 1000.0,
    )


def _connection_limits(value: typing.Any) -> dict[str, int]:
    limits = {}
    for item in value if isinstance(value, list) else []:
        if isinstance(item, dict) and isinstance(item.get("name"), str):
            limit = _positive(item.get("max_connections"))
            if limit is not None:
                limits[item["name"]] = int(limit)
    return limits


def _positive(value: typing.Any) -> float | None:
    """Returns a number above 0, or None for any other value."""
    try:
        number = _number(value)
    except tolerant_json.DECODE_ERRORS:
        return None
    return number if number > 0.0 else None


def _number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        raise TypeError(f"expected a number, got {value!r:.40}")
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"expected a finite number, got {value!r:.40}")
    return number


def _string(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r:.40}")
    return value


def _route(host: str, item: Json) -> routes.Route:
    timeout_ms = _number(item["timeout_ms"])
    # The latency objective is not a timeout: it is the time within which an
    # answer has its full value.
    objective_ms = _number(item.get("target_latency_ms", timeout_ms))
    return routes.Route(
        name=str(item.get("name", item["path_prefix"])),
        host=host,
        path_prefix=item["path_prefix"],
        is_idempotent=item.get("kind") == _IDEMPOTENT_KIND,
        timeout_s=timeout_ms / 1000.0,
        objective_s=objective_ms / 1000.0,
        # ``max_attempts`` counts targets, the first one included.
        max_targets=int(
            _number(item.get("max_attempts", _DEFAULT_MAX_TARGETS))
        ),
        priority=int(_number(item.get("priority", 0))),
        weights_by_service=_weights(item),
    )


def _weights(item: Json) -> dict[str, float]:
    split = item.get("traffic_split")
    if not split:
        return {_string(item["service"]): 1.0}
    weights: dict[str, float] = {}
    for part in _list_of(split):
        service, weight = _string(part["service"]), _number(part["weight"])
        if weight < 0.0:
            raise ValueError(f"weight of {service} is {weight}, below 0")
        weights[service] = weights.get(service, 0.0) + weight
    weights = {name: value for name, value in weights.items() if value > 0.0}
    if not weights:
        raise ValueError("no service has a weight above 0")
    return weights
