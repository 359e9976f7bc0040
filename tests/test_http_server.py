"""Tests of the HTTP server and the status application."""

import asyncio
import unittest

import aiohttp

from fuchsiacourse import errors
from fuchsiacourse import http_server
from fuchsiacourse import logs
from fuchsiacourse import metrics
from fuchsiacourse import status_app
from tests import test_grpc_peers


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """The status port must answer, and a port in use must be reported."""

    async def asyncSetUp(self) -> None:
        self.metrics = metrics.Metrics(program="entry")
        self.is_ready = False
        self.address = test_grpc_peers.free_address()
        self.server = self.make_server()

    def make_server(self) -> http_server.HttpServer:
        app = status_app.create(
            metrics=self.metrics,
            ready=lambda: self.is_ready,
            refresh=lambda: self.metrics.count(
                "refreshes", "Number of refreshes."
            ),
        )
        return http_server.HttpServer(
            asgi_app=app, address=self.address, log=logs.silent()
        )

    async def test_status_paths(self):
        """Guards against a status port without metrics or readiness."""
        await self.server.start()
        async with aiohttp.ClientSession() as session:
            answers = {}
            for path in ("metrics", "healthz", "readyz"):
                url = f"http://{self.address}/{path}"
                # Some scrapers send no Accept header.
                async with session.get(
                    url, skip_auto_headers=["Accept"]
                ) as response:
                    answers[path] = response.status, await response.text()
        await self.server.stop()
        self.assertIn('refreshes{program="entry"} 1', answers["metrics"][1])
        self.assertEqual(200, answers["healthz"][0])
        self.assertEqual(503, answers["readyz"][0])

    async def test_address_in_use_is_an_error(self):
        """Guards against a process that keeps running without its port."""
        await self.server.start()
        with self.assertRaises(errors.SettingsError):
            await self.make_server().start()
        await self.server.stop()

    async def test_stop_does_not_wait_for_the_header_renewal(self):
        """Guards against a shutdown delayed until the next Date header."""
        await self.server.start()
        async with asyncio.timeout(http_server._HEADERS_INTERVAL_S / 2):
            await self.server.stop()
