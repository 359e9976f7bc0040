"""Tests of the fault proxy between the processes of the fault soak."""

import asyncio
import unittest

from bench import fault_proxy

IP = "127.0.0.1"


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults with wrong effects or effects after healing."""

    async def asyncSetUp(self) -> None:
        async def echo(reader, writer):
            try:
                while data := await reader.read(100):
                    writer.write(data)
            except OSError:
                # The proxy resets the connection.
                writer.transport.abort()
            writer.close()

        self.server = await asyncio.start_server(echo, IP, 0)
        address = self.server.sockets[0].getsockname()
        self.proxy = fault_proxy.FaultProxy(ip=IP, server=address)
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(
            *self.proxy.address
        )

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.proxy.close()
        self.server.close()

    async def echoed(self, data: bytes, wait_s: float = 1.0) -> bytes:
        self.writer.write(data)
        return await asyncio.wait_for(
            self.reader.readexactly(len(data)), wait_s
        )

    async def test_bytes_are_forwarded(self):
        """Guards against a proxy that alters bytes without a fault."""
        self.assertEqual(b"abc", await self.echoed(b"abc"))

    async def test_one_way_block_holds_bytes_until_healed(self):
        """Guards against a block that drops bytes or outlasts its healing."""
        self.proxy.block(to_server=False)
        with self.assertRaises(TimeoutError):
            await self.echoed(b"abc", 0.2)
        self.proxy.heal()
        self.assertEqual(b"abc", await self.reader.readexactly(3))

    async def test_delay(self):
        """Guards against a delay that applies to one direction only."""
        self.proxy.delay_s = 0.15
        begin_s = asyncio.get_running_loop().time()
        await self.echoed(b"abc")
        took_s = asyncio.get_running_loop().time() - begin_s
        self.assertGreaterEqual(took_s, 0.3)

    async def test_connection_with_a_dropped_answer_stays_silent(self):
        """Guards against a dropped answer that the client can notice."""
        losses = []
        self.proxy.on_lost = lambda: losses.append(1)
        self.proxy.drop_answers(1, b"watch")
        self.assertEqual(b"abc", await self.echoed(b"abc"))
        for data in (b"watch", b"abc"):
            with self.assertRaises(TimeoutError):
                await self.echoed(data, 0.2)
        self.assertEqual([1], losses)
        self.proxy.heal()
        with self.assertRaises(TimeoutError):
            await self.echoed(b"abc", 0.2)
        # Other connections are still served.
        self.writer.close()
        self.reader, self.writer = await asyncio.open_connection(
            *self.proxy.address
        )
        self.assertEqual(b"watch", await self.echoed(b"watch"))

    async def test_reset(self):
        """Guards against a reset that leaves connections open."""
        await self.echoed(b"abc")
        self.proxy.reset_all()
        with self.assertRaises(OSError):
            await self.reader.readexactly(1)

    async def test_refused_connections(self):
        """Guards against serving connections that must be refused."""
        self.proxy.refuses = True
        reader, writer = await asyncio.open_connection(*self.proxy.address)
        with self.assertRaises((OSError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
