"""Reads and writes the request and answer headers of the platform."""

from __future__ import annotations

import math

from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import wire_protocol

_REQUEST_ID = b"x-fuchsiacourse-request-id"
# Time for which the sender still waits, in milliseconds; not a point in time.
_DEADLINE = b"x-fuchsiacourse-request-deadline"
_SIGNATURE = b"x-fuchsiacourse-response-signature"
_EXPECTED_TARGET = b"x-fuchsiacourse-expected-instance"
_LOAD = b"x-fuchsiacourse-server-load"
# Requests per second that a target takes from all fronts together. Unlike the
# other headers of the platform it has no prefix.
_RATE_LIMIT = b"server-limit"
# Stated by a target in all its answers from the moment at which it decides to
# stop. It has no prefix either.
_LEAVING = b"server-leaving"
_NOT_RUN = b"x-fuchsiacourse-not-executed"
_RETRY_AFTER = b"retry-after"
_KEEP_ALIVE = b"keep-alive"
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MIN_DEADLINE_MS = 1
# Headers that only the front may set in a request to a target.
_FRONT_ONLY = frozenset(
    (_DEADLINE, _EXPECTED_TARGET, b"content-length", b"expect")
)


class WireHeaders(wire_protocol.WireProtocol):
    """Implements the wire protocol with the platform's headers."""

    __slots__ = ()

    def request_fields(
        self, request: http_request.HttpRequest
    ) -> wire_protocol.RequestFields:
        """Returns the id and the deadline of a caller's request."""
        request_id = request.header(_REQUEST_ID) or b""
        return wire_protocol.RequestFields(
            request_id=request_id.decode("latin-1"),
            timeout_s=_timeout_s(request.header(_DEADLINE)),
        )

    def target_headers(
        self,
        request: http_request.HttpRequest,
        *,
        target_id: str,
        left_s: float,
    ) -> http_request.Headers:
        """Returns the end-to-end headers of a request to a target."""
        headers = [
            item
            for item in http_answer.end_to_end(request.headers)
            if item[0] not in _FRONT_ONLY
        ]
        left_ms = max(_MIN_DEADLINE_MS, int(left_s * 1000.0))
        headers.append((_DEADLINE, b"%d" % left_ms))
        headers.append((_EXPECTED_TARGET, target_id.encode("latin-1")))
        return headers

    def answer_fields(
        self, answer: http_answer.HttpAnswer
    ) -> wire_protocol.AnswerFields:
        """Returns the values from the headers of an answer."""
        is_misdirected = answer.status == _MISDIRECTED
        request_id = answer.header(_REQUEST_ID) or b""
        return wire_protocol.AnswerFields(
            request_id=request_id.decode("latin-1"),
            is_signed=answer.header(_SIGNATURE) is not None,
            is_not_run=is_misdirected or answer.header(_NOT_RUN) is not None,
            is_misdirected=is_misdirected,
            load=_load(answer.header(_LOAD)),
            rate_limit=_non_negative(answer.header(_RATE_LIMIT)),
            idle_s=_keep_alive_s(answer.header(_KEEP_ALIVE)),
            is_leaving=answer.header(_LEAVING) == b"1",
            retry_after_s=_retry_after_s(answer),
        )

    def local_answer_headers(
        self, *, request_id: str, retry_after_s: float | None
    ) -> http_request.Headers:
        """Returns the headers of an answer that the front itself makes."""
        headers: http_request.Headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((_REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((_RETRY_AFTER, _rounded_up(retry_after_s)))
        return headers


def wish_headers(
    *, is_leaving: bool, retry_after_s: float | None
) -> http_request.Headers:
    """Returns the headers by which a target states its wishes.

    Args:
        is_leaving: Whether it wants nothing new because it stops.
        retry_after_s: Time for which it wants nothing, in seconds, None if it
            states none.
    """
    headers: http_request.Headers = []
    if is_leaving:
        headers.append((_LEAVING, b"1"))
    if retry_after_s is not None:
        headers.append((_RETRY_AFTER, b"%.2f" % retry_after_s))
    return headers


def _rounded_up(time_s: float) -> bytes:
    # A caller that returns before the time would be refused once more. The
    # inner rounding removes errors of the representation.
    return b"%.2f" % (math.ceil(round(time_s * 100.0, 6)) / 100.0)


def _timeout_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000.0)
    except ValueError:
        return None


def _load(value: bytes | None) -> wire_protocol.LoadReport | None:
    # The header holds three numbers: running requests, waiting ones, slots.
    if value is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return wire_protocol.LoadReport(
        running=running, waiting=waiting, slots=slots
    )


def _non_negative(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _retry_after_s(answer: http_answer.HttpAnswer) -> float | None:
    # Only a 503 turns away whatever comes; other statuses concern a request.
    value = answer.header(_RETRY_AFTER)
    if value is None or answer.status != _UNAVAILABLE:
        return None
    return _non_negative(value)


def _keep_alive_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
