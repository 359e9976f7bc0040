"""Execution of non-idempotent requests, at most once for each key."""

from __future__ import annotations

import typing

from fuchsiacourse import async_wait
from fuchsiacourse import caller_request
from fuchsiacourse import claims as claim_records
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import execution as executions
from fuchsiacourse import executor as executors
from fuchsiacourse import idempotency_key
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import key_blocks
from fuchsiacourse import ledger as ledgers
from fuchsiacourse import ledger_record
from fuchsiacourse import ledger_seal
from fuchsiacourse import problem
from fuchsiacourse import relays as relay_calls
from fuchsiacourse import timers as timer_services
from fuchsiacourse import verdict as verdicts

# The caller of the first attempt waits this long beyond the deadline, until
# the request is withdrawn from dispatch.
_RESULT_GRACE_S = 1.5 * executors.WITHDRAW_TIMEOUT_S
# Records of claimed keys expire before the claims themselves; a claim
# without a record is answered may-have-run.
_CLAIM_RECORD_LIFETIME_S = 3600.0
_CLAIM_RECORD_PREFIX = "claim-"

Admit = typing.Callable[[], None]


class KeyedRuns:
    """Runs, replays or relays requests with an idempotency key.

    Args:
        clock: Source of time.
        timers: Owns the tasks of runs, which go on if callers disconnect.
        ledger: Records by key.
        blocks: Blocks of issued keys.
        claims: Claims of caller-chosen keys in the store.
        relays: Calls to other entries.
        executor: Calls to dispatch.
        seal: Tells whether new keys may be run here.
        invariants: Checks of verdicts and replayed answers.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        ledger: ledgers.Ledger,
        blocks: key_blocks.KeyBlocks,
        claims: claim_records.Claims,
        relays: relay_calls.Relays,
        executor: executors.Executor,
        seal: ledger_seal.LedgerSeal,
        invariants: invariant_checks.Invariants,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._ledger = ledger
        self._blocks = blocks
        self._claims = claims
        self._relays = relays
        self._executor = executor
        self._seal = seal
        self._invariants = invariants

    async def answer(
        self,
        execution: executions.Execution,
        *,
        hops: int,
        admit: Admit,
    ) -> caller_request.CallerAnswer:
        """Runs a keyed request or returns the result of its earlier run.

        Args:
            execution: The request; its key is the caller's.
            hops: Number of relays that the request has passed.
            admit: Raises RequestRefused if the account is over its limit.

        Raises:
            RequestRefused: There is no answer; the exception carries the
                verdict that is proven.
        """
        if not idempotency_key.is_issued_form(execution.request.key):
            return await self._answer_caller_chosen(execution, hops, admit)
        key = idempotency_key.parse(execution.request.key)
        if key is None:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.NOT_RUN,
                status=400,
                title="Key is malformed",
                offer_keys=True,
            )
        if not self._blocks.holds(key.incarnation):
            admit()
            return await self._relays.send(
                execution.request,
                issuer=key.incarnation,
                deadline_at=execution.deadline_at,
                hops=hops,
            )
        return await self._answer_issued(execution, key, hops, admit)

    async def _answer_issued(
        self,
        execution: executions.Execution,
        key: idempotency_key.IdempotencyKey,
        hops: int,
        admit: Admit,
    ) -> caller_request.CallerAnswer:
        execution.key = execution.request.key
        record = self._ledger.get(execution.key)
        if record is not None:
            return await self._repeat(record, execution)
        expires_at = self._blocks.expires_at(key)
        if self._seal.is_sealed:
            return await self._relay_to_successor(execution, hops)
        try:
            admit()
        except errors.RequestRefused as refusal:
            raise self._record_refusal(
                execution, expires_at, refusal
            ) from None
        record = self._open_record(execution, expires_at)
        self._timers.spawn(self._run(record, execution))
        return await self._wait_for_first_result(record, execution)

    async def _answer_caller_chosen(
        self, execution: executions.Execution, hops: int, admit: Admit
    ) -> caller_request.CallerAnswer:
        request = execution.request
        execution.key = _CLAIM_RECORD_PREFIX + claim_records.digest(
            request.account, request.key
        )
        record = self._ledger.get(execution.key)
        if record is not None:
            return await self._repeat(record, execution)
        if hops:
            raise _record_dropped()
        if self._seal.is_sealed:
            raise request.unsent_refusal(
                503,
                "Entry is stopping",
                retry_after_s=1.0,
            )
        admit()
        record = self._open_record(
            execution, self._clock.now() + _CLAIM_RECORD_LIFETIME_S
        )
        self._timers.spawn(self._run_claimed(record, execution))
        return await self._wait_for_first_result(record, execution)

    def _open_record(
        self, execution: executions.Execution, expires_at: float
    ) -> ledger_record.LedgerRecord:
        record = self._ledger.open(
            execution.key,
            fingerprint=execution.request.account_fingerprint,
            expires_at=expires_at,
        )
        if record is None:
            raise execution.request.unsent_refusal(
                503,
                "Ledger is full",
                retry_after_s=1.0,
            )
        return record

    def _record_refusal(
        self,
        execution: executions.Execution,
        expires_at: float,
        refusal: errors.RequestRefused,
    ) -> errors.RequestRefused:
        """Records that a key was refused before its run.

        Refusals must not fill the ledger. While more than half of it is in
        use the key stays open, and not-run covers this attempt only.

        Returns:
            The refusal to raise.
        """
        if self._ledger.is_over_half_full:
            return refusal
        record = self._open_record(execution, expires_at)
        refusal = problem.copy_refusal(
            refusal, verdict=verdicts.Verdict.NOT_RUN
        )
        self._ledger.finish(record, refusal)
        return problem.copy_refusal(refusal)

    async def _run(
        self,
        record: ledger_record.LedgerRecord,
        execution: executions.Execution,
    ) -> None:
        # Default for an unexpected exception: the request may have reached
        # a target.
        result: ledger_record.Result = errors.RequestRefused(
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            status=500,
            title="Run was cut off",
        )
        try:
            result = await self._executor.run(execution)
        except errors.RequestRefused as refusal:
            result = refusal
        finally:
            self._invariants.check(
                invariant_checks.InvariantId.NOT_RUN,
                result.verdict is not verdicts.Verdict.NOT_RUN
                or execution.unproved_sendings == 0,
                key=record.key,
            )
            self._ledger.finish(record, result)

    async def _run_claimed(
        self,
        record: ledger_record.LedgerRecord,
        execution: executions.Execution,
    ) -> None:
        result: ledger_record.Result = _record_dropped()
        try:
            claim = await self._claims.claim(execution.request)
            if claim.is_new:
                await self._run(record, execution)
                return
            result = await self._relay_claimed(claim, execution)
        except errors.RequestRefused as refusal:
            result = refusal
        finally:
            if not record.is_final:
                self._ledger.discard(record, result)

    async def _relay_claimed(
        self,
        claim: claim_records.Claim,
        execution: executions.Execution,
    ) -> caller_request.CallerAnswer:
        try:
            return await self._relays.send(
                execution.request,
                issuer=claim.incarnation,
                deadline_at=execution.deadline_at,
                hops=0,
            )
        except errors.RequestRefused as refusal:
            # The claim proves an earlier attempt, even if this request
            # states that it is the first.
            raise problem.copy_refusal(
                refusal, verdict=verdicts.Verdict.MAY_HAVE_RUN
            ) from None

    async def _relay_to_successor(
        self, execution: executions.Execution, hops: int
    ) -> caller_request.CallerAnswer:
        """Waits for the hand-over and relays a new key to the successor."""
        request = execution.request
        successor = self._seal.successor
        await async_wait.wait_any(
            self._clock, successor, at=execution.deadline_at
        )
        if not successor.done() or not successor.result():
            raise request.unsent_refusal(
                503,
                "Entry is stopping",
                retry_after_s=1.0,
            )
        return await self._relays.send(
            request,
            issuer=successor.result(),
            deadline_at=execution.deadline_at,
            hops=hops,
        )

    async def _repeat(
        self,
        record: ledger_record.LedgerRecord,
        execution: executions.Execution,
    ) -> caller_request.CallerAnswer:
        """Answers a request whose key has a ledger record."""
        request = execution.request
        if record.fingerprint != request.account_fingerprint:
            raise errors.RequestRefused(
                verdict=record.verdict,
                status=422,
                title="Key was used for another request",
            )
        if not record.is_final:
            return await self._wait_for_result(record, execution, grace_s=0.0)
        if not record.answer_kept:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.RAN,
                status=409,
                title="Answer was not kept",
                detail="The request ran; its answer was too large to keep.",
            )
        self._invariants.check(
            invariant_checks.InvariantId.WHOLE_ANSWER,
            record.key == execution.key and record.result is not None,
            key=record.key,
        )
        return _answer_or_raise(record.result, request, is_closed=True)

    async def _wait_for_first_result(
        self,
        record: ledger_record.LedgerRecord,
        execution: executions.Execution,
    ) -> caller_request.CallerAnswer:
        return await self._wait_for_result(
            record, execution, grace_s=_RESULT_GRACE_S
        )

    async def _wait_for_result(
        self,
        record: ledger_record.LedgerRecord,
        execution: executions.Execution,
        *,
        grace_s: float,
    ) -> caller_request.CallerAnswer:
        """Waits for the run of a record, which outlives any single caller.

        Args:
            record: Record of the run.
            execution: The caller's request.
            grace_s: Seconds to wait beyond the caller's deadline.
        """
        done = record.done
        if done is None:
            return _answer_or_raise(
                record.result, execution.request, is_closed=True
            )
        await async_wait.wait_any(
            self._clock, done, at=execution.deadline_at + grace_s
        )
        if not done.done():
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                status=504,
                title="Deadline has passed",
                detail="The request is still in progress.",
            )
        return _answer_or_raise(
            done.result(), execution.request, is_closed=record.is_final
        )


def _answer_or_raise(
    result: ledger_record.Result,
    request: caller_request.CallerRequest,
    *,
    is_closed: bool,
) -> caller_request.CallerAnswer:
    """Returns the answer of a run for one of its callers.

    Args:
        result: Result of the run.
        request: Request of this caller.
        is_closed: Whether the ledger stores the result, so that not-run
            holds for each attempt under the key.

    Raises:
        RequestRefused: The run ended with a refusal.
    """
    if isinstance(result, caller_request.CallerAnswer):
        return result.with_request_id(request.request_id)
    if result.verdict is verdicts.Verdict.NOT_RUN and not is_closed:
        raise problem.copy_refusal(result, verdict=request.unsent_verdict)
    raise problem.copy_refusal(result)


def _record_dropped() -> errors.RequestRefused:
    return errors.RequestRefused(
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        status=409,
        title="Record was dropped",
        detail="The key was claimed before; no record of its run is left.",
        offer_keys=True,
    )
