"""Tests of the UDP endpoint on the loopback interface."""

import asyncio
import unittest

from fuchsiacourse import udp_endpoint


class UdpEndpointTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams must arrive unaltered, and failures must not raise."""

    async def test_datagram_arrives_with_the_sender_address(self):
        """Guards against an altered payload or sender address."""
        one = udp_endpoint.UdpEndpoint(address="127.0.0.1:0")
        other = udp_endpoint.UdpEndpoint(address="127.0.0.1:0")
        await one.open()
        await other.open()
        received = asyncio.get_running_loop().create_future()
        other.set_receiver(lambda *pair: received.set_result(pair))
        one.send(other.address, b"\0payload")
        pair = await asyncio.wait_for(received, 5)
        self.assertEqual((one.address, b"\0payload"), pair)
        one.close()
        other.close()

    async def test_send_never_raises(self):
        """Guards against an invalid address that raises in a timer."""
        one = udp_endpoint.UdpEndpoint(address="127.0.0.1:0")
        one.send("127.0.0.1:9", b"before open")
        await one.open()
        for address in ("127.0.0.1:99999", "999.1.1.1:5", "127.0.0.1:1"):
            one.send(address, b"payload")
        received = asyncio.get_running_loop().create_future()
        one.set_receiver(lambda *pair: received.set_result(pair))
        one.send(one.address, b"still open")
        await asyncio.wait_for(received, 5)
        one.close()
        one.send("127.0.0.1:9", b"after close")
