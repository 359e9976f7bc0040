"""Tests of the object API's HTTP client against the platform stub."""

import asyncio
import unittest

from fuchsiacourse import errors
from fuchsiacourse import http_store
from fuchsiacourse import logs
from fuchsiacourse import platform_stub
from fuchsiacourse import settings
from fuchsiacourse import store
from tests import test_grpc_peers

TIMEOUT_S = 0.3


class HttpStoreTest(unittest.IsolatedAsyncioTestCase):
    """Each failure must raise the error that states its effect."""

    async def asyncSetUp(self) -> None:
        address = test_grpc_peers.free_address()
        self.stub = platform_stub.PlatformStub(
            options=settings.PlatformStubSettings(
                program="platform-stub",
                http_address=address,
                writes_per_s=20,
                host_lag_s=0,
            ),
            log=logs.silent(),
        )
        await self.stub.start()
        self.store = http_store.HttpStore(
            url=f"http://{address}", timeout_s=TIMEOUT_S
        )

    async def asyncTearDown(self) -> None:
        await self.store.close()
        await self.stub.stop()

    async def test_objects(self):
        """Guards against a client and a stub that disagree on the API."""
        version = await self.store.put("a/x y", b"\x00\xff", if_version=0)
        found = await self.store.get("a/x y")
        self.assertEqual((b"\x00\xff", version), (found.value, found.version))
        with self.assertRaises(errors.VersionConflict):
            await self.store.put("a/x y", b"", if_version=0)
        await self.store.put("a/z", b"z", if_version=None)
        self.assertEqual(
            ["a/x y", "a/z"],
            [item.key for item in await self.store.list("a/")],
        )
        await self.store.delete("a/x y", if_version=version)
        self.assertIsNone(await self.store.get("a/x y"))

    async def test_watch(self):
        """Guards against a watch that misses a change or never ends."""
        waiting = asyncio.create_task(
            self.store.watch("a/", after_revision=0, timeout_s=5.0)
        )
        await asyncio.sleep(0)
        await self.store.put("a/1", b"1", if_version=None)
        await self.store.delete("a/1", if_version=None)
        batch = await waiting
        self.assertEqual("a/1", batch.objects[0].key)
        later = await self.store.watch(
            "a/", after_revision=batch.revision, timeout_s=0.01
        )
        self.assertEqual([True], [item.deleted for item in later.objects])

    async def test_lost_reply_is_unsure(self):
        """Guards against a write reported as failed that took effect."""
        self.stub.model.faults.lose_write_replies = 1
        with self.assertRaises(errors.StoreOutcomeUnknown):
            await self.store.put("a", b"1", if_version=0)
        self.assertEqual(b"1", (await self.store.get("a")).value)

    async def test_slow_platform(self):
        """Guards against reporting a late write as refused.

        Reads and hung watches must time out.
        """
        self.stub.model.faults.delay_s = 2 * TIMEOUT_S
        with self.assertRaises(errors.StoreOutcomeUnknown):
            await self.store.put("a", b"1", if_version=0)
        with self.assertRaises(errors.StoreUnavailable):
            await self.store.get("a")
        batch = await self.stub.model.wait_for_change(
            "a", after_revision=0, timeout_s=5.0
        )
        self.assertEqual(b"1", batch.objects[0].value)
        self.stub.model.faults.delay_s = 0
        self.stub.model.faults.hang_watches = True
        with self.assertRaises(errors.StoreUnavailable):
            await self.store.watch("a", after_revision=0, timeout_s=0.01)

    async def test_refusals(self):
        """Guards against reporting a refused write as effective."""
        self.stub.model.faults.outage = True
        with self.assertRaises(errors.StoreUnavailable):
            await self.store.put("a", b"1", if_version=0)
        self.stub.model.faults.outage = False
        with self.assertRaises(errors.StoreRateLimited):
            for _ in range(100):
                await self.store.put("b", b"1", if_version=None)
        self.assertIsNone(await self.store.get("a"))

    async def test_no_connection_is_unavailable(self):
        """Guards against an unknown outcome for a write never sent."""
        await self.stub.stop()
        with self.assertRaises(errors.StoreUnavailable) as caught:
            await self.store.put("a", b"1", if_version=0)
        self.assertNotIsInstance(caught.exception, errors.StoreOutcomeUnknown)

    async def test_closed_connection_after_sending(self):
        """Guards against a write that the client library sends twice."""
        requests = []

        async def serve(reader, writer):
            requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http_store.HttpStore(url=f"http://127.0.0.1:{port}")
        with self.assertRaises(errors.StoreOutcomeUnknown):
            await client.put("a", b"1", if_version=0)
        self.assertEqual(1, len(requests))
        await client.close()
        server.close()

    async def test_hosts(self):
        """Guards against a host list that the client can't parse."""
        self.stub.model.set_host(
            store.HostRecord(
                host="127.0.0.5",
                availability_zone="tay-a",
                region="tayside",
                leaving=True,
                address="127.0.0.5:9001",
            )
        )
        hosts = await self.store.hosts()
        self.assertEqual(
            [("127.0.0.5:9001", True)],
            [(item.address, item.leaving) for item in hosts],
        )
