"""Fronts that are cut off from all targets while callers still reach them.

Callers ask a front of their availability zone for addresses, as on the
platform, and connect to one of them for each request.
"""

from __future__ import annotations

import asyncio
import random

from bench import front_fakes
from bench import front_fleet
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender

FRONTS_PER_ZONE = 8
TARGETS = 24
# Callers of each availability zone, and requests per second of each.
CALLERS_PER_ZONE = 30
RATE_PER_S = 0.8
WORK_S = 0.2
FAILED_SHARE = 0.012
# Callers keep addresses for the time that the answer states, some of them
# for a multiple of it.
KEEP_FACTORS = (1.0, 1.0, 3.0)
# Length of the cut, and the time from its begin after which the operator
# counts, in seconds.
CUT_S = 12.0
SETTLE_S = 3.0
# The operator's bound: first tries at the fronts that are cut off must be
# served this share as often as the others, or few of them fail.
SERVED_SHARE = 2.0 / 3.0
FAILED_EXTRA = 10
FAILED_ALLOWED = 0.02
OBJECTIVE_S = 1.0
# Prefixes of the paths of idempotent requests and of the others.
READS = "/reads/"
ORDERS = "/orders/"
TIMEOUT_S = 2.5


class Tally:
    """First tries of callers at one group of fronts."""

    __slots__ = ("sent", "served")

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0

    @property
    def share(self) -> float:
        """Share that was served; 1 if nothing was sent."""
        return self.served / self.sent if self.sent else 1.0


class CutDay:
    """Plays a cut with a fleet of fronts.

    Attributes:
        cut: First tries at the fronts that are cut off, from SETTLE_S on.
        others: The same at the other fronts.
        returns: How often a front has found that it reaches targets again.

    Args:
        cut_ips: IP addresses of the fronts that are cut off.
        connect_s: Time until a connection fails during the cut, in seconds.
        idempotent_share: Share of the requests that may run more than once.
        keeps_connections: Whether the connections that a front has live on
            while new ones fail.
        seed: Seed of the arrivals.
    """

    def __init__(
        self,
        *,
        cut_ips: tuple[str, ...],
        connect_s: float,
        idempotent_share: float,
        keeps_connections: bool = False,
        seed: int = 1,
    ) -> None:
        self.cut = Tally()
        self.others = Tally()
        self.returns = 0
        self._cut_ips = cut_ips
        self._connect_s = connect_s
        self._idempotent_share = idempotent_share
        self._keeps_connections = keeps_connections
        self._rng = random.Random(seed)
        self._seed = seed
        self._counts_from_s = float("inf")

    @property
    def is_kept(self) -> bool:
        """Whether the operator's bound was kept."""
        failed = self.cut.sent - self.cut.served
        sent = self.cut.sent + self.others.sent
        return (
            failed <= FAILED_EXTRA + FAILED_ALLOWED * sent
            or self.cut.share >= SERVED_SHARE * self.others.share
        )

    def play(self) -> front_fleet.FrontFleet:
        """Plays the day and returns the fleet."""
        return virtual_loop.run(self._main())

    async def _main(self) -> front_fleet.FrontFleet:
        fleet = front_fleet.FrontFleet(
            seed=self._seed,
            per_zone=FRONTS_PER_ZONE,
            records=[
                front_fakes.record(
                    f"t{number}", availability_zone="abc"[number % 3]
                )
                for number in range(TARGETS)
            ],
            behave=self._behave,
            found=[self._route(path) for path in (READS, ORDERS)],
            keeps_connections=self._keeps_connections,
        )
        await asyncio.sleep(front_fleet.START_S)
        callers = [
            asyncio.ensure_future(self._call(fleet, zone, number))
            for zone in front_fakes.ZONES
            for number in range(CALLERS_PER_ZONE)
        ]
        await asyncio.sleep(4.0)
        for ip in self._cut_ips:
            fleet.connect_s_by_ip[ip] = self._connect_s
        now_s = asyncio.get_running_loop().time()
        self._counts_from_s = now_s + SETTLE_S
        await asyncio.sleep(CUT_S)
        self._counts_from_s = float("inf")
        fleet.connect_s_by_ip.clear()
        await asyncio.sleep(4.0)
        for caller in callers:
            caller.cancel()
        self.returns = sum(
            front.forwarder.reach.return_count for front in fleet.fronts
        )
        failures = fleet.close()
        if failures:
            raise failures[0]
        return fleet

    def _route(self, path: str) -> routes.Route:
        return front_fakes.route(
            name=path,
            path_prefix=path,
            is_idempotent=path == READS,
            objective_s=OBJECTIVE_S,
            timeout_s=TIMEOUT_S,
        )

    async def _call(
        self, fleet: front_fleet.FrontFleet, zone: str, number: int
    ) -> None:
        """Sends the requests of one caller, whatever the answers."""
        loop = asyncio.get_running_loop()
        near = [front for front in fleet.fronts if front.zone == zone]
        by_ip = {front.ip: front for front in fleet.fronts}
        keep_factor = KEEP_FACTORS[number % len(KEEP_FACTORS)]
        addresses: list[tuple[str, int]] = []
        kept_until_s = 0.0
        count = 0
        while True:
            await asyncio.sleep(self._rng.expovariate(RATE_PER_S))
            if loop.time() >= kept_until_s:
                found = self._rng.choice(near).directory.resolve(
                    availability_zone=zone, region=front_fakes.ZONES[zone]
                )
                addresses = found.addresses or addresses
                kept_until_s = loop.time() + keep_factor * found.ttl_s
            count += 1
            front = by_ip[self._rng.choice(addresses)[0]]
            task = loop.create_task(
                self._try(front, f"{self._prefix()}{zone}/{number}/{count}")
            )
            fleet.tasks.add(task)
            task.add_done_callback(fleet.tasks.discard)

    def _prefix(self) -> str:
        is_read = self._rng.random() < self._idempotent_share
        return READS if is_read else ORDERS

    async def _try(self, front: front_fleet.FleetFront, path: str) -> None:
        sent_s = asyncio.get_running_loop().time()
        is_counted = sent_s >= self._counts_from_s
        answer = await front.forwarder.handle(
            front_fakes.request(path, received_s=sent_s),
            caller_presence.CallerPresence(),
        )
        if is_counted:
            is_cut = front.ip in self._cut_ips
            tally = self.cut if is_cut else self.others
            tally.sent += 1
            tally.served += answer.status < 500

    def _behave(
        self, target: targets.Target
    ) -> tuple[float, target_sender.AttemptResult]:
        if self._rng.random() < FAILED_SHARE:
            failed = front_fakes.result(outcomes.Outcome.FAILED, 500)
            return WORK_S, failed
        return WORK_S, front_fakes.answered()
