"""Open-loop load generator."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import random
import typing

import aiohttp

from fuchsiacourse import arrival_profile
from fuchsiacourse import clock as clocks
from fuchsiacourse import load_mix
from fuchsiacourse import load_result
from fuchsiacourse import retrying_caller
from fuchsiacourse import verdict as verdicts

# Bound on the connections of all callers together.
MAX_CONNECTIONS = 500
# Keeps the random interval between arrivals finite at a rate of 0.
MIN_RATE_PER_S = 0.001

Progress = typing.Callable[[int, int], None]


class LoadCall:
    """A finished request of a run, to compare with the targets' records.

    Args:
        item: Request kind.
        body: Body of the request; unique unless empty.
        result: Final answer and verdict.
    """

    __slots__ = ("item", "body", "result")

    def __init__(
        self,
        *,
        item: load_mix.LoadItem,
        body: bytes,
        result: retrying_caller.CallResult,
    ) -> None:
        self.item = item
        self.body = body
        self.result = result


class LoadRun:
    """Sends requests at the rate of a profile, independently of answers.

    Latency counts from the scheduled time of a request rather than from
    when it was sent, so that a slow fleet can't hide its delays by slowing
    down the load generator (coordinated omission).

    Args:
        addresses: Entries from which callers get their address lists.
        profile: Arrival rate over time.
        mix: Request kinds.
        clock: Source of time.
        rng: Source of randomness.
        accounts: Number of client accounts that share the load.
        on_progress: Called with the numbers of sent and finished requests.
    """

    def __init__(
        self,
        *,
        addresses: collections.abc.Sequence[str],
        profile: arrival_profile.ArrivalProfile,
        mix: load_mix.LoadMix,
        clock: clocks.Clock,
        rng: random.Random,
        accounts: int = 4,
        on_progress: Progress | None = None,
    ) -> None:
        self._addresses = addresses
        self._profile = profile
        self._mix = mix
        self._clock = clock
        self._rng = rng
        self._accounts = accounts
        self._on_progress = on_progress
        self._sent = 0
        self._finished = 0
        self.result = load_result.LoadResult()
        self.calls: list[LoadCall] = []

    async def run(self) -> load_result.LoadResult:
        """Sends the load, waits for all answers and returns the result."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            callers = [
                self._make_caller(session, number)
                for number in range(self._accounts)
            ]
            async with asyncio.TaskGroup() as group:
                await self._send_all(group, callers)
        return self.result

    def _make_caller(
        self, session: aiohttp.ClientSession, number: int
    ) -> retrying_caller.RetryingCaller:
        return retrying_caller.RetryingCaller(
            session=session,
            start_addresses=self._addresses,
            account=f"load-{number}",
            clock=self._clock,
            rng=self._rng,
        )

    async def _send_all(
        self,
        group: asyncio.TaskGroup,
        callers: list[retrying_caller.RetryingCaller],
    ) -> None:
        begin = self._clock.now()
        due = begin
        while due - begin < self._profile.length_s:
            rate = max(self._profile.rate(due - begin), MIN_RATE_PER_S)
            due += self._rng.expovariate(rate)
            delay_s = due - self._clock.now()
            if delay_s > 0:
                await self._clock.sleep(delay_s)
            group.create_task(
                self._send(
                    self._rng.choice(callers), self._mix.choose(self._rng), due
                )
            )
            self._sent += 1
            self._report()

    async def _send(
        self,
        caller: retrying_caller.RetryingCaller,
        item: load_mix.LoadItem,
        due: float,
    ) -> None:
        kind = item.kind
        body = b""
        if kind.method in ("POST", "PUT", "PATCH"):
            body = json.dumps({"item": self._rng.getrandbits(64)}).encode()
        call = await caller.send(
            kind.method,
            kind.path_prefix,
            body=body,
            deadline_ms=kind.deadline_ms,
            is_idempotent=kind.idempotent,
        )
        latency_s = self._clock.now() - due
        self.result.kind(item.name).add(
            latency_s=latency_s,
            verdict=call.verdict.value,
            is_good=call.verdict is verdicts.Verdict.RAN
            and call.status < 400
            and latency_s <= kind.deadline_ms / 1000,
            worth=kind.worth,
            status=call.status,
            retry_after_s=call.retry_after_s,
        )
        self.result.retries += call.attempts - 1
        self.calls.append(LoadCall(item=item, body=body, result=call))
        self._finished += 1
        self._report()

    def _report(self) -> None:
        if self._on_progress is not None:
            self._on_progress(self._sent, self._finished)
