"""Execute call of an entry to a dispatch process."""

from __future__ import annotations

from fuchsiacourse import body_digest
from fuchsiacourse import execution as executions
from fuchsiacourse import fleet_pb2


class DispatchCall:
    """Destination and identifier of one Execute call.

    Args:
        address: RPC address of the dispatch process.
        member_id: Its member id; empty if it is not known.
        region: Region of the shard.
        hops: Number of redirections that led to this process.
        request_id: Identifier of this call; each call has its own.

    Attributes:
        sent_at: Monotonic time in seconds at which the call was made.
    """

    __slots__ = (
        "address",
        "member_id",
        "region",
        "hops",
        "request_id",
        "sent_at",
    )

    def __init__(
        self,
        *,
        address: str,
        member_id: str,
        region: str,
        hops: int,
        request_id: str,
    ) -> None:
        self.address = address
        self.member_id = member_id
        self.region = region
        self.hops = hops
        self.request_id = request_id
        self.sent_at = 0.0

    def to_execute_request(
        self, execution: executions.Execution, remaining_s: float
    ) -> fleet_pb2.ExecuteRequest:
        """Returns the Execute message of the call.

        Args:
            execution: The request.
            remaining_s: Seconds until the request's deadline.
        """
        request = execution.request
        return fleet_pb2.ExecuteRequest(
            request_id=self.request_id,
            service=execution.service,
            kind=execution.route.kind.name,
            region=self.region,
            method=request.method,
            path=request.full_path,
            headers=[
                fleet_pb2.Header(name=name, value=value)
                for name, value in request.headers
            ],
            body=request.body,
            deadline_ms=max(1, int(remaining_s * 1000)),
            attempt=request.attempt,
            fingerprint=request.fingerprint,
            hops=self.hops,
            caller=request.account,
        )

    def to_withdraw_request(
        self, execution: executions.Execution
    ) -> fleet_pb2.WithdrawRequest:
        """Returns the message that withdraws the call."""
        return fleet_pb2.WithdrawRequest(
            request_id=self.request_id,
            service=execution.service,
            region=self.region,
        )

    def is_whole(self, reply: fleet_pb2.ExecuteReply) -> bool:
        """Whether a reply belongs to this call and is complete.

        The body digest is checked for answers of requests that ran.
        """
        if reply.request_id != self.request_id:
            return False
        if reply.verdict != fleet_pb2.RAN or reply.refusal:
            return True
        return reply.body_digest == body_digest.digest(reply.body)

    def is_withdrawn(self, reply: fleet_pb2.WithdrawReply) -> bool:
        """Whether a reply proves that the call won't run the request."""
        return (
            reply.request_id == self.request_id
            and reply.outcome == "withdrawn"
        )
