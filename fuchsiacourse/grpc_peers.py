"""Client that calls other processes of the fleet over gRPC."""

from __future__ import annotations

import asyncio
import typing

import grpclib.client
import grpclib.exceptions

from fuchsiacourse import burn_peers
from fuchsiacourse import errors
from fuchsiacourse import fleet_grpc
from fuchsiacourse import fleet_pb2
from fuchsiacourse import peers

# A peer in another region is 8 ms away; 1 s also covers a lost SYN packet.
CONNECT_TIMEOUT_S = 1.0

_CALL_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
)


class GrpcPeers(peers.Peers, burn_peers.BurnPeers):
    """Calls peers over one HTTP/2 connection for each address."""

    __slots__ = ("_channels_by_address",)

    def __init__(self) -> None:
        self._channels_by_address: dict[str, grpclib.client.Channel] = {}

    async def execute(
        self,
        address: str,
        request: fleet_pb2.ExecuteRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.ExecuteReply:
        """Asks a dispatch process to run a request."""
        stub = fleet_grpc.DispatchRpcStub(self._channel(address))
        return await self._call(stub.Execute, request, timeout_s)

    async def withdraw(
        self,
        address: str,
        request: fleet_pb2.WithdrawRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.WithdrawReply:
        """Asks a dispatch process to withdraw a queued request."""
        stub = fleet_grpc.DispatchRpcStub(self._channel(address))
        return await self._call(stub.Withdraw, request, timeout_s)

    async def relay(
        self,
        address: str,
        request: fleet_pb2.RelayRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.RelayReply:
        """Relays a keyed request to the entry that owns its key."""
        stub = fleet_grpc.EntryRpcStub(self._channel(address))
        return await self._call(stub.Relay, request, timeout_s)

    async def hand_over(
        self,
        address: str,
        request: fleet_pb2.HandOverRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.HandOverReply:
        """Sends one part of a ledger to a successor."""
        stub = fleet_grpc.EntryRpcStub(self._channel(address))
        return await self._call(stub.HandOver, request, timeout_s)

    async def report_burn(
        self,
        address: str,
        report: fleet_pb2.BurnReport,
        *,
        timeout_s: float,
    ) -> fleet_pb2.BurnAck:
        """Sends the counters of answers to a burn collector."""
        stub = fleet_grpc.BurnRpcStub(self._channel(address))
        return await self._call(stub.Report, report, timeout_s)

    async def fetch_config(
        self,
        address: str,
        request: fleet_pb2.FetchRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.FetchReply:
        """Fetches a manifest or service bodies from a peer."""
        stub = fleet_grpc.ConfigRpcStub(self._channel(address))
        return await self._call(stub.Fetch, request, timeout_s)

    def close(self) -> None:
        """Closes all connections."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    def forget(self, address: str) -> None:
        """Closes the connection to a peer that has left or is dead."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def _channel(self, address: str) -> grpclib.client.Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            ip, _, port = address.rpartition(":")
            channel = grpclib.client.Channel(ip, int(port))
            self._channels_by_address[address] = channel
        return channel

    async def _call(
        self,
        method: grpclib.client.UnaryUnaryMethod,
        request: typing.Any,
        timeout_s: float,
    ) -> typing.Any:
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s):
                async with method.open() as stream:
                    # A peer can't act on headers without a message, so a
                    # failure of this call proves that nothing was run.
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await stream.send_request()
                    is_sent = True
                    await stream.send_message(request, end=True)
                    reply = await stream.recv_message()
        except _CALL_ERRORS as error:
            raise _peer_error(error, is_sent) from error
        if reply is None:
            raise errors.PeerOutcomeUnknown(
                "peer ended the call without a reply"
            )
        return reply


def _peer_error(error: Exception, is_sent: bool) -> errors.PeerError:
    reason = f"{type(error).__name__}: {error}"
    if is_sent:
        return errors.PeerOutcomeUnknown(reason)
    return errors.PeerUnreachable(reason)
