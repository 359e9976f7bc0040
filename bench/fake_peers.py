"""In-memory calls between processes, with simulated network faults."""

from __future__ import annotations

import asyncio
import collections.abc
import functools
import typing

from bench import fake_links
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import peers

CONNECT_TIMEOUT_S = 1.0

# Share of the failures that the caller detects by a reset connection instead
# of by its timeout.
RESET_SHARE = 0.5

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class CallInFlight:
    """Call that has been sent and not completed.

    Args:
        source: IP address of the caller.
        address: Address that is called.
        name: Name of the handler.
        reply: Future of the reply or an error.
    """

    __slots__ = ("source", "address", "name", "reply", "task", "may_duplicate")

    def __init__(
        self,
        *,
        source: str,
        address: str,
        name: str,
        reply: asyncio.Future[typing.Any],
    ) -> None:
        self.source = source
        self.address = address
        self.name = name
        self.reply = reply
        self.task: asyncio.Task[typing.Any] | None = None
        self.may_duplicate = False

    @property
    def is_running(self) -> bool:
        """Whether the handler runs and the caller still waits."""
        if self.task is None or self.task.done():
            return False
        return not self.reply.done()

    def fail(self) -> None:
        """Fails the call as a broken connection does."""
        if not self.reply.done():
            self.reply.set_exception(errors.PeerOutcomeUnknown(self.address))


class FakeNetwork:
    """Delivers calls between processes that register handlers.

    Args:
        links: Conditions of the links, shared with the datagram network.
    """

    def __init__(self, *, links: fake_links.FakeLinks) -> None:
        self.links = links
        self._rng = links.rng
        self._handlers_by_address: dict[str, dict[str, Handler]] = {}
        self._connected: set[tuple[str, str]] = set()
        # An ordered dict, so that runs are reproducible.
        self._in_flight: dict[CallInFlight, None] = {}

    def register(self, address: str, **handlers: Handler) -> None:
        """Registers the handlers of an address.

        Args:
            address: Address as ``ip:port``.
            **handlers: Coroutine functions by the name of the call; each
                takes the request and returns the reply.
        """
        self._handlers_by_address[address] = handlers

    def close(self, address: str) -> list[str]:
        """Closes a listener; returns the names of running calls it ended."""
        self._handlers_by_address.pop(address, None)
        cut_off = []
        for call in list(self._in_flight):
            if call.address == address:
                if call.is_running:
                    cut_off.append(call.name)
                call.fail()
        return cut_off

    def kill(self, ip: str) -> None:
        """Kills a process; RESET_SHARE of its callers detect it at once."""
        self.links.gate(ip).kill()
        for address in list(self._handlers_by_address):
            if fake_links.ip_of(address) == ip:
                del self._handlers_by_address[address]
        for call in list(self._in_flight):
            if fake_links.ip_of(call.address) == ip:
                if self._rng.random() < RESET_SHARE:
                    call.fail()

    async def call(
        self,
        source: str,
        address: str,
        name: str,
        request: typing.Any,
        *,
        timeout_s: float,
        may_duplicate: bool = False,
    ) -> typing.Any:
        """Calls a handler of a process and returns its reply.

        Args:
            source: IP address of the caller.
            address: Address to call.
            name: Name of the handler.
            request: Protobuf request, or another object to pass.
            timeout_s: Seconds to wait for the reply.
            may_duplicate: Whether the link's duplication applies. The
                connection of a caller never delivers a request twice.

        Raises:
            PeerUnreachable: Nothing was sent.
            PeerOutcomeUnknown: The request was sent and no reply arrived.
        """
        gate = self.links.gate(source)
        await gate.wait_until_running()
        loop = asyncio.get_running_loop()
        due_s = loop.time() + timeout_s
        try:
            await self._connect(source, address, timeout_s)
            # The process may be paused between connecting and sending.
            await gate.wait_until_running()
            call = CallInFlight(
                source=source,
                address=address,
                name=name,
                reply=loop.create_future(),
            )
            call.may_duplicate = may_duplicate
            return await self._exchange(call, request, due_s)
        finally:
            await gate.wait_until_running()

    async def _connect(
        self, source: str, address: str, timeout_s: float
    ) -> None:
        pair = source, address
        ip = fake_links.ip_of(address)
        is_served = address in self._handlers_by_address
        is_killed = self.links.gate(ip).is_killed
        if pair in self._connected:
            if is_served and not is_killed:
                return
            self._connected.discard(pair)
            if self._rng.random() > RESET_SHARE:
                # The caller has not detected the closed connection yet.
                return
        there = self.links.link(source, ip)
        back = self.links.link(ip, source)
        if there.is_cut or back.is_cut or is_killed:
            # A host that is gone times out instead of refusing connections.
            await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise errors.PeerUnreachable(address)
        await asyncio.sleep(there.delay_s + back.delay_s)
        if not is_served:
            raise errors.PeerUnreachable(address)
        self._connected.add(pair)

    async def _exchange(
        self, call: CallInFlight, request: typing.Any, due_s: float
    ) -> typing.Any:
        loop = asyncio.get_running_loop()
        self._in_flight[call] = None
        try:
            self._send(call, request)
            await asyncio.wait(
                [call.reply], timeout=max(0.0, due_s - loop.time())
            )
            if not call.reply.done():
                raise errors.PeerOutcomeUnknown(call.address)
            return call.reply.result()
        finally:
            del self._in_flight[call]
            if not call.reply.done():
                call.reply.cancel()
                self._send_cancellation(call)

    def _send(self, call: CallInFlight, request: typing.Any) -> None:
        ip = fake_links.ip_of(call.address)
        delays = self.links.delivery_delays(call.source, ip)
        if not delays:
            self._lose(call)
        if not call.may_duplicate:
            delays = delays[:1]
        for number, delay_s in enumerate(delays):
            arrive = functools.partial(
                self._arrive, call, _copied(request), number == 0
            )
            asyncio.get_running_loop().call_later(
                delay_s,
                functools.partial(
                    self.links.gate(ip).deliver, arrive, is_datagram=False
                ),
            )

    def _arrive(
        self, call: CallInFlight, request: typing.Any, is_first: bool
    ) -> None:
        handlers = self._handlers_by_address.get(call.address)
        if handlers is None or call.name not in handlers:
            call.fail()
            return
        task = asyncio.ensure_future(handlers[call.name](request))
        if is_first:
            call.task = task
            task.add_done_callback(functools.partial(self._reply, call))
        else:
            task.add_done_callback(_retrieve_error)

    def _reply(
        self, call: CallInFlight, task: asyncio.Task[typing.Any]
    ) -> None:
        _retrieve_error(task)
        if call.reply.done():
            return
        ip = fake_links.ip_of(call.address)
        delays = self.links.delivery_delays(ip, call.source)
        if not delays:
            self._lose(call)
            return
        if task.cancelled() or task.exception() is not None:
            finish = call.fail
        else:
            finish = functools.partial(_finish, call, _copied(task.result()))
        asyncio.get_running_loop().call_later(delays[0], finish)

    def _lose(self, call: CallInFlight) -> None:
        if self._rng.random() < RESET_SHARE:
            asyncio.get_running_loop().call_later(
                self._rng.random(), call.fail
            )

    def _send_cancellation(self, call: CallInFlight) -> None:
        """Cancels the handler, as a stream reset does."""
        ip = fake_links.ip_of(call.address)
        for delay_s in self.links.delivery_delays(call.source, ip)[:1]:
            cancel = functools.partial(
                self.links.gate(ip).deliver,
                functools.partial(_cancel, call),
                is_datagram=False,
            )
            asyncio.get_running_loop().call_later(delay_s, cancel)


class FakePeers(peers.Peers):
    """Calls of one process over a fake network.

    Args:
        network: Network of all processes.
        source: IP address of the process.
    """

    __slots__ = ("_network", "_source")

    def __init__(self, *, network: FakeNetwork, source: str) -> None:
        self._network = network
        self._source = source

    async def execute(
        self,
        address: str,
        request: fleet_pb2.ExecuteRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.ExecuteReply:
        """Sends a request to a dispatch process."""
        return await self._call(address, "execute", request, timeout_s)

    async def withdraw(
        self,
        address: str,
        request: fleet_pb2.WithdrawRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.WithdrawReply:
        """Asks a dispatch process to withdraw a queued request."""
        return await self._call(address, "withdraw", request, timeout_s)

    async def relay(
        self,
        address: str,
        request: fleet_pb2.RelayRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.RelayReply:
        """Sends a keyed request to the entry that issued its key."""
        return await self._call(address, "relay", request, timeout_s)

    async def hand_over(
        self,
        address: str,
        request: fleet_pb2.HandOverRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.HandOverReply:
        """Hands a part of a ledger to a successor."""
        return await self._call(address, "hand_over", request, timeout_s)

    async def fetch_config(
        self,
        address: str,
        request: fleet_pb2.FetchRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.FetchReply:
        """Fetches a manifest or service bodies from a peer."""
        return await self._call(address, "fetch_config", request, timeout_s)

    async def _call(
        self, address: str, name: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        return await self._network.call(
            self._source,
            address,
            name,
            request,
            timeout_s=timeout_s,
            may_duplicate=True,
        )


def _copied(message: typing.Any) -> typing.Any:
    """Returns a message as received over the network.

    Protobuf messages are serialized and parsed; other objects are shared.
    """
    if not hasattr(message, "SerializeToString"):
        return message
    return type(message).FromString(message.SerializeToString())


def _finish(call: CallInFlight, reply: typing.Any) -> None:
    if not call.reply.done():
        call.reply.set_result(reply)


def _cancel(call: CallInFlight) -> None:
    if call.task is not None:
        call.task.cancel()


def _retrieve_error(task: asyncio.Task[typing.Any]) -> None:
    # Reading the error keeps asyncio from logging it.
    if not task.cancelled():
        task.exception()
