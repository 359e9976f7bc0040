"""Ledger of idempotency keys: which keyed requests ran, and their results."""

from __future__ import annotations

import asyncio
import collections.abc
import heapq

from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import ledger_record
from fuchsiacourse import verdict as verdicts

# Estimated memory of a record without its answer, in bytes.
RECORD_OVERHEAD_BYTES = 512
# The record of a run still in progress when its key expires is extended by
# this time, and again until the run ends.
_IN_PROGRESS_EXTENSION_S = 60.0

_STATE_BY_VERDICT = {
    verdicts.Verdict.RAN: ledger_record.RecordState.RAN,
    verdicts.Verdict.NOT_RUN: ledger_record.RecordState.NOT_RUN,
    verdicts.Verdict.MAY_HAVE_RUN: ledger_record.RecordState.MAY_HAVE_RUN,
}


class Ledger:
    """Stores one record per key, bounded in number and bytes.

    Args:
        clock: Source of time.
        invariants: Checks that no key is opened twice.
        max_records: Maximum number of records.
        max_bytes: Maximum size of all records in bytes.
        max_answer_bytes: Maximum size in bytes of a stored answer; larger
            answers are not stored.

    Attributes:
        size_bytes: Estimated memory of all records in bytes.
        in_progress: Number of runs in progress.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        invariants: invariant_checks.Invariants,
        max_records: int,
        max_bytes: int,
        max_answer_bytes: int,
    ) -> None:
        self._clock = clock
        self._invariants = invariants
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._records_by_key: dict[str, ledger_record.LedgerRecord] = {}
        self._expiries: list[tuple[float, str]] = []
        self.size_bytes = 0
        self.in_progress = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records_by_key)

    def get(self, key: str) -> ledger_record.LedgerRecord | None:
        """Returns the unexpired record of a key, or None."""
        self._drop_expired()
        return self._records_by_key.get(key)

    def open(
        self, key: str, *, fingerprint: str, expires_at: float
    ) -> ledger_record.LedgerRecord | None:
        """Creates the record of a run that is about to start.

        Args:
            key: Name of the record.
            fingerprint: Digest of account, method, path and body.
            expires_at: Monotonic time in seconds at which the record
                expires.

        Returns:
            The record, or None if the ledger is full.
        """
        self._drop_expired()
        if not self.has_capacity(records=1, size_bytes=RECORD_OVERHEAD_BYTES):
            return None
        self._invariants.check(
            invariant_checks.InvariantId.AT_MOST_ONCE,
            key not in self._records_by_key,
            key=key,
        )
        record = ledger_record.LedgerRecord(
            key=key, fingerprint=fingerprint, expires_at=expires_at
        )
        record.done = asyncio.get_running_loop().create_future()
        self._insert(record, RECORD_OVERHEAD_BYTES)
        self.in_progress += 1
        return record

    def finish(
        self,
        record: ledger_record.LedgerRecord,
        result: ledger_record.Result,
    ) -> None:
        """Stores the result of a run and delivers it to all waiters.

        Has no effect on a record that is already final.
        """
        if record.is_final:
            return
        record.state = _STATE_BY_VERDICT[result.verdict]
        record.result = result
        self._store_answer(record, result)
        self._resolve_waiters(record, result)

    def discard(
        self,
        record: ledger_record.LedgerRecord,
        result: ledger_record.Result,
    ) -> None:
        """Removes the record of a key that this process has not run.

        Args:
            record: Record in progress.
            result: Result that is delivered to all waiters.
        """
        self._remove(record)
        self._resolve_waiters(record, result)

    @property
    def is_over_half_full(self) -> bool:
        """Whether more than half of the records or bytes are in use."""
        return (
            2 * len(self._records_by_key) > self._max_records
            or 2 * self.size_bytes > self._max_bytes
        )

    def has_capacity(self, *, records: int, size_bytes: int) -> bool:
        """Whether so many more records and bytes fit within the bounds."""
        return (
            len(self._records_by_key) + records <= self._max_records
            and self.size_bytes + size_bytes <= self._max_bytes
        )

    def adopt(
        self, records: collections.abc.Iterable[ledger_record.LedgerRecord]
    ) -> None:
        """Adds the final records of another process.

        Keys that already have a record keep it.
        """
        for record in records:
            if record.key in self._records_by_key:
                continue
            size_bytes = RECORD_OVERHEAD_BYTES + _answer_bytes(record.result)
            self._insert(record, size_bytes)

    def records(self) -> list[ledger_record.LedgerRecord]:
        """Returns all unexpired records."""
        self._drop_expired()
        return list(self._records_by_key.values())

    def _store_answer(
        self,
        record: ledger_record.LedgerRecord,
        result: ledger_record.Result,
    ) -> None:
        size_bytes = _answer_bytes(result)
        if not isinstance(result, caller_request.CallerAnswer):
            return
        if size_bytes <= self._max_answer_bytes and self.has_capacity(
            records=0, size_bytes=size_bytes
        ):
            record.size_bytes += size_bytes
            self.size_bytes += size_bytes
            return
        record.answer_kept = False
        record.result = None

    def _insert(
        self, record: ledger_record.LedgerRecord, size_bytes: int
    ) -> None:
        record.size_bytes = size_bytes
        self.size_bytes += size_bytes
        self._records_by_key[record.key] = record
        heapq.heappush(self._expiries, (record.expires_at, record.key))

    def _resolve_waiters(
        self,
        record: ledger_record.LedgerRecord,
        result: ledger_record.Result,
    ) -> None:
        self.in_progress -= 1
        if record.done is not None and not record.done.done():
            record.done.set_result(result)
        record.done = None

    def _remove(self, record: ledger_record.LedgerRecord) -> None:
        if self._records_by_key.pop(record.key, None) is not None:
            self.size_bytes -= record.size_bytes

    def _drop_expired(self) -> None:
        now = self._clock.now()
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records_by_key.get(key)
            # The record was discarded or replaced by one that expires later.
            if record is None or record.expires_at > now:
                continue
            if record.is_final:
                self._remove(record)
                continue
            record.expires_at = now + _IN_PROGRESS_EXTENSION_S
            heapq.heappush(self._expiries, (record.expires_at, key))


def _answer_bytes(result: ledger_record.Result | None) -> int:
    if result is None or isinstance(result, errors.RequestRefused):
        return 0
    return len(result.body) + sum(
        len(name) + len(value) for name, value in result.headers
    )
