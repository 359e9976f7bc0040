"""Conversion of ledger records to and from hand-over messages."""

from __future__ import annotations

import json

from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import ledger_record
from fuchsiacourse import verdict as verdicts

_WIRE_BY_STATE = {
    # A request that is in progress at a forced shutdown may have run.
    ledger_record.RecordState.IN_PROGRESS: fleet_pb2.RECORD_MAY_HAVE_RUN,
    ledger_record.RecordState.RAN: fleet_pb2.RECORD_RAN,
    ledger_record.RecordState.NOT_RUN: fleet_pb2.RECORD_NOT_RUN,
    ledger_record.RecordState.MAY_HAVE_RUN: fleet_pb2.RECORD_MAY_HAVE_RUN,
}
# Pseudo-header that marks a record with a refusal instead of a target's
# answer. It can't collide: no HTTP header name starts with a colon.
_REFUSAL_HEADER = ":refusal"
_STATE_BY_WIRE = {
    fleet_pb2.RECORD_RAN: ledger_record.RecordState.RAN,
    fleet_pb2.RECORD_NOT_RUN: ledger_record.RecordState.NOT_RUN,
}
_VERDICT_BY_STATE = {
    ledger_record.RecordState.RAN: verdicts.Verdict.RAN,
    ledger_record.RecordState.NOT_RUN: verdicts.Verdict.NOT_RUN,
    ledger_record.RecordState.MAY_HAVE_RUN: verdicts.Verdict.MAY_HAVE_RUN,
}


def to_wire(
    record: ledger_record.LedgerRecord, *, now_s: float
) -> fleet_pb2.LedgerRecord:
    """Returns the message for a record.

    Args:
        record: Record of the ledger.
        now_s: Monotonic time in seconds.
    """
    message = fleet_pb2.LedgerRecord(
        key=record.key,
        fingerprint=record.fingerprint,
        state=_WIRE_BY_STATE[record.state],
        answer_kept=record.answer_kept,
        expires_in_ms=max(1, int((record.expires_at - now_s) * 1000)),
    )
    result = record.result
    if isinstance(result, caller_request.CallerAnswer):
        message.status = result.status
        message.body = result.body
        for name, value in result.headers:
            message.headers.add(name=name, value=value)
    elif result is not None:
        message.status = result.status
        message.body = json.dumps([result.title, result.detail]).encode()
        message.headers.add(name=_REFUSAL_HEADER)
    return message


def from_wire(
    message: fleet_pb2.LedgerRecord, *, now_s: float
) -> ledger_record.LedgerRecord:
    """Returns the record for a message.

    Args:
        message: Message of a hand-over.
        now_s: Monotonic time in seconds.
    """
    record = ledger_record.LedgerRecord(
        key=message.key,
        fingerprint=message.fingerprint,
        expires_at=now_s + message.expires_in_ms / 1000,
    )
    record.state = _STATE_BY_WIRE.get(
        message.state, ledger_record.RecordState.MAY_HAVE_RUN
    )
    record.answer_kept = message.answer_kept
    record.result = _decode_result(message, _VERDICT_BY_STATE[record.state])
    return record


def _decode_result(
    message: fleet_pb2.LedgerRecord, verdict: verdicts.Verdict
) -> ledger_record.Result | None:
    if not message.answer_kept:
        return None
    if not message.status:
        return errors.RequestRefused(
            verdict=verdict,
            status=409,
            title="Run was cut off",
            detail="The entry stopped before the run of this key ended.",
        )
    if not any(item.name == _REFUSAL_HEADER for item in message.headers):
        return caller_request.CallerAnswer(
            status=message.status,
            verdict=verdict,
            headers=[(item.name, item.value) for item in message.headers],
            body=message.body,
        )
    title, detail = json.loads(message.body)
    return errors.RequestRefused(
        verdict=verdict, status=message.status, title=title, detail=detail
    )
