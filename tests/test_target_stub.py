"""Tests of the target stub with the fleet's target client."""

import asyncio
import dataclasses
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

import aiohttp

from bench import dispatch_world
from fuchsiacourse import aiohttp_target_client
from fuchsiacourse import errors
from fuchsiacourse import stub_target
from fuchsiacourse import stub_target_server
from fuchsiacourse import system_clock
from fuchsiacourse import target_client


def free_address() -> str:
    """Returns a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TargetStubTest(unittest.IsolatedAsyncioTestCase):
    """The stub must produce the faults that the fleet has to tolerate."""

    async def asyncSetUp(self):
        file = dispatch_world.service(targets=1)
        self.address = free_address()
        self.target = stub_target.StubTarget(
            target=dataclasses.replace(file.targets[0], address=self.address),
            service=file,
            rng=random.Random(1),
            straggler_share=0.0,
            time_scale=0.1,
        )
        server = stub_target_server.StubTargetServer(target=self.target)
        await server.start()
        self.client = aiohttp_target_client.AiohttpTargetClient(
            clock=system_clock.SystemClock()
        )
        self.addAsyncCleanup(server.stop)
        self.addAsyncCleanup(self.client.close)

    async def control(self, **faults):
        async with aiohttp.ClientSession() as session:
            async with session.put(
                f"http://{self.address}/control", data=json.dumps(faults)
            ) as response:
                return response.status

    async def record(self):
        async with aiohttp.ClientSession() as session:
            async with session.get(
                f"http://{self.address}/record"
            ) as response:
                return await response.json()

    async def send_booking(self, id="a-1", *, deadline_s=5.0, body=b"{}"):
        return await self.client.send(
            target_client.TargetCall(
                target_id="target-1",
                address=self.address,
                request_id=id,
                method="POST",
                path="/booking/1",
                headers=[],
                body=body,
                deadline_s=deadline_s,
            )
        )

    async def test_booking_is_answered_and_recorded(self):
        """Guards against a record that lacks what a check of replies needs."""
        answer = await self.send_booking()
        self.assertEqual(200, answer.status)
        self.assertEqual("a-1", answer.request_id)
        self.assertTrue(json.loads(answer.body)["booking"])
        runs = (await self.record())["runs"]
        self.assertEqual(["a-1"], [run["request_id"] for run in runs])
        self.assertEqual("complete", runs[0]["end"])

    async def test_request_beyond_the_slots_is_shed_and_not_run(self):
        """Guards against a shed status for a request that ran."""
        answers = await asyncio.gather(
            *(self.send_booking(f"a-{number}") for number in range(5))
        )
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual([200, 200, 200, 503, 503], statuses)
        self.assertEqual(3, len((await self.record())["runs"]))

    async def test_faults_are_detected_by_the_client(self):
        """Guards against faults that the client doesn't detect."""
        await self.control(truncated_share=1.0)
        with self.assertRaises(errors.TargetBadAnswer):
            await self.send_booking()
        await self.control(lost_share=1.0)
        with self.assertRaises(errors.TargetOutcomeUnknown):
            await self.send_booking()
        await self.control(error_share=1.0)
        self.assertEqual(500, (await self.send_booking()).status)
        await self.control(wrong_share=1.0)
        self.assertEqual("another", (await self.send_booking()).request_id)
        self.assertEqual(422, await self.control(slow=2))

    async def test_leaving_is_in_all_answers_until_the_next_start(self):
        """Guards against a leaving target whose wish a front can't learn."""
        await self.control(leaving=True, error_share=0.5)
        for number in range(10):
            answer = await self.send_booking(f"a-{number}")
            self.assertEqual("1", answer.header("Server-Leaving"))
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{self.address}/health") as report:
                self.assertEqual("1", report.headers["Server-Leaving"])
        self.target.restart()
        answer = await self.send_booking("b")
        self.assertEqual("", answer.header("Server-Leaving"))

    async def test_target_that_wants_nothing_for_a_time_runs_nothing(self):
        """Guards against a request that runs although it is turned away."""
        await self.control(retry_after_s=2.5)
        answer = await self.send_booking()
        self.assertEqual(503, answer.status)
        self.assertEqual(2.5, float(answer.header("Retry-After")))
        self.assertEqual([], (await self.record())["runs"])
        self.assertEqual(422, await self.control(retry_after_s=-1))

    async def test_draining_is_in_answers_and_health_reports(self):
        """Guards against a drain that is visible only in the host list."""
        await self.control(draining=True, cold_s=60.0)
        answer = await self.send_booking()
        self.assertEqual("draining", answer.header("Target-State"))
        report = await self.client.probe(self.address, path="/health")
        self.assertTrue(report.healthy and report.draining)
        self.assertTrue(report.warming)

    async def test_deadline_and_cancellation_free_the_slot(self):
        """Guards against an abandoned request that keeps its slot."""
        await self.control(hangs=True)
        answer = await self.send_booking(deadline_s=0.05)
        self.assertEqual(504, answer.status)
        task = asyncio.ensure_future(self.send_booking("a-2"))
        while self.target.in_flight == 0:
            await asyncio.sleep(0.005)
        task.cancel()
        while self.target.in_flight:
            await asyncio.sleep(0.005)
        ends = [run["end"] for run in (await self.record())["runs"]]
        self.assertEqual(["deadline", "cancelled"], ends)

    async def test_crash_loses_requests_and_changes_the_incarnation(self):
        """Guards against a crash that loses only the request causing it."""
        before = self.target.incarnation
        await self.control(hangs=True, crash_mark="poison", restart_s=0.05)
        other = asyncio.ensure_future(self.send_booking("a-1"))
        while not self.target.in_flight:
            await asyncio.sleep(0.005)
        with self.assertRaises(errors.TargetOutcomeUnknown):
            await self.send_booking("a-2", body=b"poison")
        with self.assertRaises(errors.TargetOutcomeUnknown):
            await other
        with self.assertRaises(errors.TargetUnreachable):
            await self.send_booking("a-3")
        while self.target.incarnation == before:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        report = await self.client.probe(self.address, path="/health")
        self.assertEqual(self.target.incarnation, report.incarnation)


class TargetStubProgramTest(unittest.TestCase):
    """The program must start, serve and stop."""

    def test_program_serves_until_sigterm(self):
        """Guards against a program that works only in a test's event loop."""
        address = free_address()
        file = dispatch_world.service(targets=1)
        target = dataclasses.replace(file.targets[0], address=address)
        content = file.model_copy(update={"targets": [target]})
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "larder.json")
            path.write_text(content.model_dump_json(), encoding="utf-8")
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "fuchsiacourse.target_stub",
                    "--service",
                    str(path),
                ],
                stderr=subprocess.PIPE,
                text=True,
            )
            line = process.stderr.readline()
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=10)
        self.assertIn("targets_listening", line)
        self.assertEqual(0, process.returncode)
