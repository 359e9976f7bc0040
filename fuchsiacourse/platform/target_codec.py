"""Decodes targets' registrations from the platform's store."""

from __future__ import annotations

import json
import math
import re
import socket
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import target_registration
from fuchsiacourse.platform import tolerant_json

PREFIX = "servers/"
_READY = "ready"
_DRAINING = "draining"
# Largest values that are believed. A target has some slots, and the time of a
# start in milliseconds has 41 bits today.
_MAX_PORT = 65_535
_MAX_SLOTS = 1_000_000
_MAX_STARTED_MS = 2**53
_MAX_COLD_MS = 3_600_000.0
# Characters of an id that can be sent in a header.
_ID = re.compile(r"[!-~]+")


def decode(key: str, value: bytes) -> target_registration.TargetRegistration:
    """Returns the registration that a stored object holds.

    Args:
        key: Store key of the object.
        value: JSON object with the stored object's ``spec`` and ``status``.

    Raises:
        TargetRegistrationRejected: The object is not a registration of a
            target; other writers may use the prefix.
    """
    try:
        return _record(key.removeprefix(PREFIX), json.loads(value))
    except (*tolerant_json.DECODE_ERRORS, OSError) as error:
        # OSError is what a malformed IP address raises.
        raise errors.TargetRegistrationRejected(
            f"{key!r:.100}: {error!r:.200}"
        ) from error


def _record(
    id: str, content: dict[str, typing.Any]
) -> target_registration.TargetRegistration:
    spec = content["spec"]
    info = spec["info"]
    # The state is in the spec's status or, if that is missing, in the object's
    # own status.
    status = spec.get("status") or content["status"]
    state = _typed(status["state"], str)
    if state not in (_READY, _DRAINING):
        raise ValueError(f"unknown state of a target: {state}")
    if not _ID.fullmatch(id):
        raise ValueError("the id can't be sent in a header")
    cold_ms = _number(status.get("cold_remaining_ms", 0))
    return target_registration.TargetRegistration(
        id=id,
        service=_text(info["service"]),
        address=_address(_text(spec["address"])),
        availability_zone=_text(info["zone"]),
        slots=_integer(info["slots"], 1, _MAX_SLOTS),
        is_draining=state == _DRAINING,
        # A remaining time, not a point in time.
        remaining_cold_s=min(max(0.0, cold_ms), _MAX_COLD_MS) / 1000.0,
        started_ms=_integer(spec.get("born", 0), 0, _MAX_STARTED_MS),
    )


def _address(value: str) -> tuple[str, int]:
    ip, _, port = value.rpartition(":")
    socket.inet_pton(socket.AF_INET, ip)
    return ip, _integer(int(port), 1, _MAX_PORT)


def _integer(value: typing.Any, lowest: int, highest: int) -> int:
    number = _typed(value, int)
    if not lowest <= number <= highest:
        raise ValueError(f"number out of range {lowest} to {highest}")
    return number


def _text(value: typing.Any) -> str:
    """Returns a string, which half of a surrogate pair is not.

    Raises:
        ValueError: It can't be encoded.
        TypeError: It is no string.
    """
    _typed(value, str).encode()
    return value


def _typed(value: typing.Any, kind: type) -> typing.Any:
    if type(value) is not kind:
        raise TypeError(f"{value!r:.40} is not {kind.__name__}")
    return value


def _number(value: typing.Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{value!r:.40} is not a number")
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is not a finite number")
    return number
