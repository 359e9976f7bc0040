"""Conversion of refusals to problem details (RFC 9457)."""

from __future__ import annotations

import json
import math
import re
import typing

from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import key_blocks
from fuchsiacourse import verdict as verdicts

CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:fuchsiacourse:problem:"


def body(
    error: errors.RequestRefused, *, keys: key_blocks.IssuedBlock | None = None
) -> bytes:
    """Returns the JSON body for a refusal.

    Args:
        error: The refusal.
        keys: Block of new keys to offer; by default none.
    """
    name = re.sub(r"[^a-z0-9]+", "-", error.title.lower()).strip("-")
    content: dict[str, typing.Any] = {
        "type": _TYPE_PREFIX + name,
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
        "verdict": error.verdict.value,
    }
    if error.issuer:
        content["issuer"] = error.issuer
    if keys is not None:
        content["keys"] = keys.as_json()
    return json.dumps(content).encode()


def copy_refusal(
    error: errors.RequestRefused, *, verdict: verdicts.Verdict | None = None
) -> errors.RequestRefused:
    """Returns a copy of a refusal, to be raised for another caller.

    Args:
        error: The refusal.
        verdict: Verdict of the copy; by default the same.
    """
    return errors.RequestRefused(
        verdict=error.verdict if verdict is None else verdict,
        status=error.status,
        title=error.title,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
        issuer=error.issuer,
        offer_keys=error.offer_keys,
    )


def answer(
    error: errors.RequestRefused, *, keys: key_blocks.IssuedBlock | None = None
) -> caller_request.CallerAnswer:
    """Returns the answer to a caller whose request is refused.

    Args:
        error: The refusal.
        keys: Block of new keys to offer; by default none.
    """
    headers = [("content-type", CONTENT_TYPE)]
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append(("retry-after", str(seconds)))
    return caller_request.CallerAnswer(
        status=error.status,
        verdict=error.verdict,
        headers=headers,
        body=body(error, keys=keys),
        is_refusal=True,
    )
