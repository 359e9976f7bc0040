"""Ledger record of one idempotency key."""

from __future__ import annotations

import asyncio
import enum

from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts


class RecordState(enum.Enum):
    """State of the run of a key."""

    IN_PROGRESS = "in_progress"
    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


# Outcome of a run, shared by all callers that wait for it.
Result = caller_request.CallerAnswer | errors.RequestRefused


class LedgerRecord:
    """State and result of the run of one key.

    Args:
        key: Name of the record.
        fingerprint: Digest of account, method, path and body.
        expires_at: Monotonic time in seconds after which the record is
            dropped.

    Attributes:
        state: State of the run.
        result: Stored result; None while the run is in progress or if the
            answer was not stored.
        answer_kept: False if the target's answer was too large to store, or
            the ledger too full.
        done: Resolved with the result; None unless the run is in progress
            in this process.
        size_bytes: Memory charged to the ledger for this record.
    """

    __slots__ = (
        "key",
        "fingerprint",
        "expires_at",
        "state",
        "result",
        "answer_kept",
        "done",
        "size_bytes",
    )

    def __init__(
        self, *, key: str, fingerprint: str, expires_at: float
    ) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.state = RecordState.IN_PROGRESS
        self.result: Result | None = None
        self.answer_kept = True
        self.done: asyncio.Future[Result] | None = None
        self.size_bytes = 0

    @property
    def is_final(self) -> bool:
        """Whether the run has ended."""
        return self.state is not RecordState.IN_PROGRESS

    @property
    def verdict(self) -> verdicts.Verdict:
        """Verdict on the run; MAY_HAVE_RUN while it is in progress."""
        if self.state is RecordState.RAN:
            return verdicts.Verdict.RAN
        if self.state is RecordState.NOT_RUN:
            return verdicts.Verdict.NOT_RUN
        return verdicts.Verdict.MAY_HAVE_RUN
