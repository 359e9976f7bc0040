"""Measures CPU time and memory of idle processes by number of targets."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile

from bench import local_fleet
from bench import slope

SAMPLES = pathlib.Path("samples/glenmorach")
# Seconds without load before a measurement, and length of the measurement.
SETTLE_S = 5.0
LENGTH_S = 10.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indices of the fields utime and stime of /proc/<pid>/stat, counted from 0
# after the command name.
_USER_FIELD = 11
_SYSTEM_FIELD = 12


class ProcessCost:
    """Cost of an idle process.

    Args:
        cpu_us_per_s: CPU time in microseconds per second.
        memory_bytes: Resident memory.
    """

    __slots__ = ("cpu_us_per_s", "memory_bytes")

    def __init__(self, *, cpu_us_per_s: float, memory_bytes: int) -> None:
        self.cpu_us_per_s = cpu_us_per_s
        self.memory_bytes = memory_bytes


def _cpu_ticks(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])


def _memory_bytes(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES


async def _measure(
    fleet: local_fleet.LocalFleet, service_count: int
) -> tuple[int, ProcessCost, ProcessCost]:
    """Runs a fleet of two hosts and measures the processes of the first.

    Returns:
        The number of targets in the region of the first host, and the costs
        of its entry and its dispatch.
    """
    fleet.write_operator_settings()
    await fleet.start_platform()
    parsed = fleet.copy_services(SAMPLES)
    for item in parsed[service_count:]:
        (fleet.folder / "services" / f"{item.service}.json").unlink()
    targets = 0
    for item in parsed[:service_count]:
        await fleet.start_targets(item.service)
        targets += len(item.targets)
    location = local_fleet.HostLocation(
        ip=fleet.host_ip(1), availability_zone="tay-a", region="tayside"
    )
    other_location = local_fleet.HostLocation(
        ip=fleet.host_ip(2), availability_zone="lot-a", region="lothian"
    )
    seeds = [f"{location.ip}:{local_fleet.DISPATCH_GOSSIP_PORT}"]
    started = []
    for host_location in (location, other_location):
        started.append(await fleet.start_entry(host_location, seeds=seeds))
        started.append(await fleet.start_dispatch(host_location, seeds=seeds))
    await fleet.publish()
    await fleet.wait_ready(item.name for item in started)
    await _use_all_shards(fleet)
    await asyncio.sleep(SETTLE_S)
    pids = [item.process.pid for item in started[:2]]
    begin = [_cpu_ticks(pid) for pid in pids]
    await asyncio.sleep(LENGTH_S)
    costs = [
        ProcessCost(
            cpu_us_per_s=(_cpu_ticks(pid) - ticks)
            * 1e6
            / _CLOCK_TICKS_PER_S
            / LENGTH_S,
            memory_bytes=_memory_bytes(pid),
        )
        for pid, ticks in zip(pids, begin, strict=True)
    ]
    in_region = sum(
        target.region == location.region
        for item in parsed[:service_count]
        for target in item.targets
    )
    return in_region, costs[0], costs[1]


async def _use_all_shards(fleet: local_fleet.LocalFleet) -> None:
    """Sends load to all services, so that each shard is in use."""
    await fleet.run(
        "load",
        "run",
        "--services",
        str(fleet.folder / "services"),
        "--address",
        f"{fleet.host_ip(1)}:{local_fleet.HTTP_PORT}",
        "--seconds",
        "3",
        "--rate",
        "20",
        timeout_s=60.0,
    )


def slopes() -> list[slope.Slope]:
    """Returns CPU time and memory by targets for entry and dispatch."""
    points = []
    for service_count in (1, 2, 3):
        with tempfile.TemporaryDirectory() as folder:
            points.append(
                asyncio.run(_run(pathlib.Path(folder), service_count))
            )
    return [
        slope.Slope(
            name=f"{role}_{name}_at_rest",
            unit=unit,
            per="target",
            points=[
                (row[0], getattr(row[index], attribute)) for row in points
            ],
        )
        for index, role in ((1, "entry"), (2, "dispatch"))
        for name, unit, attribute in (
            ("cpu", "us/s", "cpu_us_per_s"),
            ("memory", "B", "memory_bytes"),
        )
    ]


async def _run(
    folder: pathlib.Path, service_count: int
) -> tuple[int, ProcessCost, ProcessCost]:
    fleet = local_fleet.LocalFleet(folder=folder)
    try:
        return await _measure(fleet, service_count)
    finally:
        await fleet.stop()
