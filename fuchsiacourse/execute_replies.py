"""Creates the replies of dispatch to Execute calls."""

from __future__ import annotations

import enum

from fuchsiacourse import body_digest
from fuchsiacourse import fleet_pb2
from fuchsiacourse import target_client
from fuchsiacourse import verdict as verdicts

# Hop-by-hop headers, and headers that the target sends to dispatch only.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "request-id",
        "target-state",
        "target-incarnation",
    }
)


class Refusal(enum.Enum):
    """Reason for which a request ends without an answer of a target."""

    NOT_OWNER = "not_owner"
    DRAINING = "draining"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"
    WITHDRAWN = "withdrawn"
    UNKNOWN_SERVICE = "unknown_service"
    # An attempt was started and ended without a usable answer.
    TARGET_FAILED = "target_failed"
    # The request is already known; its first Execute call gets the outcome.
    DUPLICATE = "duplicate"


_STATUS_BY_REFUSAL = {
    Refusal.NOT_OWNER: 421,
    Refusal.DRAINING: 503,
    Refusal.OVERLOAD: 503,
    Refusal.DEADLINE: 504,
    Refusal.NO_TARGET: 503,
    Refusal.QUARANTINED: 422,
    Refusal.WITHDRAWN: 409,
    Refusal.UNKNOWN_SERVICE: 404,
    Refusal.TARGET_FAILED: 502,
    Refusal.DUPLICATE: 409,
}

_WIRE_BY_VERDICT = {
    verdicts.Verdict.NOT_RUN: fleet_pb2.NOT_RUN,
    verdicts.Verdict.RAN: fleet_pb2.RAN,
    verdicts.Verdict.MAY_HAVE_RUN: fleet_pb2.MAY_HAVE_RUN,
}


def refused(
    request_id: str,
    refusal: Refusal,
    *,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    retry_after_s: float = 0.0,
    owner: str = "",
    queue_s: float = 0.0,
) -> fleet_pb2.ExecuteReply:
    """Returns the reply to a request that gets no answer of a target.

    Args:
        request_id: Identifier of the request.
        refusal: Reason.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which the entry may retry.
        owner: Address of the shard's owner.
        queue_s: Seconds for which the queue keeps the slots busy.
    """
    return fleet_pb2.ExecuteReply(
        request_id=request_id,
        verdict=_WIRE_BY_VERDICT[verdict],
        refusal=refusal.value,
        status=_STATUS_BY_REFUSAL[refusal],
        retry_after_ms=_milliseconds(retry_after_s),
        owner=owner,
        queue_ms=_milliseconds(queue_s),
    )


def answered(
    request_id: str,
    answer: target_client.TargetAnswer,
    *,
    target_id: str,
    owner: str,
    queue_s: float,
) -> fleet_pb2.ExecuteReply:
    """Returns the reply that carries a target's answer.

    Args:
        request_id: Identifier of the request.
        answer: The answer.
        target_id: Target that gave it.
        owner: Address of the shard's owner.
        queue_s: Seconds for which the queue keeps the slots busy.
    """
    return fleet_pb2.ExecuteReply(
        request_id=request_id,
        verdict=fleet_pb2.RAN,
        status=answer.status,
        headers=[
            fleet_pb2.Header(name=name, value=value)
            for name, value in answer.headers
            if name.lower() not in _HOP_HEADERS
        ],
        body=answer.body,
        body_digest=body_digest.digest(answer.body),
        owner=owner,
        target_id=target_id,
        queue_ms=_milliseconds(queue_s),
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
