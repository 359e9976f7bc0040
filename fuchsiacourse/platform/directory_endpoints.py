"""HTTP endpoints for front addresses and for the readiness of a front."""

from __future__ import annotations

import json
import urllib.parse

from fuchsiacourse.front import directory
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request

_RESOLVE_PATH = "/fuchsiacourse/resolve"
_READY_PATH = "/fuchsiacourse/ready"
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON: http_request.Headers = [(b"content-type", b"application/json")]


def resolve(
    request: http_request.HttpRequest, addresses: directory.Directory
) -> http_answer.HttpAnswer:
    """Returns the answer to a caller that asks for front addresses.

    Returns:
        200 with addresses and their lifetime, 404 for another path, or 503
        if no front is known.
    """
    if request.path != _RESOLVE_PATH:
        return http_answer.HttpAnswer(status=_NOT_FOUND, headers=[])
    query = urllib.parse.parse_qs(
        request.target.partition(b"?")[2].decode("latin-1")
    )
    answer = addresses.resolve(
        availability_zone=query.get("zone", [""])[0],
        region=query.get("region", [""])[0],
    )
    if not answer.addresses:
        return http_answer.HttpAnswer(status=_UNAVAILABLE, headers=[])
    body = {
        "addresses": [f"{ip}:{port}" for ip, port in answer.addresses],
        "ttl_s": answer.ttl_s,
    }
    return http_answer.HttpAnswer(
        status=_OK, headers=_JSON, body=json.dumps(body).encode()
    )


def ready(
    request: http_request.HttpRequest, is_ready: bool
) -> http_answer.HttpAnswer:
    """Returns the answer to a readiness probe.

    Returns:
        200 if the front is ready, 503 if not, or 404 for another path.
    """
    if request.path != _READY_PATH:
        status = _NOT_FOUND
    else:
        status = _OK if is_ready else _UNAVAILABLE
    return http_answer.HttpAnswer(status=status, headers=[])
