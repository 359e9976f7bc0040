"""Idempotency ledger of an entry process."""

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

# Memory of a record without its answer, in bytes.
RECORD_OVERHEAD_BYTES = 512
# A run that outlives its key's block keeps its record for this long more.
_IN_PROGRESS_EXTENSION_S = 60.0

_STATE_BY_VERDICT = {
    verdicts.Verdict.RAN: ledger_record.RecordState.RAN,
    verdicts.Verdict.NOT_RUN: ledger_record.RecordState.NOT_RUN,
    verdicts.Verdict.MAY_HAVE_RUN: ledger_record.RecordState.MAY_HAVE_RUN,
}


class Ledger:
    """Records by key, bounded in number and bytes.

    Args:
        clock: Source of time.
        invariants: Checks that no key is opened twice.
        max_records: Most records that it holds.
        max_bytes: Most bytes that the records take.
        max_answer_bytes: Largest answer that is kept whole.
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
        """Returns the record of a key, or None if there is none."""
        self._drop_expired()
        return self._records_by_key.get(key)

    def open(
        self, key: str, *, fingerprint: str, expires_at: float
    ) -> ledger_record.LedgerRecord | None:
        """Records that a run starts.

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
        """Records how a run ended and tells everyone who waits on it."""
        if record.is_final:
            return
        record.state = _STATE_BY_VERDICT[result.verdict]
        record.result = result
        self._keep_answer(record, result)
        self._release(record, result)

    def discard(
        self,
        record: ledger_record.LedgerRecord,
        result: ledger_record.Result,
    ) -> None:
        """Removes the record of a key that this process does not decide on.

        Args:
            record: Record in progress.
            result: Told to everyone who waits on the record.
        """
        self._remove(record)
        self._release(record, result)

    @property
    def is_over_half_full(self) -> bool:
        """Whether more than half of its room is taken."""
        return (
            2 * len(self._records_by_key) > self._max_records
            or 2 * self.size_bytes > self._max_bytes
        )

    def has_capacity(self, *, records: int, size_bytes: int) -> bool:
        """Whether more records fit."""
        return (
            len(self._records_by_key) + records <= self._max_records
            and self.size_bytes + size_bytes <= self._max_bytes
        )

    def adopt(
        self, records: collections.abc.Iterable[ledger_record.LedgerRecord]
    ) -> None:
        """Takes over the final records of another process."""
        for record in records:
            if record.key in self._records_by_key:
                continue
            size_bytes = RECORD_OVERHEAD_BYTES + _answer_bytes(record.result)
            self._insert(record, size_bytes)

    def records(self) -> list[ledger_record.LedgerRecord]:
        """Returns all records that are not expired."""
        self._drop_expired()
        return list(self._records_by_key.values())

    def _keep_answer(
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

    def _release(
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
