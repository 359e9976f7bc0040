"""Tests of a front process over loopback."""

import asyncio
import json
import signal
import subprocess
import sys
import unittest

from fuchsiacourse.front import status_endpoints
from fuchsiacourse import request_trace
from tests import front_process_case

# Time within which a front must confirm its configuration with the store, in
# seconds.
CONFIRM_S = 2.0
IP = front_process_case.IP
PATH = front_process_case.PATH


class FrontProcessTest(front_process_case.FrontProcessCase):
    """Guards against a front that fails to serve, log or handle signals."""

    async def wait_until_not_found(self, port: int) -> None:
        """Waits until an unknown route is answered 404.

        Until the front has confirmed its configuration with the store, it
        answers 503.
        """
        deadline_s = asyncio.get_running_loop().time() + CONFIRM_S
        statuses = {503}
        while statuses == {503}:
            self.assertLess(asyncio.get_running_loop().time(), deadline_s)
            await asyncio.sleep(0.05)
            statuses.add((await self.call(port, "/nowhere/1", "q8"))[0])
        self.assertEqual({404, 503}, statuses)
        for _ in range(5):
            status, _ = await self.call(port, "/nowhere/1", "q8")
            self.assertEqual(404, status)

    async def test_request_is_served_and_logged(self):
        """Guards against listeners or logs that don't work."""
        front, _, directory, _, _, metrics = self.ports
        status, body = await self.call(front, PATH, "q7")
        self.assertEqual((200, b"q7"), (status, body))
        self.assertEqual(["q7"], self.runs)
        status, body = await self.call(
            directory, "/fuchsiacourse/resolve?name=x&region=east&zone=a"
        )
        self.assertEqual([f"{IP}:{front}"], json.loads(body)["addresses"])
        await self.wait_until_not_found(front)
        status, body = await self.call(metrics, status_endpoints.METRICS_PATH)
        self.assertIn(b'front_requests_total{service="s3"', body)
        await asyncio.sleep(0.1)
        trace = request_trace.RequestTrace(request_id="q7")
        trace.read(self.lines)
        self.assertIn("status=200", trace.lines()[-1])

    async def test_settings_are_reloaded(self):
        """Guards against ignored reloads and invalid settings in force."""
        self.settings.write_text(
            self.settings_text().replace("ratio=0.25", "ratio=0.3"),
            encoding="utf-8",
        )
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertTrue(
            any("settings_reloaded" in line for line in self.lines)
        )
        self.settings.write_text("self.node=x\n", encoding="utf-8")
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertTrue(any("settings_refused" in line for line in self.lines))
        self.assertEqual(200, (await self.call(self.ports[0], PATH))[0])

    async def test_shutdown_drops_no_request(self):
        """Guards against requests lost while a front shuts down."""
        self.work_s = 1.0
        running = asyncio.ensure_future(self.call(self.ports[0], PATH, "q1"))
        await asyncio.sleep(0.3)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        status, _ = await self.call(self.ports[1], "/fuchsiacourse/ready")
        self.assertEqual(503, status)
        # Callers with a stale address list still send requests.
        status, body = await self.call(self.ports[0], PATH, "q2")
        self.assertEqual((200, b"q2"), (status, body))
        self.assertEqual((200, b"q1"), await running)
        await asyncio.wait_for(self.process.wait(), 7.0)
        self.assertEqual(0, self.process.returncode)
        self.assertEqual(["q1", "q2"], self.runs)

    async def test_draining_target_gets_no_new_requests(self):
        """Guards against requests sent to a target that drains."""
        held = self.model.table.get("servers/t1")
        spec = json.loads(held.value)["spec"]
        spec["status"]["state"] = "draining"
        self.put("servers/t1", json.dumps({"spec": spec}).encode())
        await asyncio.sleep(1.5)
        status, _ = await self.call(self.ports[0], PATH, "q1")
        self.assertEqual(503, status)
        self.assertEqual([], self.runs)


class FrontStartTest(unittest.TestCase):
    """Guards against a signal that ends a process while it starts."""

    def test_reload_signal_while_the_modules_are_imported(self):
        # Seed 307 of the fault soak: SIGHUP ended the front, because it came
        # before the handler was installed.
        script = (
            "import runpy, signal, sys\n"
            "class Finder:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'fuchsiacourse.front.front_program':\n"
            "            signal.raise_signal(signal.SIGHUP)\n"
            "            sys.exit(7)\n"
            "sys.meta_path.insert(0, Finder())\n"
            "runpy.run_module('fuchsiacourse.front', run_name='__main__')\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            timeout=front_process_case.START_S,
            check=False,
        )
        self.assertEqual(7, done.returncode)
