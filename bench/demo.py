"""Runs a small fleet under load and checks the guarantees.

The fleet has four hosts in two regions and the sample services of
Glenmorach Preserves. The load includes bookings. During the run the
configuration changes and one host is shut down. Exits with 0 if every
guarantee held.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile

import rich.console
import rich.table

from bench import execution_check
from bench import local_fleet
from fuchsiacourse import arrival_profile
from fuchsiacourse import load_mix
from fuchsiacourse import load_run
from fuchsiacourse import service_file
from fuchsiacourse import system_clock
from fuchsiacourse import verdict as verdicts

SAMPLES = pathlib.Path("samples/glenmorach")
ZONES = (
    ("tay-a", "tayside"),
    ("lot-a", "lothian"),
    ("tay-b", "tayside"),
    ("lot-b", "lothian"),
)
RATE_PER_S = 60.0
LOAD_S = 12.0
# Seconds from the start of the load until the configuration changes, and
# until a host is shut down.
CHANGE_AFTER_S = 2.0
STOP_AFTER_S = 4.0
# Longest time until all members have a configuration in force, and until a
# process has stopped, in seconds.
IN_FORCE_LIMIT_S = 5.0
STOP_LIMIT_S = 25.0
# The load is far below the capacity, so nearly all requests must run.
MIN_RAN_SHARE = 0.98
POLL_S = 0.1
SEED = 1


class Demo:
    """Runs the demonstration and collects its results.

    Args:
        fleet: Fleet to start.
    """

    def __init__(self, *, fleet: local_fleet.LocalFleet) -> None:
        self._fleet = fleet
        self._locations = [
            local_fleet.HostLocation(
                ip=fleet.host_ip(number),
                availability_zone=zone,
                region=region,
            )
            for number, (zone, region) in enumerate(ZONES, start=1)
        ]
        self._services: list[service_file.ServiceFile] = []
        self._operator = str(fleet.folder / "operator.json")
        self.table = rich.table.Table("what", "result", title="Run")
        self.failures: list[str] = []
        self._expected_members = 2 * len(self._locations)

    async def run(self) -> load_run.LoadRun:
        """Starts the fleet, sends the load and stops the fleet.

        Returns:
            The finished load run. Results are in ``table`` and
            ``failures``.
        """
        await self._start()
        self._check_elapsed(
            await self._wait_in_force(),
            "in force on all members after the first publish",
        )
        load = load_run.LoadRun(
            addresses=[
                f"{location.ip}:{local_fleet.HTTP_PORT}"
                for location in self._locations
            ],
            profile=arrival_profile.SteadyProfile(
                rate_per_s=RATE_PER_S, length_s=LOAD_S
            ),
            mix=load_mix.LoadMix(services=self._services),
            clock=system_clock.SystemClock(),
            rng=random.Random(SEED),
        )
        await asyncio.gather(
            load.run(), self._change_configuration(), self._stop_host()
        )
        await self._check_executions(load)
        codes = await self._fleet.stop()
        failed_codes = {
            name: code for name, code in codes.items() if code != 0
        }
        self.table.add_row(
            "processes ended", f"{len(codes)}, failed: {failed_codes}"
        )
        if failed_codes:
            self.failures.append(f"exit codes {failed_codes}")
        return load

    async def _start(self) -> None:
        fleet = self._fleet
        fleet.write_operator_settings()
        await fleet.start_platform()
        self._services = fleet.copy_services(SAMPLES)
        for service in self._services:
            await fleet.start_targets(service.service)
        seeds = [
            f"{location.ip}:{local_fleet.DISPATCH_GOSSIP_PORT}"
            for location in self._locations[:2]
        ]
        names = []
        for location in self._locations:
            names += [
                (await fleet.start_entry(location, seeds=seeds)).name,
                (await fleet.start_dispatch(location, seeds=seeds)).name,
            ]
        await fleet.publish()
        await fleet.wait_ready(names)

    async def _wait_in_force(self) -> float | None:
        """Waits until all members have the manifest's number in force.

        Returns:
            The time taken in seconds, or None after twice the limit.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        while loop.time() - begin < 2 * IN_FORCE_LIMIT_S:
            if await self._is_in_force():
                return loop.time() - begin
            await asyncio.sleep(POLL_S)
        return None

    async def _is_in_force(self) -> bool:
        code, output = await self._fleet.run(
            "ctl", "status", "--settings", self._operator, "--json"
        )
        if code != 0:
            return False
        status = json.loads(output)
        rows = [row for row in status["members"] if row["state"] in ("alive",)]
        number = status["number"]
        return len(rows) >= self._expected_members and all(
            row["number"] == number for row in rows
        )

    async def _change_configuration(self) -> None:
        await asyncio.sleep(CHANGE_AFTER_S)
        path = self._fleet.folder / "services" / "larder.json"
        content = json.loads(path.read_text(encoding="utf-8"))
        content["floor_slots"] -= 1
        path.write_text(json.dumps(content), encoding="utf-8")
        await self._fleet.publish()
        elapsed_s = await self._wait_in_force()
        self._check_elapsed(elapsed_s, "changed file in force on all members")

    async def _stop_host(self) -> None:
        await asyncio.sleep(STOP_AFTER_S)
        ip = self._locations[-1].ip
        self._expected_members -= 2
        for program in ("entry", "dispatch"):
            process = self._fleet.processes_by_name[f"{program}-{ip}"]
            process.signal(signal.SIGTERM)
            code = await process.wait(STOP_LIMIT_S)
            self.table.add_row(
                f"shutdown of {process.name} under load", f"exit {code}"
            )

    async def _check_executions(self, load: load_run.LoadRun) -> None:
        executions = await execution_check.count_executions(self._services)
        violations = execution_check.find_violations(executions, load.calls)
        unanswered = [call for call in load.calls if call.result.status == 0]
        self.table.add_row("requests", str(len(load.calls)))
        self.table.add_row("retries", str(load.result.retries))
        self.table.add_row("worth in time", f"{load.result.worth_ratio:.1%}")
        self.table.add_row("without an answer", str(len(unanswered)))
        self.table.add_row("broken guarantees", str(len(violations)))
        ran = sum(
            call.result.verdict is verdicts.Verdict.RAN for call in load.calls
        )
        self.table.add_row("answered by targets", str(ran))
        if ran < MIN_RAN_SHARE * len(load.calls):
            self.failures.append(f"only {ran} requests ran")
        self.failures += violations
        if unanswered:
            self.failures.append(f"{len(unanswered)} calls had no answer")

    def _check_elapsed(self, elapsed_s: float | None, check: str) -> None:
        if elapsed_s is None or elapsed_s > IN_FORCE_LIMIT_S:
            self.failures.append(f"not in time: {check}")
        elapsed_text = "never" if elapsed_s is None else f"{elapsed_s:.2f} s"
        self.table.add_row(
            check, f"{elapsed_text} (limit {IN_FORCE_LIMIT_S} s)"
        )


async def demonstrate(folder: pathlib.Path) -> int:
    """Runs the demonstration and returns the exit code."""
    console = rich.console.Console()
    fleet = local_fleet.LocalFleet(folder=folder)
    demo = Demo(fleet=fleet)
    try:
        load = await demo.run()
    finally:
        await fleet.stop()
    console.print(load.result.table())
    console.print(demo.table)
    for failure in demo.failures:
        console.print(f"failed: {failure}", style="red", markup=False)
    return 1 if demo.failures else 0


def main() -> int:
    """Runs the demonstration in a temporary folder.

    Returns:
        The exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(demonstrate(pathlib.Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
