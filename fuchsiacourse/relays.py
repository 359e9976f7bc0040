"""Relays of keyed requests to the entries that own their keys."""

from __future__ import annotations

import typing

from fuchsiacourse import body_digest
from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import executor
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import peers as peer_ports
from fuchsiacourse import problem
from fuchsiacourse import verdict as verdicts

# The longest path is the first entry, the stopped issuer, its successor,
# and the successor's own successor before gossip has announced it.
MAX_HOPS = 3
# Maximum length of a chain of successors in the member table; it ends the
# search if the chain is a loop.
_MAX_SUCCESSORS = 64
# The issuer withdraws the request at its deadline before it replies.
_REPLY_GRACE_S = 2 * executor.WITHDRAW_TIMEOUT_S

_VERDICT_BY_WIRE = {
    fleet_pb2.NOT_RUN: verdicts.Verdict.NOT_RUN,
    fleet_pb2.RAN: verdicts.Verdict.RAN,
    fleet_pb2.MAY_HAVE_RUN: verdicts.Verdict.MAY_HAVE_RUN,
}
_WIRE_BY_VERDICT = {
    verdict: wire for wire, verdict in _VERDICT_BY_WIRE.items()
}


class Relays:
    """Relays keyed requests to other entries, without retries.

    Args:
        clock: Source of time.
        members: Member table.
        peers: Client for calls to other entries.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        members: member_tables.Members,
        peers: peer_ports.Peers,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._log = log
        self._relay_count = 0

    async def send(
        self,
        request: caller_request.CallerRequest,
        *,
        issuer: str,
        deadline_at: float,
        hops: int,
    ) -> caller_request.CallerAnswer:
        """Sends a request to the process that owns its key.

        Args:
            request: The request.
            issuer: Incarnation that issued or claimed the key.
            deadline_at: Monotonic time of the deadline in seconds.
            hops: Number of relays that the request has passed.

        Returns:
            The answer of that process.

        Raises:
            RequestRefused: No answer arrived; the exception carries the
                verdict that is proven.
        """
        row = self.locate(issuer)
        if row is None:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                status=410,
                title="Issuer is gone",
                detail="No process that decides on this key is left.",
                offer_keys=True,
            )
        if hops >= MAX_HOPS:
            raise _unsent_refusal(request, row, 508, "Relay loop")
        remaining_s = deadline_at - self._clock.now()
        if remaining_s <= 0:
            raise _unsent_refusal(request, row, 504, "Deadline has passed")
        self._relay_count += 1
        message = _relay_message(request, issuer, remaining_s, hops + 1)
        message.relay_id = f"{self._members.self.id}-r{self._relay_count}"
        return await self._call(request, row, message, remaining_s)

    def locate(self, issuer: str) -> member_rows.Member | None:
        """Finds the process that owns an incarnation's keys.

        Args:
            issuer: Incarnation that issued or claimed the keys.

        Returns:
            Its row in the member table, or None if this process owns them
            or no usable process does.
        """
        row = self._members.by_id.get(issuer)
        for _ in range(_MAX_SUCCESSORS):
            if row is None or row.id == self._members.self.id:
                return None
            if row.successor:
                row = self._members.by_id.get(row.successor)
                continue
            return None if row.is_gone else row
        return None

    async def _call(
        self,
        request: caller_request.CallerRequest,
        row: member_rows.Member,
        message: fleet_pb2.RelayRequest,
        remaining_s: float,
    ) -> caller_request.CallerAnswer:
        try:
            reply = await self._peers.relay(
                row.rpc_address,
                message,
                timeout_s=remaining_s + _REPLY_GRACE_S,
            )
        except errors.PeerUnreachable:
            raise _unsent_refusal(
                request, row, 503, "Issuer is unreachable"
            ) from None
        except errors.PeerError as error:
            logs.warning(
                self._log, "relay_lost", issuer=row.id, reason=repr(error)
            )
            raise _lost_relay(row) from None
        if not _is_whole(message, reply):
            raise _lost_relay(row)
        return caller_request.CallerAnswer(
            status=reply.status,
            verdict=_VERDICT_BY_WIRE[reply.verdict],
            headers=[(item.name, item.value) for item in reply.headers],
            body=reply.body,
            is_refusal=_is_refusal(reply),
        )


def to_request(
    message: fleet_pb2.RelayRequest,
) -> caller_request.CallerRequest:
    """Returns the caller's request from a relay message."""
    path, _, query = message.path.partition("?")
    return caller_request.CallerRequest(
        method=message.method,
        path=path,
        query=query,
        headers=[(item.name, item.value) for item in message.headers],
        body=message.body,
        account=message.caller,
        key=message.key,
        attempt=message.attempt,
        request_id=message.caller_request_id,
        deadline_ms=message.deadline_ms,
    )


def to_reply(
    relay_id: str, answer: caller_request.CallerAnswer
) -> fleet_pb2.RelayReply:
    """Returns the reply to a relay that carries an answer."""
    return fleet_pb2.RelayReply(
        relay_id=relay_id,
        verdict=_WIRE_BY_VERDICT[answer.verdict],
        status=answer.status,
        headers=[
            fleet_pb2.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body=answer.body,
        body_digest=body_digest.digest(answer.body),
    )


def _relay_message(
    request: caller_request.CallerRequest,
    issuer: str,
    remaining_s: float,
    hops: int,
) -> fleet_pb2.RelayRequest:
    return fleet_pb2.RelayRequest(
        issuer=issuer,
        key=request.key,
        attempt=request.attempt,
        caller=request.account,
        caller_request_id=request.request_id,
        method=request.method,
        path=request.full_path,
        headers=[
            fleet_pb2.Header(name=name, value=value)
            for name, value in request.headers
        ],
        body=request.body,
        deadline_ms=max(1, int(remaining_s * 1000)),
        hops=hops,
    )


def _is_whole(
    message: fleet_pb2.RelayRequest, reply: fleet_pb2.RelayReply
) -> bool:
    return (
        reply.relay_id == message.relay_id
        and reply.verdict in _VERDICT_BY_WIRE
        and reply.status > 0
        and reply.body_digest == body_digest.digest(reply.body)
    )


def _is_refusal(reply: fleet_pb2.RelayReply) -> bool:
    return reply.verdict != fleet_pb2.RAN or any(
        item.name == "content-type" and item.value == problem.CONTENT_TYPE
        for item in reply.headers
    )


def _unsent_refusal(
    request: caller_request.CallerRequest,
    row: member_rows.Member,
    status: int,
    title: str,
) -> errors.RequestRefused:
    """Returns a refusal of a request that was not relayed."""
    return request.unsent_refusal(
        status,
        title,
        issuer=row.http_address,
        retry_after_s=1.0,
        offer_keys=True,
    )


def _lost_relay(row: member_rows.Member) -> errors.RequestRefused:
    return errors.RequestRefused(
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        status=502,
        title="Connection to the issuer was lost",
        issuer=row.http_address,
    )
