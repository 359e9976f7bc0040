"""Fleet of fronts on virtual time that decide and exchange evidence.

Each front has its real decisions and its real membership; packets travel over
a fake network, targets are played by a function.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from bench import fake_datagrams
from bench import fake_links
from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import directory as directories
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import forwarder as forwarders
from fuchsiacourse.front import front_status
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import membership as memberships
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import store_view
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_registration
from fuchsiacourse.front import target_sender
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

SEEDS = ("10.0.0.1", "10.0.1.1", "10.0.2.1")
# Time in which the fronts find each other, in seconds.
START_S = 4.0
ZONE_DELAY_S = 0.001
REGION_DELAY_S = 0.008

Behave = typing.Callable[
    [targets.Target], tuple[float, target_sender.AttemptResult]
]


class Arrival:
    """Arrival of a request at a target.

    Args:
        at_s: Loop time in seconds.
        front: IP address of the front that sent it.
    """

    __slots__ = ("at_s", "front")

    def __init__(self, *, at_s: float, front: str) -> None:
        self.at_s = at_s
        self.front = front


class FleetFront:
    """One front of a fleet.

    Args:
        ip: IP address of the front.
        zone: Its availability zone.
        network: Network of the fleet.
        sender: Sender for the attempts.
        records: Registrations of the targets.
        found: Routes of the requests.
    """

    def __init__(
        self,
        *,
        ip: str,
        zone: str,
        network: fake_datagrams.FakeDatagramNetwork,
        sender: FrontSender,
        records: list[target_registration.TargetRegistration],
        found: list[routes.Route],
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.failures: list[Exception] = []
        rng = random.Random(ip)
        clock = virtual_loop.VirtualClock()
        self.timers = timer_services.Timers(
            clock=clock, rng=rng, on_error=self.failures.append
        )
        view = store_view.StoreView(
            has_proven_contact=False,
            has_lost_store=False,
            capacity=20,
            config_revision=1,
            target_revision=1,
        )
        settings = front_fakes.settings(ip, zone, SEEDS)
        self.membership = memberships.Membership(
            clock=clock,
            timers=self.timers,
            rng=rng,
            datagram=network.endpoint(f"{ip}:7000"),
            settings=settings,
            incarnation=1,
            status=lambda: self._status(view),
            log=logs.silent(),
        )
        self.forwarder: forwarders.Forwarder = front_fakes.forwarder(
            sender,
            *records,
            clock=clock,
            seed=rng.randrange(1 << 30),
            zone=zone,
            live_share=self.membership.peers.live_share,
            send_evidence=self.membership.send_evidence,
            connector=sender,
            on_reach_change=self.membership.announce,
        )
        self.forwarder.config = front_fakes.config(*found)
        self.directory = directories.Directory(
            settings=settings,
            peers=self.membership.peers,
            is_serving=lambda: self.is_ready,
        )
        self.membership.start(self._apply_evidence)

    @property
    def is_ready(self) -> bool:
        """Whether the front serves callers."""
        return not self.forwarder.reach.is_cut_off

    def _status(self, view: store_view.StoreView) -> front_status.FrontStatus:
        return front_status.FrontStatus(
            is_ready=self.is_ready,
            is_leaving=False,
            config_version=1,
            store_contact_s=9.0,
            view=view,
        )

    def _apply_evidence(
        self, evidence: evidences.Evidence, front: str, is_same_zone: bool
    ) -> None:
        if evidence.outcome is outcomes.Outcome.ANSWERED:
            self.forwarder.reach.record_peer_answer()
        self.forwarder.collector.apply_remote(
            evidence, front=front, is_same_zone=is_same_zone
        )


class FrontSender(front_fakes.FakeSender, reach_monitor.TargetConnector):
    """Sender of one front that records the arrivals at the targets.

    Args:
        ip: IP address of the front.
        behave: Decides how a target treats a request.
        arrivals: Arrivals by id of the target, added to.
        connect_s_by_ip: Time until a connection fails, in seconds, by IP
            address of the fronts that are cut off from the targets.
        keeps_connections: Whether the connections that such a front has to
            targets live on; only idempotent requests use them.
    """

    def __init__(
        self,
        *,
        ip: str,
        behave: Behave,
        arrivals: dict[str, list[Arrival]],
        connect_s_by_ip: dict[str, float],
        keeps_connections: bool = False,
    ) -> None:
        super().__init__(self._arrive)
        self._ip = ip
        self._keeps_connections = keeps_connections
        # Loop time at which the kept connection to each target was opened, in
        # seconds, by id of the target.
        self._connected_s_by_id: dict[str, float] = {}
        # Whether the attempt that is being started uses a kept connection.
        self._uses_kept = False
        self._connect_s_by_ip = connect_s_by_ip
        self._behave_at = behave
        self._arrivals = arrivals

    async def send(
        self,
        target: targets.Target,
        request: http_request.HttpRequest,
        *,
        request_id: str,
        deadline_s: float,
        is_idempotent: bool,
    ) -> target_sender.AttemptResult:
        """Sends over a kept connection if there is one, see the base class."""
        now_s = asyncio.get_running_loop().time()
        kept_s = None
        if self._keeps_connections and is_idempotent:
            kept_s = self._connected_s_by_id.get(target.record.id)
        is_cut = self._ip in self._connect_s_by_ip
        self._uses_kept = is_cut and kept_s is not None
        result = await super().send(
            target,
            request,
            request_id=request_id,
            deadline_s=deadline_s,
            is_idempotent=is_idempotent,
        )
        if result.outcome is not outcomes.Outcome.UNREACHED:
            result.connected_s = now_s if kept_s is None else kept_s
            self._connected_s_by_id.setdefault(target.record.id, now_s)
        return result

    async def connect(self, target: targets.Target) -> bool:
        """Returns whether a target accepts a connection of the front."""
        connect_s = self._connect_s_by_ip.get(self._ip)
        await asyncio.sleep(connect_s or ZONE_DELAY_S)
        return connect_s is None

    def _arrive(
        self, target: targets.Target, count: int
    ) -> tuple[float, target_sender.AttemptResult]:
        connect_s = self._connect_s_by_ip.get(self._ip)
        if connect_s is not None and not self._uses_kept:
            unreached = front_fakes.result(outcomes.Outcome.UNREACHED)
            return connect_s, unreached
        now_s = asyncio.get_running_loop().time()
        self._arrivals[target.record.id].append(
            Arrival(at_s=now_s, front=self._ip)
        )
        return self._behave_at(target)


class FrontFleet:
    """Fronts of all availability zones before the same targets.

    Attributes:
        fronts: The fronts, which callers choose at random.
        arrivals_by_id: Arrivals at the targets by id.
        answers: Answers to the callers.
        links: Conditions of the links between the fronts.
        connect_s_by_ip: Time until a connection to a target fails, in
            seconds, by IP address of the fronts that are cut off from all
            targets.

    Args:
        seed: Seed of the arrivals.
        per_zone: Number of fronts in each availability zone.
        records: Registrations of the targets.
        behave: Decides how a target treats a request: the time in seconds
            and the result.
        found: Routes of the requests, None for one of idempotent ones.
        keeps_connections: Whether connections to targets outlive a cut.
    """

    def __init__(
        self,
        *,
        seed: int,
        per_zone: int,
        records: list[target_registration.TargetRegistration],
        behave: Behave,
        found: list[routes.Route] | None = None,
        keeps_connections: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        self.links = fake_links.FakeLinks(
            rng=random.Random(seed),
            default=fake_links.Link(delay_s=ZONE_DELAY_S),
        )
        network = fake_datagrams.FakeDatagramNetwork(links=self.links)
        self.arrivals_by_id: dict[str, list[Arrival]] = (
            collections.defaultdict(list)
        )
        self.answers: list[http_answer.HttpAnswer] = []
        self.connect_s_by_ip: dict[str, float] = {}
        self.fronts = [
            FleetFront(
                ip=f"10.0.{third}.{last}",
                zone=zone,
                network=network,
                sender=FrontSender(
                    ip=f"10.0.{third}.{last}",
                    behave=behave,
                    arrivals=self.arrivals_by_id,
                    connect_s_by_ip=self.connect_s_by_ip,
                    keeps_connections=keeps_connections,
                ),
                records=records,
                found=found or [front_fakes.route()],
            )
            for third, zone in enumerate(front_fakes.ZONES)
            for last in range(1, per_zone + 1)
        ]
        self.tasks: set[asyncio.Task] = set()

    async def send(
        self,
        for_s: float,
        rate_per_s: float,
        fronts: list[FleetFront] | None = None,
    ) -> None:
        """Sends requests at a rate, whatever the answers.

        Args:
            for_s: Time in seconds.
            rate_per_s: Requests per second, to all fronts together.
            fronts: Fronts that the callers use, None for all.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = len(self.answers)
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            number += 1
            request = front_fakes.request(
                f"/orders/{loop.time()}/{number}", received_s=loop.time()
            )
            front = self._rng.choice(fronts or self.fronts)
            task = asyncio.ensure_future(self._handle(front, request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close(self) -> list[Exception]:
        """Stops all fronts; returns the errors of their timers."""
        for task in self.tasks:
            task.cancel()
        for front in self.fronts:
            front.timers.close()
        return [error for front in self.fronts for error in front.failures]

    def most_in(self, id: str, *, window_s: float, from_s: float) -> int:
        """Returns the most arrivals at a target in any window.

        Args:
            id: Id of the target.
            window_s: Length of the window in seconds.
            from_s: Loop time from which arrivals count, in seconds.
        """
        times = sorted(
            item.at_s
            for item in self.arrivals_by_id[id]
            if item.at_s >= from_s
        )
        most = first = 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    async def _handle(self, front: FleetFront, request: typing.Any) -> None:
        self.answers.append(
            await front.forwarder.handle(
                request, caller_presence.CallerPresence()
            )
        )
