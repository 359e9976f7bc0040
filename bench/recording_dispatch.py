"""Fake dispatch process that records the requests it runs."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from fuchsiacourse import body_digest
from fuchsiacourse import fleet_pb2


class FakeDispatch:
    """Dispatch process that records its runs independently of the ledger.

    A request waits ``queue_s``, runs for ``run_s`` and is answered with
    its own body.

    Args:
        rng: Source of randomness.

    Attributes:
        queue_s: Shortest and longest wait in the queue in seconds.
        run_s: Shortest and longest run in seconds.
        refusals: Refusals of the next requests, in order.
        refusal_share: Share of the other requests that are refused.
        owner: Address that refusals name as the owner.
        status: HTTP status of the answers.
        corrupt: Changes each reply before it is sent; None for no change.
        runs_by_body: Number of runs by request body.
        requests: All requests received, in order.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.queue_s = (0.0, 0.0)
        self.run_s = (0.02, 0.02)
        self.refusals: list[str] = []
        self.refusal_share = 0.0
        self.owner = ""
        self.status = 200
        self.corrupt: typing.Callable[[typing.Any], None] | None = None
        self.runs_by_body: collections.Counter[bytes] = collections.Counter()
        self.requests: list[fleet_pb2.ExecuteRequest] = []
        self._state_by_id: dict[str, str] = {}

    async def execute(
        self, request: fleet_pb2.ExecuteRequest
    ) -> fleet_pb2.ExecuteReply:
        """Runs a request, at most once for each identifier."""
        self.requests.append(request)
        known = self._state_by_id.get(request.request_id)
        if known == "withdrawn":
            return self._refuse(request, "withdrawn")
        if known is not None:
            return self._refuse(request, "duplicate")
        refusal = self._next_refusal()
        if refusal:
            return self._refuse(request, refusal)
        self._state_by_id[request.request_id] = "queued"
        await asyncio.sleep(self._rng.uniform(*self.queue_s))
        if self._state_by_id[request.request_id] == "withdrawn":
            return self._refuse(request, "withdrawn")
        self._state_by_id[request.request_id] = "started"
        self.runs_by_body[request.body] += 1
        await asyncio.sleep(self._rng.uniform(*self.run_s))
        reply = fleet_pb2.ExecuteReply(
            request_id=request.request_id,
            verdict=fleet_pb2.RAN,
            status=self.status,
            body=request.body,
            body_digest=body_digest.digest(request.body),
        )
        if self.corrupt is not None:
            self.corrupt(reply)
        return reply

    async def withdraw(
        self, request: fleet_pb2.WithdrawRequest
    ) -> fleet_pb2.WithdrawReply:
        """Withdraws a request that has not started."""
        outcome = self._state_by_id.get(request.request_id, "queued")
        if outcome != "started":
            outcome = "withdrawn"
            self._state_by_id[request.request_id] = outcome
        return fleet_pb2.WithdrawReply(
            request_id=request.request_id, outcome=outcome
        )

    def _next_refusal(self) -> str:
        if self.refusals:
            return self.refusals.pop(0)
        if self._rng.random() < self.refusal_share:
            return self._rng.choice(
                ["draining", "overload", "no_target", "not_owner"]
            )
        return ""

    def _refuse(
        self, request: fleet_pb2.ExecuteRequest, refusal: str
    ) -> fleet_pb2.ExecuteReply:
        return fleet_pb2.ExecuteReply(
            request_id=request.request_id,
            verdict=fleet_pb2.NOT_RUN,
            refusal=refusal,
            owner=self.owner,
            retry_after_ms=100,
        )
