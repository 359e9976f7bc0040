"""Log events about single requests at the entry and at dispatch."""

from __future__ import annotations

import typing

from fuchsiacourse import dispatch_call as dispatch_calls
from fuchsiacourse import errors
from fuchsiacourse import execution as executions
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import request_row
from fuchsiacourse import target_row

# Service label of requests whose service is not in the configuration. The
# names that they state would make the number of label values unbounded.
UNKNOWN_SERVICE = "unknown"


def dispatch_refused(
    log: typing.Any,
    request: fleet_pb2.ExecuteRequest,
    reply: fleet_pb2.ExecuteReply,
    *,
    is_known: bool,
) -> None:
    """Logs that dispatch refused a request.

    Args:
        log: Logger.
        request: The request.
        reply: The reply with the refusal.
        is_known: Whether the service is in the configuration.
    """
    logs.event(
        log,
        "request_refused",
        service=request.service if is_known else UNKNOWN_SERVICE,
        reason=reply.refusal,
        kind=request.kind,
        queue_ms=reply.queue_ms,
    )


def entry_refused(
    log: typing.Any, service: str, error: errors.RequestRefused
) -> None:
    """Logs that the entry refused a request.

    Args:
        log: Logger.
        service: Name of the service; empty if no route matched.
        error: The refusal. Its status is logged as the reason, because its
            title may come from a peer.
    """
    logs.event(
        log,
        "request_refused",
        service=service or UNKNOWN_SERVICE,
        reason=str(error.status),
        title=error.title,
        verdict=error.verdict.value,
    )


def over_limit(
    log: typing.Any, service: str, account: str, wait_s: float
) -> None:
    """Logs that an account is over its limit.

    Args:
        log: Logger.
        service: Name of the service.
        account: Account of the caller.
        wait_s: Seconds until one more request is within the limit.
    """
    logs.event(
        log,
        "account_over_limit",
        service=service,
        account=account,
        wait_s=round(wait_s, 3),
    )


def hedged(
    log: typing.Any,
    service: str,
    row: request_row.RequestRow,
    target: target_row.TargetRow,
    now: float,
) -> None:
    """Logs that dispatch hedges a request.

    Args:
        log: Logger.
        service: Name of the service.
        row: The request.
        target: Target of the hedge.
        now: Monotonic time in seconds.
    """
    logs.event(
        log,
        "request_hedged",
        service=service,
        kind=row.kind.name,
        target=target.id,
        waited_s=round(now - row.arrived_s, 3),
    )


def retried(
    log: typing.Any,
    service: str,
    row: request_row.RequestRow,
    target: target_row.TargetRow,
    outcome: target_row.Outcome,
) -> None:
    """Logs that dispatch queues a request again after a failed attempt.

    Args:
        log: Logger.
        service: Name of the service.
        row: The request.
        target: Target of the failed attempt.
        outcome: Outcome of the failed attempt.
    """
    logs.event(
        log,
        "request_retried",
        service=service,
        reason=outcome.value,
        kind=row.kind.name,
        target=target.id,
        attempts=row.attempts_made,
    )


def resent(
    log: typing.Any,
    execution: executions.Execution,
    dispatch_call: dispatch_calls.DispatchCall,
    error: str,
) -> None:
    """Logs that the entry resends a request to another dispatch process.

    Args:
        log: Logger.
        execution: The request.
        dispatch_call: The call that failed.
        error: Description of the failure.
    """
    logs.event(
        log,
        "request_retried",
        service=execution.service,
        reason="dispatch_lost",
        dispatch=dispatch_call.address,
        error=error,
    )


def answer_lost(
    log: typing.Any,
    execution: executions.Execution,
    dispatch_call: dispatch_calls.DispatchCall,
    reason: str,
) -> None:
    """Logs that the entry can't determine whether a request has run.

    Args:
        log: Logger.
        execution: The request.
        dispatch_call: The call whose reply was lost.
        reason: Description of the failure.
    """
    logs.warning(
        log,
        "answer_lost",
        service=execution.service,
        dispatch=dispatch_call.address,
        reason=reason,
    )


def withdrawn(
    log: typing.Any,
    execution: executions.Execution,
    dispatch_call: dispatch_calls.DispatchCall,
    is_confirmed: bool,
) -> None:
    """Logs that the entry withdrew a request at its deadline.

    Args:
        log: Logger.
        execution: The request.
        dispatch_call: The call that is withdrawn.
        is_confirmed: Whether dispatch confirmed that it won't run.
    """
    logs.event(
        log,
        "request_withdrawn",
        service=execution.service,
        reason="confirmed" if is_confirmed else "not_confirmed",
        dispatch=dispatch_call.address,
    )
