"""Sends requests from an entry to the owners of their shards.

It is apart from the entry service, which handles callers and keys.
"""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import async_wait
from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
from fuchsiacourse import dispatch_call as dispatch_calls
from fuchsiacourse import errors
from fuchsiacourse import execution as executions
from fuchsiacourse import fleet_pb2
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import owner_ranking
from fuchsiacourse import peers as peer_ports
from fuchsiacourse import problem
from fuchsiacourse import region_choice
from fuchsiacourse import request_events
from fuchsiacourse import token_bucket
from fuchsiacourse import verdict as verdicts

# Seconds to wait for the reply to a withdrawal.
WITHDRAW_TIMEOUT_S = 0.5
# Age in seconds of a call up to which a confirmed withdrawal proves that the
# request has not run. Dispatch forgets the ids of ended requests after 600 s
# and then confirms the withdrawal of a request that has run.
WITHDRAWAL_PROOF_S = 540.0
# Seconds for which the answer to a request that is not idempotent is awaited
# after its deadline, so that a retry by the caller gets it.
LATE_ANSWER_WAIT_S = 10.0
# Redirections to the owner of a shard that are followed.
MAX_HOPS = 2
# Calls of dispatch for one request within a region.
MAX_CALLS = 6
# Retry budget after lost replies: its share of the requests and its burst.
RETRY_SHARE = 0.1
RETRY_BURST = 10.0

_STATUS_BY_REFUSAL = {
    "overload": 503,
    "deadline": 503,
    "no_target": 503,
    "unknown_service": 503,
    "quarantined": 422,
    "withdrawn": 504,
}
_TITLE_BY_REFUSAL = {
    "overload": "Service is overloaded",
    "deadline": "Deadline cannot be met",
    "no_target": "No target is available",
    "unknown_service": "Service is not in force yet",
    "quarantined": "Request is quarantined",
    "withdrawn": "Deadline has passed",
}
# Refusals after which another region may serve the request.
_REGION_REFUSALS = frozenset(("overload", "deadline", "no_target"))


class _RegionRefused(Exception):
    """Raised when a region can't serve a request but another one may."""

    def __init__(self, refusal: errors.RequestRefused) -> None:
        super().__init__(refusal.title)
        self.refusal = refusal


class Executor:
    """Has requests run by dispatch and states whether they may have run.

    Args:
        clock: Source of time.
        members: Member table.
        owners: Ranks the owners of a shard.
        peers: Client of the dispatch processes.
        regions: Chooses the regions of a request.
        invariants: Receives the checks of at-most-once execution and of
            whole answers.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        members: member_tables.Members,
        owners: owner_ranking.OwnerRanking,
        peers: peer_ports.Peers,
        regions: region_choice.RegionChoice,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._members = members
        self._owners = owners
        self._peers = peers
        self._regions = regions
        self._invariants = invariants
        self._log = log
        self._call_count = 0
        self._retries = token_bucket.TokenBucket(
            rate_per_s=0.0, burst=RETRY_BURST, now_s=clock.now()
        )
        self._gone_futures_by_member: dict[str, set[asyncio.Future[None]]] = {}
        members.subscribe(self._on_member_changed)

    async def run(
        self, execution: executions.Execution
    ) -> caller_request.CallerAnswer:
        """Runs a request at a target of one of its regions.

        Args:
            execution: The request.

        Returns:
            The target's answer.

        Raises:
            RequestRefused: No answer was received. Its verdict is the
                strongest that is proven.
        """
        self._retries.adjust(RETRY_SHARE)
        refusal: errors.RequestRefused | None = None
        for region in self._regions.order(execution):
            try:
                return await self._run_in(execution, region)
            except _RegionRefused as error:
                refusal = refusal or error.refusal
        if refusal is None:
            refusal = execution.refusal(503, "No region has targets")
        raise problem.copy_refusal(refusal, verdict=execution.verdict)

    async def _run_in(
        self, execution: executions.Execution, region: str
    ) -> caller_request.CallerAnswer:
        tried: set[str] = set()
        address = ""
        hops = 0
        for _ in range(MAX_CALLS):
            hops = hops + 1 if address else 0
            if not address:
                address = self._next_owner(execution.service, region, tried)
            # Each call is charged separately to the budget of the link
            # between regions.
            if not address or not self._regions.charge(execution, region):
                break
            tried.add(address)
            dispatch_call = self._new_call(address, region, hops)
            outcome = await self._send(execution, dispatch_call)
            if isinstance(outcome, caller_request.CallerAnswer):
                return outcome
            address = outcome
        raise _RegionRefused(
            execution.refusal(
                503, "No dispatch process can be used", retry_after_s=1.0
            )
        )

    def _next_owner(self, service: str, region: str, tried: set[str]) -> str:
        for row in self._owners.candidates(service, region):
            if row.rpc_address not in tried:
                return row.rpc_address
        return ""

    def _new_call(
        self, address: str, region: str, hops: int
    ) -> dispatch_calls.DispatchCall:
        self._call_count += 1
        return dispatch_calls.DispatchCall(
            address=address,
            member_id=self._owners.member_id(address),
            region=region,
            hops=hops,
            request_id=f"{self._members.self.id}-{self._call_count}",
        )

    async def _send(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
    ) -> caller_request.CallerAnswer | str:
        """Calls dispatch once.

        Returns:
            The answer, or the address to call next; empty for the next
            candidate.

        Raises:
            RequestRefused: The request ends without an answer.
            _RegionRefused: Another region may serve the request.
        """
        if execution.deadline_at <= self._clock.now():
            raise execution.refusal(504, "Deadline has passed")
        call = asyncio.ensure_future(self._execute(execution, dispatch_call))
        gone = self._watch_member(execution, dispatch_call)
        try:
            await async_wait.wait_any(
                self._clock, call, gone, at=execution.deadline_at
            )
            if not call.done() and not gone.done():
                return await self._withdraw(execution, dispatch_call, call)
            if not call.done():
                return self._handle_lost(
                    execution, dispatch_call, "member is dead or has left"
                )
            return self._handle_reply(execution, dispatch_call, call)
        finally:
            async_wait.cancel_unread(call)
            self._unwatch_member(dispatch_call, gone)

    async def _execute(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
    ) -> fleet_pb2.ExecuteReply:
        # The process may have been paused since the last check of the
        # deadline. No other task can run between this check and the call.
        remaining_s = execution.deadline_at - self._clock.now()
        if remaining_s <= 0:
            raise execution.refusal(504, "Deadline has passed")
        self._invariants.check(
            invariant_checks.InvariantId.AT_MOST_ONCE,
            execution.is_idempotent or execution.unproved_sendings == 0,
            key=execution.key,
            unproved_sendings=execution.unproved_sendings,
        )
        execution.unproved_sendings += 1
        dispatch_call.sent_at = self._clock.now()
        return await self._peers.execute(
            dispatch_call.address,
            dispatch_call.to_execute_request(execution, remaining_s),
            timeout_s=remaining_s
            + 2 * WITHDRAW_TIMEOUT_S
            + LATE_ANSWER_WAIT_S,
        )

    def _handle_reply(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
        call: asyncio.Future[fleet_pb2.ExecuteReply],
    ) -> caller_request.CallerAnswer | str:
        error = call.exception()
        if isinstance(error, errors.PeerUnreachable):
            execution.unproved_sendings -= 1
            return ""
        if isinstance(error, errors.RequestRefused):
            raise error
        if error is not None:
            return self._handle_lost(execution, dispatch_call, repr(error))
        reply = call.result()
        if not dispatch_call.is_whole(reply):
            return self._handle_lost(
                execution, dispatch_call, "request id or digest is wrong"
            )
        if reply.verdict == fleet_pb2.RAN:
            return self._answer(execution, dispatch_call, reply)
        if reply.verdict == fleet_pb2.NOT_RUN:
            return self._handle_refusal(execution, dispatch_call, reply)
        raise execution.refusal(
            502,
            "Target gave no whole answer",
            detail=f"Dispatch reports: {reply.refusal or 'target lost'}.",
        )

    def _answer(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
        reply: fleet_pb2.ExecuteReply,
    ) -> caller_request.CallerAnswer:
        if reply.refusal or not reply.status:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.RAN,
                status=502,
                title="Answer was lost",
            )
        self._invariants.check(
            invariant_checks.InvariantId.WHOLE_ANSWER,
            dispatch_call.is_whole(reply),
            request_id=dispatch_call.request_id,
        )
        self._regions.settle(
            execution, dispatch_call.region, answer_bytes=len(reply.body)
        )
        return caller_request.CallerAnswer(
            status=reply.status,
            verdict=verdicts.Verdict.RAN,
            headers=[(item.name, item.value) for item in reply.headers],
            body=reply.body,
        )

    def _handle_refusal(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
        reply: fleet_pb2.ExecuteReply,
    ) -> str:
        """Returns the address to call next, or raises the refusal."""
        if reply.refusal == "not_owner":
            execution.unproved_sendings -= 1
            if dispatch_call.hops >= MAX_HOPS:
                return ""
            return reply.owner
        if reply.refusal == "draining":
            execution.unproved_sendings -= 1
            return ""
        if reply.refusal not in _STATUS_BY_REFUSAL:
            return self._handle_lost(
                execution, dispatch_call, f"unknown refusal {reply.refusal}"
            )
        execution.unproved_sendings -= 1
        self._regions.record_refusal(
            execution.service, dispatch_call.region, reply.refusal
        )
        refusal = execution.refusal(
            _STATUS_BY_REFUSAL[reply.refusal],
            _TITLE_BY_REFUSAL[reply.refusal],
            retry_after_s=(reply.retry_after_ms / 1000) or None,
        )
        if execution.is_idempotent and reply.refusal in _REGION_REFUSALS:
            raise _RegionRefused(refusal)
        raise refusal

    def _handle_lost(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
        reason: str,
    ) -> str:
        """Handles a call without a reply, whose request may have run.

        Returns:
            An empty address if the retry budget allows a retry.

        Raises:
            RequestRefused: The request is not retried.
        """
        if execution.is_idempotent and self._retries.take(
            1.0, now_s=self._clock.now()
        ):
            request_events.resent(self._log, execution, dispatch_call, reason)
            return ""
        request_events.answer_lost(self._log, execution, dispatch_call, reason)
        raise execution.refusal(502, "Connection to dispatch was lost")

    async def _withdraw(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
        call: asyncio.Future[fleet_pb2.ExecuteReply],
    ) -> caller_request.CallerAnswer | str:
        """Withdraws a request whose deadline has passed without a reply.

        Without a confirmation, a request that is not idempotent waits for
        its answer for LATE_ANSWER_WAIT_S after the deadline.

        Returns:
            The same as ``_send``, if a reply arrives in the meantime.

        Raises:
            RequestRefused: The request ends without an answer.
            _RegionRefused: Another region may serve the request.
        """
        withdrawal = asyncio.ensure_future(
            self._peers.withdraw(
                dispatch_call.address,
                dispatch_call.to_withdraw_request(execution),
                timeout_s=WITHDRAW_TIMEOUT_S,
            )
        )
        try:
            await async_wait.wait_any(
                self._clock,
                withdrawal,
                call,
                at=self._clock.now() + WITHDRAW_TIMEOUT_S,
            )
            # A reply that has arrived in the meantime is more precise.
            if call.done():
                return self._handle_reply(execution, dispatch_call, call)
            age_s = self._clock.now() - dispatch_call.sent_at
            confirmed = age_s < WITHDRAWAL_PROOF_S and _is_withdrawn(
                dispatch_call, withdrawal
            )
            request_events.withdrawn(
                self._log, execution, dispatch_call, confirmed
            )
            if confirmed:
                execution.unproved_sendings -= 1
            elif not execution.is_idempotent:
                await async_wait.wait_any(
                    self._clock,
                    call,
                    at=execution.deadline_at + LATE_ANSWER_WAIT_S,
                )
                if call.done():
                    return self._handle_reply(execution, dispatch_call, call)
            raise execution.refusal(504, "Deadline has passed")
        finally:
            async_wait.cancel_unread(withdrawal)

    def _watch_member(
        self,
        execution: executions.Execution,
        dispatch_call: dispatch_calls.DispatchCall,
    ) -> asyncio.Future[None]:
        """Returns a future that is done when a member is dead or has left.

        A request that is not idempotent is not retried, so it waits for its
        answer even then, and its future is never done.
        """
        gone = asyncio.get_running_loop().create_future()
        if execution.is_idempotent and dispatch_call.member_id:
            self._gone_futures_by_member.setdefault(
                dispatch_call.member_id, set()
            ).add(gone)
        return gone

    def _unwatch_member(
        self,
        dispatch_call: dispatch_calls.DispatchCall,
        gone: asyncio.Future[None],
    ) -> None:
        waiters = self._gone_futures_by_member.get(dispatch_call.member_id)
        if waiters is None:
            return
        waiters.discard(gone)
        if not waiters:
            del self._gone_futures_by_member[dispatch_call.member_id]

    def _on_member_changed(self, row: member_rows.Member) -> None:
        if not row.is_gone:
            return
        for gone in self._gone_futures_by_member.get(row.id, ()):
            if not gone.done():
                gone.set_result(None)


def _is_withdrawn(
    dispatch_call: dispatch_calls.DispatchCall,
    withdrawal: asyncio.Future[fleet_pb2.WithdrawReply],
) -> bool:
    if not withdrawal.done() or withdrawal.exception() is not None:
        return False
    return dispatch_call.is_withdrawn(withdrawal.result())
