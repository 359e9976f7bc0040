"""Has requests executed by the owners of their shards."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import async_wait
from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
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
from fuchsiacourse import sending as sendings
from fuchsiacourse import token_bucket
from fuchsiacourse import verdict as verdicts

# Time for the reply to a withdrawal.
WITHDRAW_TIMEOUT_S = 0.5
# Dispatch remembers the ids of finished requests for 600 s. After that it
# takes an id for unknown, so that its withdrawal proves nothing.
WITHDRAWAL_PROOF_S = 540.0
# A booking that has started is waited for this long after its deadline, so
# that its caller's next attempt can learn the answer.
LATE_ANSWER_S = 10.0
# Redirections to the owner that are followed.
MAX_HOPS = 2
# Sendings of one request within a region.
MAX_CALLS = 6
# Retries after a lost reply, as a share of requests, and their burst.
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
    """A region cannot serve the request; another one may."""

    def __init__(self, refusal: errors.RequestRefused) -> None:
        super().__init__(refusal.title)
        self.refusal = refusal


class Executor:
    """Sends requests to dispatch and states what their sendings prove.

    Args:
        clock: Source of time.
        members: Member table.
        owners: Owners of shards.
        peers: Port to dispatch.
        regions: Choice of regions.
        invariants: Checks of at-most-once and of whole answers.
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
        self._sendings = 0
        self._retries = token_bucket.TokenBucket(
            rate_per_s=0.0, burst=RETRY_BURST, now_s=clock.now()
        )
        self._gone_by_member: dict[str, set[asyncio.Future[None]]] = {}
        members.subscribe(self._note_member)

    async def run(
        self, execution: executions.Execution
    ) -> caller_request.CallerAnswer:
        """Has a request executed.

        Returns:
            The target's answer.

        Raises:
            RefusedError: There is no answer; its verdict is proved.
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
        raise problem.copied(refusal, verdict=execution.verdict)

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
            # Each sending takes its own share of the region link.
            if not address or not self._regions.admits(execution, region):
                break
            tried.add(address)
            sending = self._new_sending(address, region, hops)
            step = await self._send(execution, sending)
            if isinstance(step, caller_request.CallerAnswer):
                return step
            address = step
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

    def _new_sending(
        self, address: str, region: str, hops: int
    ) -> sendings.Sending:
        self._sendings += 1
        return sendings.Sending(
            address=address,
            member_id=self._owners.member_id(address),
            region=region,
            hops=hops,
            request_id=f"{self._members.self.id}-{self._sendings}",
        )

    async def _send(
        self, execution: executions.Execution, sending: sendings.Sending
    ) -> caller_request.CallerAnswer | str:
        """Sends once.

        Returns:
            The answer, or the address to send to next; empty for the next
            candidate.
        """
        if execution.deadline_at <= self._clock.now():
            raise execution.refusal(504, "Deadline has passed")
        call = asyncio.ensure_future(self._execute(execution, sending))
        gone = self._watch_gone(execution, sending)
        try:
            await async_wait.wait_any(
                self._clock, call, gone, at=execution.deadline_at
            )
            if not call.done() and not gone.done():
                return await self._withdraw(execution, sending, call)
            if not call.done():
                return self._lost(execution, sending, "member is gone")
            return self._conclude(execution, sending, call)
        finally:
            async_wait.cancel_unread(call)
            self._unwatch_gone(sending, gone)

    async def _execute(
        self, execution: executions.Execution, sending: sendings.Sending
    ) -> fleet_pb2.ExecuteReply:
        # The process may have been paused for long, so the deadline is
        # checked where nothing can come between the check and the call.
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
        sending.sent_at = self._clock.now()
        return await self._peers.execute(
            sending.address,
            sending.message(execution, remaining_s),
            timeout_s=remaining_s + 2 * WITHDRAW_TIMEOUT_S + LATE_ANSWER_S,
        )

    def _conclude(
        self,
        execution: executions.Execution,
        sending: sendings.Sending,
        call: asyncio.Future[fleet_pb2.ExecuteReply],
    ) -> caller_request.CallerAnswer | str:
        error = call.exception()
        if isinstance(error, errors.PeerUnreachable):
            execution.unproved_sendings -= 1
            return ""
        if isinstance(error, errors.RequestRefused):
            raise error
        if error is not None:
            return self._lost(execution, sending, repr(error))
        reply = call.result()
        if not sending.is_whole(reply):
            return self._lost(execution, sending, "reply is not whole")
        if reply.verdict == fleet_pb2.RAN:
            return self._answer(execution, sending, reply)
        if reply.verdict == fleet_pb2.NOT_RUN:
            return self._not_run(execution, sending, reply)
        raise execution.refusal(
            502,
            "Target gave no whole answer",
            detail=f"Dispatch reports: {reply.refusal or 'target lost'}.",
        )

    def _answer(
        self,
        execution: executions.Execution,
        sending: sendings.Sending,
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
            sending.is_whole(reply),
            request_id=sending.request_id,
        )
        self._regions.settle(
            execution, sending.region, answer_bytes=len(reply.body)
        )
        return caller_request.CallerAnswer(
            status=reply.status,
            verdict=verdicts.Verdict.RAN,
            headers=[(item.name, item.value) for item in reply.headers],
            body=reply.body,
        )

    def _not_run(
        self,
        execution: executions.Execution,
        sending: sendings.Sending,
        reply: fleet_pb2.ExecuteReply,
    ) -> str:
        if reply.refusal == "not_owner":
            execution.unproved_sendings -= 1
            if sending.hops >= MAX_HOPS:
                return ""
            return reply.owner
        if reply.refusal == "draining":
            execution.unproved_sendings -= 1
            return ""
        if reply.refusal not in _STATUS_BY_REFUSAL:
            return self._lost(
                execution, sending, f"unknown refusal {reply.refusal}"
            )
        execution.unproved_sendings -= 1
        self._regions.note_refusal(
            execution.service, sending.region, reply.refusal
        )
        refusal = execution.refusal(
            _STATUS_BY_REFUSAL[reply.refusal],
            _TITLE_BY_REFUSAL[reply.refusal],
            retry_after_s=(reply.retry_after_ms / 1000) or None,
        )
        if execution.is_idempotent and reply.refusal in _REGION_REFUSALS:
            raise _RegionRefused(refusal)
        raise refusal

    def _lost(
        self,
        execution: executions.Execution,
        sending: sendings.Sending,
        reason: str,
    ) -> str:
        """Handles a sending that may have run without an answer."""
        if execution.is_idempotent and self._retries.take(
            1.0, now_s=self._clock.now()
        ):
            request_events.sent_again(self._log, execution, sending, reason)
            return ""
        request_events.answer_lost(self._log, execution, sending, reason)
        raise execution.refusal(502, "Connection to dispatch was lost")

    async def _withdraw(
        self,
        execution: executions.Execution,
        sending: sendings.Sending,
        call: asyncio.Future[fleet_pb2.ExecuteReply],
    ) -> caller_request.CallerAnswer | str:
        withdrawal = asyncio.ensure_future(
            self._peers.withdraw(
                sending.address,
                sending.withdrawal(execution),
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
            # An answer that came in the meantime says more.
            if call.done():
                return self._conclude(execution, sending, call)
            age_s = self._clock.now() - sending.sent_at
            confirmed = age_s < WITHDRAWAL_PROOF_S and _is_withdrawn(
                sending, withdrawal
            )
            request_events.withdrawn(self._log, execution, sending, confirmed)
            if confirmed:
                execution.unproved_sendings -= 1
            elif not execution.is_idempotent:
                await async_wait.wait_any(
                    self._clock,
                    call,
                    at=execution.deadline_at + LATE_ANSWER_S,
                )
                if call.done():
                    return self._conclude(execution, sending, call)
            raise execution.refusal(504, "Deadline has passed")
        finally:
            async_wait.cancel_unread(withdrawal)

    def _watch_gone(
        self, execution: executions.Execution, sending: sendings.Sending
    ) -> asyncio.Future[None]:
        """Returns a future that is done when a retry elsewhere is due.

        A booking is not retried, so that it waits for its answer even if
        its dispatch process is held to be gone.
        """
        gone = asyncio.get_running_loop().create_future()
        if execution.is_idempotent and sending.member_id:
            self._gone_by_member.setdefault(sending.member_id, set()).add(gone)
        return gone

    def _unwatch_gone(
        self, sending: sendings.Sending, gone: asyncio.Future[None]
    ) -> None:
        waiters = self._gone_by_member.get(sending.member_id)
        if waiters is None:
            return
        waiters.discard(gone)
        if not waiters:
            del self._gone_by_member[sending.member_id]

    def _note_member(self, row: member_rows.Member) -> None:
        if not row.is_gone:
            return
        for gone in self._gone_by_member.get(row.id, ()):
            if not gone.done():
                gone.set_result(None)


def _is_withdrawn(
    sending: sendings.Sending,
    withdrawal: asyncio.Future[fleet_pb2.WithdrawReply],
) -> bool:
    if not withdrawal.done() or withdrawal.exception() is not None:
        return False
    return sending.is_withdrawn(withdrawal.result())
