"""gRPC server for the calls of other processes of the fleet."""

from __future__ import annotations

import asyncio
import typing

import grpclib.server

from fuchsiacourse import fleet_grpc

Handler = typing.Callable[[typing.Any], typing.Awaitable[typing.Any]]


async def _serve(
    stream: grpclib.server.Stream[typing.Any, typing.Any], handler: Handler
) -> None:
    request = await stream.recv_message()
    if request is None:
        return
    # A disconnect of the calling peer cancels this coroutine. The handler
    # must go on, because it would be unknown whether a cancelled booking has
    # run.
    reply = await asyncio.shield(
        asyncio.ensure_future(typing.cast(typing.Coroutine, handler(request)))
    )
    await stream.send_message(reply)


class _Dispatch(fleet_grpc.DispatchRpcBase):
    def __init__(self, *, execute: Handler, withdraw: Handler) -> None:
        self._execute = execute
        self._withdraw = withdraw

    async def Execute(self, stream: typing.Any) -> None:
        await _serve(stream, self._execute)

    async def Withdraw(self, stream: typing.Any) -> None:
        await _serve(stream, self._withdraw)


class _Entry(fleet_grpc.EntryRpcBase):
    def __init__(self, *, relay: Handler, hand_over: Handler) -> None:
        self._relay = relay
        self._hand_over = hand_over

    async def Relay(self, stream: typing.Any) -> None:
        await _serve(stream, self._relay)

    async def HandOver(self, stream: typing.Any) -> None:
        await _serve(stream, self._hand_over)


class _Config(fleet_grpc.ConfigRpcBase):
    def __init__(self, *, fetch: Handler) -> None:
        self._fetch = fetch

    async def Fetch(self, stream: typing.Any) -> None:
        await _serve(stream, self._fetch)


class _Burn(fleet_grpc.BurnRpcBase):
    def __init__(self, *, report: Handler) -> None:
        self._report = report

    async def Report(self, stream: typing.Any) -> None:
        await _serve(stream, self._report)


class GrpcServer:
    """Serves the calls of other processes.

    Args:
        address: Address to listen on, ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._services: list[typing.Any] = []
        self._server: grpclib.server.Server | None = None

    def add_dispatch(self, *, execute: Handler, withdraw: Handler) -> None:
        """Adds the service of a dispatch process."""
        self._services.append(_Dispatch(execute=execute, withdraw=withdraw))

    def add_entry(self, *, relay: Handler, hand_over: Handler) -> None:
        """Adds the service of an entry process."""
        self._services.append(_Entry(relay=relay, hand_over=hand_over))

    def add_config(self, *, fetch: Handler) -> None:
        """Adds the service of the configuration agent."""
        self._services.append(_Config(fetch=fetch))

    def add_burn(self, *, report: Handler) -> None:
        """Adds the service of a burn collector."""
        self._services.append(_Burn(report=report))

    async def start(self) -> None:
        """Starts listening."""
        ip, _, port = self._address.rpartition(":")
        self._server = grpclib.server.Server(self._services)
        await self._server.start(ip, int(port))

    async def stop(self) -> None:
        """Closes the listener and the connections."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()
