"""Network between entries and dispatch processes."""

from __future__ import annotations

import asyncio
import random
import typing

from fuchsiacourse import errors
from fuchsiacourse import peers


class Network:
    """Processes by address, with losses and delays."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.processes_by_address: dict[str, typing.Any] = {}
        self.unreachable: set[str] = set()
        self.delay_s = (0.001, 0.001)
        self.unreachable_share = 0.0
        self.request_loss_share = 0.0
        self.reply_loss_share = 0.0
        self.reset_share = 0.0
        # Losses of the next calls by name: "unreachable", "request",
        # "reply" or "reset"; an empty text loses nothing.
        self.losses_by_call: dict[str, list[str]] = {}
        self.calls: list[tuple[str, str]] = []

    async def call(
        self, address: str, name: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Calls a process; what it does goes on if the call ends."""
        self.calls.append((name, address))
        loss = self._loss(name)
        if loss == "unreachable" or address in self.unreachable:
            raise errors.PeerUnreachable(address)
        try:
            async with asyncio.timeout(timeout_s):
                await self._leg(loss == "request")
                copy = type(request).FromString(request.SerializeToString())
                process = self.processes_by_address[address]
                call = asyncio.ensure_future(getattr(process, name)(copy))
                if loss == "reset":
                    # The request has arrived; its connection breaks soon.
                    await self._leg(False)
                    raise errors.PeerOutcomeUnknown(address)
                reply = await asyncio.shield(call)
                await self._leg(loss == "reply")
                return type(reply).FromString(reply.SerializeToString())
        except TimeoutError:
            raise errors.PeerOutcomeUnknown(address) from None

    async def _leg(self, is_lost: bool) -> None:
        await asyncio.sleep(self._rng.uniform(*self.delay_s))
        if is_lost:
            await asyncio.sleep(3600)

    def _loss(self, name: str) -> str:
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
    """One process's calls over the network."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def execute(self, address, request, *, timeout_s):
        """Calls a dispatch process."""
        return await self._network.call(address, "execute", request, timeout_s)

    async def withdraw(self, address, request, *, timeout_s):
        """Calls a dispatch process."""
        return await self._network.call(
            address, "withdraw", request, timeout_s
        )

    async def relay(self, address, request, *, timeout_s):
        """Calls an entry."""
        return await self._network.call(address, "relay", request, timeout_s)

    async def hand_over(self, address, request, *, timeout_s):
        """Calls an entry."""
        return await self._network.call(
            address, "hand_over", request, timeout_s
        )

    async def fetch_config(self, address, request, *, timeout_s):
        """Not used by entries."""
        raise NotImplementedError
