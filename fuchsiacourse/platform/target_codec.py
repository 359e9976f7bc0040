"""Decodes targets' registrations from the platform's store."""

from __future__ import annotations

import json
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import target_registration

PREFIX = "servers/"
_READY = "ready"
_DRAINING = "draining"


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
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.TargetRegistrationRejected(f"{key}: {error!r}") from error


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
    ip, _, port = _typed(spec["address"], str).rpartition(":")
    return target_registration.TargetRegistration(
        id=id,
        service=_typed(info["service"], str),
        address=(ip, int(port)),
        availability_zone=_typed(info["zone"], str),
        slots=_typed(info["slots"], int),
        is_draining=state == _DRAINING,
        # A remaining time, not a point in time.
        remaining_cold_s=_number(status.get("cold_remaining_ms", 0)) / 1000.0,
        started_ms=_typed(spec.get("born", 0), int),
    )


def _typed(value: typing.Any, kind: type) -> typing.Any:
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not {kind.__name__}")
    return value


def _number(value: typing.Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{value!r} is not a number")
    return float(value)
