"""Checks that an answer is complete, valid and belongs to the request."""

from __future__ import annotations

import json

from fuchsiacourse import service_file
from fuchsiacourse import target_client
from fuchsiacourse import target_row

_FIRST_ERROR_STATUS = 500
_FIRST_SUCCESS_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
_BODYLESS_STATUSES = (204, 304)


def classify(
    answer: target_client.TargetAnswer,
    *,
    request_id: str,
    kind: service_file.RequestKind,
    shed_statuses: list[int],
) -> tuple[target_row.Outcome, str]:
    """Returns the outcome of an attempt with this answer.

    Args:
        answer: The answer.
        request_id: Identifier of the request.
        kind: Kind of the request.
        shed_statuses: Statuses with which targets shed requests.

    Returns:
        The outcome, and the reason if the answer is unusable, else "".
    """
    reason = _transfer_problem(answer, request_id, kind)
    if reason:
        return target_row.Outcome.BAD_ANSWER, reason
    if answer.status in shed_statuses:
        return target_row.Outcome.SHED, ""
    if answer.status >= _FIRST_ERROR_STATUS:
        return target_row.Outcome.ERROR_STATUS, ""
    # The checks of the service file apply to successful answers only.
    if _FIRST_SUCCESS_STATUS <= answer.status < _FIRST_REDIRECT_STATUS:
        reason = _content_problem(answer, kind)
        if reason:
            return target_row.Outcome.BAD_ANSWER, reason
    return target_row.Outcome.OK, ""


def is_whole(
    answer: target_client.TargetAnswer,
    *,
    request_id: str,
    kind: service_file.RequestKind,
) -> bool:
    """Returns whether an answer is complete and belongs to the request.

    Args:
        answer: The answer.
        request_id: Identifier of the request.
        kind: Kind of the request.
    """
    return not _transfer_problem(answer, request_id, kind)


def _transfer_problem(
    answer: target_client.TargetAnswer,
    request_id: str,
    kind: service_file.RequestKind,
) -> str:
    if answer.request_id != request_id:
        return f"answer names request {answer.request_id or '(none)'}"
    length = answer.header("Content-Length")
    if kind.method == "HEAD" or answer.status in _BODYLESS_STATUSES:
        return ""
    if length and (not length.isdecimal() or int(length) != len(answer.body)):
        return f"{len(answer.body)} bytes of body, Content-Length {length}"
    return ""


def _content_problem(
    answer: target_client.TargetAnswer, kind: service_file.RequestKind
) -> str:
    checks = kind.answer_checks
    if kind.method == "HEAD" or answer.status in _BODYLESS_STATUSES:
        return ""
    if len(answer.body) < checks.min_bytes:
        return f"{len(answer.body)} bytes of body, minimum {checks.min_bytes}"
    if checks.content_type is not None:
        media_type = answer.header("Content-Type").partition(";")[0].strip()
        if media_type.lower() != checks.content_type.lower():
            return f"Content-Type is {media_type or '(none)'}"
    if checks.json_fields:
        return _json_problem(answer.body, checks.json_fields)
    return ""


def _json_problem(body: bytes, fields: list[str]) -> str:
    try:
        content = json.loads(body)
    except ValueError:
        return "body is not JSON"
    if not isinstance(content, dict):
        return "body is not a JSON object"
    missing = [name for name in fields if name not in content]
    return f"body lacks fields {', '.join(missing)}" if missing else ""
