"""Measures the latency that the fleet adds, as processes on loopback."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile

import aiohttp
import hdrh.histogram

from bench import figure
from bench import local_fleet

SAMPLES = pathlib.Path("samples/glenmorach")
ZONES = (
    ("tay-a", "tayside"),
    ("tay-b", "tayside"),
    ("lot-a", "lothian"),
    ("lot-b", "lothian"),
)
# Requests per second and host: 390,000 requests/s over 5,700 nodes.
RATE_PER_HOST_S = 390_000 / 5_700
WARM_UP_S = 3.0
LENGTH_S = 20.0
ADDED_LIMIT_MS = 7.2
# Entry to dispatch and dispatch to target may each cross into another
# availability zone of the region, which takes 1 ms in each direction.
CROSSINGS_MS = 4 * 1.0
SEED = 11
# Spreads the lookups so that no client account reaches its limit.
ACCOUNTS = 200
PATH = "/larder/pallet-slots/7"
REGION = "tayside"

Histogram = hdrh.histogram.HdrHistogram


class LatencyRun:
    """Sends the same lookups to targets directly and through entries.

    Args:
        session: HTTP client session.
        direct: Addresses of targets.
        entries: Addresses of entries.
        rng: Source of arrival times.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        direct: list[str],
        entries: list[str],
        rng: random.Random,
    ) -> None:
        self._session = session
        self._direct = direct
        self._entries = entries
        self._rng = rng
        self.direct_us = Histogram(1, 60_000_000, 3)
        self.fleet_us = Histogram(1, 60_000_000, 3)
        self.failed = 0

    async def run(self, length_s: float, rate_per_s: float) -> None:
        """Sends an open load at a rate to targets and to entries.

        Args:
            length_s: Duration in seconds.
            rate_per_s: Requests per second to each of the two.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._send_all(
                    self._direct, self.direct_us, length_s, rate_per_s
                )
            )
            group.create_task(
                self._send_all(
                    self._entries, self.fleet_us, length_s, rate_per_s
                )
            )

    async def _send_all(
        self,
        addresses: list[str],
        histogram: Histogram,
        length_s: float,
        rate_per_s: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        begin = due = loop.time()
        async with asyncio.TaskGroup() as group:
            while due - begin < length_s:
                due += self._rng.expovariate(rate_per_s)
                await asyncio.sleep(max(0.0, due - loop.time()))
                address = self._rng.choice(addresses)
                group.create_task(self._send(address, histogram, due))

    async def _send(
        self, address: str, histogram: Histogram, due: float
    ) -> None:
        url = f"http://{address}{PATH}"
        headers = {
            "Caller-Account": f"latency-{self._rng.randrange(ACCOUNTS)}"
        }
        async with self._session.get(url, headers=headers) as response:
            await response.read()
            self.failed += response.status != 200
        elapsed_s = asyncio.get_running_loop().time() - due
        histogram.record_value(max(1, int(elapsed_s * 1_000_000)))


async def _measure(folder: pathlib.Path) -> list[figure.Figure]:
    fleet = local_fleet.LocalFleet(folder=folder)
    try:
        fleet.write_operator_settings()
        await fleet.start_platform()
        services = fleet.copy_services(SAMPLES)
        # Targets answer at once, so that only the added latency remains.
        await fleet.start_targets(
            "larder", "--time-scale", "0.001", "--straggler-share", "0"
        )
        entries = await _start_hosts(fleet)
        larder = next(item for item in services if item.service == "larder")
        direct = [
            item.address for item in larder.targets if item.region == REGION
        ]
        return await _send(direct, entries)
    finally:
        await fleet.stop()


async def _start_hosts(fleet: local_fleet.LocalFleet) -> list[str]:
    seeds = [f"{fleet.host_ip(1)}:{local_fleet.DISPATCH_GOSSIP_PORT}"]
    names = []
    for number, (zone, region) in enumerate(ZONES, start=1):
        place = local_fleet.HostLocation(
            ip=fleet.host_ip(number), availability_zone=zone, region=region
        )
        names.append((await fleet.start_entry(place, seeds=seeds)).name)
        names.append((await fleet.start_dispatch(place, seeds=seeds)).name)
    await fleet.publish()
    await fleet.wait_ready(names)
    return [
        f"{fleet.host_ip(number)}:{local_fleet.HTTP_PORT}"
        for number, (_, region) in enumerate(ZONES, start=1)
        if region == REGION
    ]


async def _send(direct: list[str], entries: list[str]) -> list[figure.Figure]:
    rate_per_s = RATE_PER_HOST_S * len(entries)
    async with aiohttp.ClientSession() as session:
        for length_s in (WARM_UP_S, LENGTH_S):
            run = LatencyRun(
                session=session,
                direct=direct,
                entries=entries,
                rng=random.Random(SEED),
            )
            await run.run(length_s, rate_per_s)
    if run.failed:
        raise RuntimeError(f"{run.failed} lookups were not answered with 200")
    direct_ms = run.direct_us.get_value_at_percentile(99) / 1000
    fleet_ms = run.fleet_us.get_value_at_percentile(99) / 1000
    return [
        figure.Figure(
            name="added_latency",
            value=fleet_ms - direct_ms,
            unit="ms",
            bound=ADDED_LIMIT_MS - CROSSINGS_MS,
            baselines={"direct_p99": direct_ms, "fleet_p99": fleet_ms},
        )
    ]


def added_latency() -> list[figure.Figure]:
    """Measures the p99 latency that the fleet adds to a direct call."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure(pathlib.Path(folder)))


MEASURES = {"added_latency": added_latency}
