"""Tests of the control path and rate limits of the platform stub."""

import unittest

import aiohttp

from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import platform_model
from fuchsiacourse import platform_stub
from fuchsiacourse import settings
from fuchsiacourse import store
from tests import test_grpc_peers


class PlatformStubTest(unittest.IsolatedAsyncioTestCase):
    """Changes over the control path must affect the object API."""

    async def asyncSetUp(self) -> None:
        self.address = test_grpc_peers.free_address()
        self.stub = platform_stub.PlatformStub(
            options=settings.PlatformStubSettings(
                program="platform-stub", http_address=self.address
            ),
            log=logs.silent(),
        )
        await self.stub.start()
        self.addAsyncCleanup(self.stub.stop)
        self.session = aiohttp.ClientSession(f"http://{self.address}")
        self.addAsyncCleanup(self.session.close)

    async def status(self, method: str, path: str, **options) -> int:
        async with self.session.request(method, path, **options) as response:
            await response.read()
            return response.status

    async def control(self, **change) -> int:
        return await self.status("POST", "/control", json=change)

    async def test_outage_and_hosts(self):
        """Guards against accepting a fault that has no effect."""
        host = {
            "host": "127.0.1.1",
            "availability_zone": "tay-a",
            "region": "tayside",
            "leaving": True,
        }
        await self.control(outage=True, hosts=[host], host_lag_s=0)
        self.assertEqual(503, await self.status("GET", "/hosts"))
        await self.control(outage=False)
        async with self.session.get("/hosts") as response:
            hosts = (await response.json())["hosts"]
        self.assertEqual([host | {"address": ""}], hosts)
        async with self.session.get("/control") as response:
            summary = await response.json()
        self.assertEqual({"hosts": 2}, summary["calls"])

    async def test_bad_requests(self):
        """Guards against ignoring a misspelt fault or condition."""
        self.assertEqual(400, await self.control(outtage=True))
        put = {"data": b"1", "headers": {"If-Match": "x"}}
        self.assertEqual(400, await self.status("PUT", "/objects/a", **put))
        put = {"data": b"x" * 1_048_577}
        self.assertEqual(413, await self.status("PUT", "/objects/a", **put))
        put = {"data": b"1", "headers": {"If-Match": "7"}}
        self.assertEqual(412, await self.status("PUT", "/objects/a", **put))
        self.assertEqual(404, await self.status("GET", "/objects/a"))


class PlatformModelTest(unittest.TestCase):
    """Rate limits and the lag of the host list must follow the clock."""

    def test_rates(self):
        """Guards against a limit that a burst or an idle time exceeds."""

        async def main():
            clock = virtual_loop.VirtualClock()
            model = platform_model.PlatformModel(clock=clock, writes_per_s=10)
            for _ in range(3):
                for _ in range(10):
                    model.admit("put", is_write=True)
                with self.assertRaises(errors.StoreRateLimited):
                    model.admit("put", is_write=True)
                model.admit("get", is_write=False)
                await clock.sleep(1)

        virtual_loop.run(main())

    def test_host_list_lags(self):
        """Guards against a host list without lag, unlike the platform's."""

        async def main():
            clock = virtual_loop.VirtualClock()
            model = platform_model.PlatformModel(clock=clock, host_lag_s=2)
            model.set_host(
                store.HostRecord(host="h", availability_zone="z", region="r")
            )
            self.assertEqual([], model.hosts())
            await clock.sleep(2)
            self.assertEqual(1, len(model.hosts()))
            model.remove_host("h")
            self.assertEqual(1, len(model.hosts()))
            await clock.sleep(2)
            self.assertEqual([], model.hosts())

        virtual_loop.run(main())
