"""In-memory network between entries and dispatch processes."""

from __future__ import annotations

import asyncio
import random
import typing

from fuchsiacourse import errors
from fuchsiacourse import peers


class Network:
    """Delivers calls to processes by address, with losses and delays.

    Args:
        rng: Source of randomness.

    Attributes:
        processes_by_address: Processes by RPC address.
        unreachable: Addresses of processes that can't be reached.
        delay_s: Shortest and longest delay of a message in seconds.
        unreachable_share: Share of calls that aren't sent.
        request_loss_share: Share of calls whose request is lost.
        reply_loss_share: Share of calls whose reply is lost.
        reset_share: Share of calls whose connection breaks after the
            request has arrived.
        losses_by_call: Losses of the next calls by name of the call:
            "unreachable", "request", "reply" or "reset"; an empty string
            loses nothing.
        calls: Name and address of all calls, in order.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.processes_by_address: dict[str, typing.Any] = {}
        self.unreachable: set[str] = set()
        self.delay_s = (0.001, 0.001)
        self.unreachable_share = 0.0
        self.request_loss_share = 0.0
        self.reply_loss_share = 0.0
        self.reset_share = 0.0
        self.losses_by_call: dict[str, list[str]] = {}
        self.calls: list[tuple[str, str]] = []

    async def call(
        self, address: str, name: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Calls a process, which goes on if the call is cancelled.

        Args:
            address: RPC address of the process.
            name: Name of its method.
            request: Message to send.
            timeout_s: Seconds until the call fails.

        Raises:
            PeerUnreachable: The request was not sent.
            PeerOutcomeUnknown: The request or its reply was lost.
        """
        self.calls.append((name, address))
        loss = self._next_loss(name)
        if loss == "unreachable" or address in self.unreachable:
            raise errors.PeerUnreachable(address)
        try:
            async with asyncio.timeout(timeout_s):
                await self._transmit(loss == "request")
                copy = type(request).FromString(request.SerializeToString())
                process = self.processes_by_address[address]
                call = asyncio.ensure_future(getattr(process, name)(copy))
                if loss == "reset":
                    # The request has arrived; then the connection breaks.
                    await self._transmit(False)
                    raise errors.PeerOutcomeUnknown(address)
                reply = await asyncio.shield(call)
                await self._transmit(loss == "reply")
                return type(reply).FromString(reply.SerializeToString())
        except TimeoutError:
            raise errors.PeerOutcomeUnknown(address) from None

    async def _transmit(self, is_lost: bool) -> None:
        await asyncio.sleep(self._rng.uniform(*self.delay_s))
        if is_lost:
            # Longer than the timeout of any call.
            await asyncio.sleep(3600)

    def _next_loss(self, name: str) -> str:
        pending = self.losses_by_call.get(name)
        if pending:
            return pending.pop(0)
        draw = self._rng.random()
        for loss, share in (
            ("unreachable", self.unreachable_share),
            ("request", self.request_loss_share),
            ("reply", self.reply_loss_share),
            ("reset", self.reset_share),
        ):
            if draw < share:
                return loss
            draw -= share
        return ""


class NetworkPeers(peers.Peers):
    """Client of one process that calls peers over the network."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def execute(self, address, request, *, timeout_s):
        """Asks a dispatch process to run a request."""
        return await self._network.call(address, "execute", request, timeout_s)

    async def withdraw(self, address, request, *, timeout_s):
        """Asks a dispatch process to withdraw a request."""
        return await self._network.call(
            address, "withdraw", request, timeout_s
        )

    async def relay(self, address, request, *, timeout_s):
        """Relays a keyed request to an entry."""
        return await self._network.call(address, "relay", request, timeout_s)

    async def hand_over(self, address, request, *, timeout_s):
        """Sends one part of a ledger to an entry."""
        return await self._network.call(
            address, "hand_over", request, timeout_s
        )

    async def fetch_config(self, address, request, *, timeout_s):
        """Not used by entries."""
        raise NotImplementedError
