"""Tests of the gRPC client and server over loopback."""

import asyncio
import socket
import unittest

from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import grpc_peers
from fuchsiacourse import grpc_server

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1


def free_address() -> str:
    """Returns a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class GrpcPeersTest(unittest.IsolatedAsyncioTestCase):
    """The error class of a call determines the verdict for the caller."""

    async def asyncSetUp(self) -> None:
        self.address = free_address()
        self.finished: list[str] = []
        self.release = asyncio.Event()
        self.release.set()
        self.server = grpc_server.GrpcServer(address=self.address)
        self.server.add_dispatch(execute=self.execute, withdraw=self.execute)
        self.peers = grpc_peers.GrpcPeers()

    async def asyncTearDown(self) -> None:
        self.peers.close()
        await self.server.stop()

    async def execute(
        self, request: fleet_pb2.ExecuteRequest
    ) -> fleet_pb2.ExecuteReply:
        await self.release.wait()
        self.finished.append(request.request_id)
        return fleet_pb2.ExecuteReply(request_id=request.request_id)

    async def call(self, timeout_s: float) -> fleet_pb2.ExecuteReply:
        request = fleet_pb2.ExecuteRequest(request_id="r1", body=b"x" * 200000)
        return await self.peers.execute(
            self.address, request, timeout_s=timeout_s
        )

    async def test_reply_is_returned(self):
        """Guards against a reply that doesn't reach the client."""
        await self.server.start()
        reply = await self.call(TIMEOUT_S)
        self.assertEqual("r1", reply.request_id)

    async def test_refused_connection_proves_nothing_was_sent(self):
        """Guards against MAY_HAVE_RUN when the peer is down."""
        with self.assertRaises(errors.PeerUnreachable):
            await self.call(TIMEOUT_S)

    async def test_timeout_after_sending_is_outcome_unknown(self):
        """Guards against NOT_RUN for a request that is still running."""
        self.release.clear()
        await self.server.start()
        with self.assertRaises(errors.PeerOutcomeUnknown):
            await self.call(SHORT_TIMEOUT_S)
        self.release.set()
        await asyncio.sleep(0)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.finished:
                await asyncio.sleep(0)
        self.assertEqual(["r1"], self.finished)
