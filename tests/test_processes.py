"""Tests of processes on loopback under kills, pauses and shutdowns."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import unittest

import aiohttp

from bench import execution_check
from bench import local_fleet
from fuchsiacourse import arrival_profile
from fuchsiacourse import load_mix
from fuchsiacourse import load_run
from fuchsiacourse import system_clock
from fuchsiacourse import verdict

ZONES = (("tay-a", "tayside"), ("lot-a", "lothian"), ("tay-b", "tayside"))
SAMPLES = pathlib.Path("samples/glenmorach")
RATE_PER_S = 30.0
STOP_LIMIT_S = 25.0
PAUSE_S = 3.0


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Kills, pauses and shutdowns must not violate a guarantee."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = local_fleet.LocalFleet(folder=pathlib.Path(folder.name))
        self.addAsyncCleanup(self.fleet.stop)
        self.fleet.write_operator_settings()
        await self.fleet.start_platform()
        self.services = self.fleet.copy_services(SAMPLES)
        for service in self.services:
            await self.fleet.start_targets(service.service)
        self.locations: list[local_fleet.HostLocation] = []
        names = []
        for zone, region in ZONES:
            names += await self.add_host(zone, region)
        await self.fleet.publish()
        await self.fleet.wait_ready(names)

    async def add_host(self, zone: str, region: str) -> list[str]:
        location = local_fleet.HostLocation(
            ip=self.fleet.host_ip(len(self.locations) + 1),
            availability_zone=zone,
            region=region,
        )
        self.locations.append(location)
        seeds = [
            f"{self.fleet.host_ip(number)}:{local_fleet.DISPATCH_GOSSIP_PORT}"
            for number in range(1, len(self.locations) + 1)
        ]
        entry = await self.fleet.start_entry(location, seeds=seeds)
        dispatch = await self.fleet.start_dispatch(location, seeds=seeds)
        return [entry.name, dispatch.name]

    def process(self, program: str, number: int) -> local_fleet.LocalProcess:
        ip = self.locations[number].ip
        return self.fleet.processes_by_name[f"{program}-{ip}"]

    def make_load(self, length_s: float) -> load_run.LoadRun:
        return load_run.LoadRun(
            addresses=[
                f"{location.ip}:{local_fleet.HTTP_PORT}"
                for location in self.locations
            ],
            profile=arrival_profile.SteadyProfile(
                rate_per_s=RATE_PER_S, length_s=length_s
            ),
            mix=load_mix.LoadMix(services=self.services),
            clock=system_clock.SystemClock(),
            rng=random.Random(7),
        )

    async def assert_unbroken(self, load: load_run.LoadRun) -> None:
        executions = await execution_check.count_executions(self.services)
        self.assertEqual(
            [], execution_check.find_violations(executions, load.calls)
        )
        ran = sum(
            call.result.verdict is verdict.Verdict.RAN for call in load.calls
        )
        self.assertGreater(ran, len(load.calls) / 2)
        await self.assert_no_invariant_broken()

    async def assert_no_invariant_broken(self) -> None:
        async with aiohttp.ClientSession() as session:
            for process in self.fleet.processes_by_name.values():
                if not process.is_running or not process.status_address:
                    continue
                url = f"http://{process.status_address}/metrics"
                async with session.get(url) as response:
                    text = await response.text()
                broken = [
                    line
                    for line in text.splitlines()
                    if line.startswith("invariants_broken")
                    and not line.endswith(" 0")
                ]
                self.assertEqual([], broken, process.name)

    async def kill(self, program: str, number: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.process(program, number).signal(signal.SIGKILL)

    async def pause(self, program: str, number: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.process(program, number).signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.process(program, number).signal(signal.SIGCONT)

    async def stop_host(self, number: int) -> None:
        for program in ("entry", "dispatch"):
            process = self.process(program, number)
            process.signal(signal.SIGTERM)
            self.assertEqual(0, await process.wait(STOP_LIMIT_S))

    async def example(self, address: str, body: str) -> tuple[int, str]:
        """Runs the example client of the callers' guide.

        Returns:
            Its exit code and output.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "samples/caller_example.py",
            address,
            "POST",
            "/larder/pallet-moves",
            body,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def test_example_caller_through_two_hosts(self):
        """Guards against a broken example in the callers' guide."""
        for number in (0, 1):
            address = f"{self.locations[number].ip}:{local_fleet.HTTP_PORT}"
            code, output = await self.example(
                address, json.dumps({"item": number})
            )
            self.assertEqual(0, code, output)
            self.assertIn("200 ran", output)
        executions = await execution_check.count_executions(self.services)
        self.assertEqual([1, 1], sorted(executions.values()))

    async def test_kill_runs_nothing_twice(self):
        """Guards against running bookings twice after a process is lost."""
        load = self.make_load(8.0)
        await asyncio.gather(
            load.run(),
            self.kill("entry", 0, 2.0),
            self.kill("dispatch", 2, 3.0),
        )
        await self.assert_unbroken(load)

    async def test_pause_runs_nothing_twice(self):
        """Guards against a resumed process that repeats others' bookings."""
        load = self.make_load(9.0)
        await asyncio.gather(
            load.run(),
            self.pause("entry", 0, 1.0),
            self.pause("dispatch", 2, 2.0),
        )
        await self.assert_unbroken(load)

    async def test_service_goes_on_without_the_platform(self):
        """Guards against depending on the platform to serve or to start."""
        platform = self.fleet.processes_by_name["platform"]
        platform.signal(signal.SIGKILL)
        await platform.process.wait()
        names = await self.add_host("lot-b", "lothian")
        load = self.make_load(10.0)

        async def replace() -> None:
            await self.fleet.wait_ready(names)
            await self.stop_host(1)

        await asyncio.gather(load.run(), replace())
        await self.assert_unbroken(load)

    async def test_rolling_restart_cuts_nothing_off(self):
        """Guards against a graceful shutdown that interrupts requests."""
        load = self.make_load(26.0)

        async def replace_all() -> None:
            for number, (zone, region) in enumerate(ZONES):
                names = await self.add_host(zone, region)
                await self.fleet.wait_ready(names)
                await self.stop_host(number)

        await asyncio.gather(load.run(), replace_all())
        await self.assert_unbroken(load)
        interrupted = [
            call for call in load.calls if call.result.interrupted_attempts
        ]
        self.assertEqual([], interrupted)
        outcome_unknown = [
            call
            for call in load.calls
            if call.result.verdict is verdict.Verdict.MAY_HAVE_RUN
        ]
        self.assertEqual([], outcome_unknown)
