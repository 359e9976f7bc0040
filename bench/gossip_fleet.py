"""Fleet of gossip members on the virtual loop."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from bench import fake_datagrams
from bench import fake_links
from bench import paused_clock
from fuchsiacourse import errors
from fuchsiacourse import gossip
from fuchsiacourse import identity
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

DEPLOYMENT_KEY = "bench-deployment-key"
SEEDS = 3

# Bytes of a datagram's IP and UDP headers.
HEADER_BYTES = 28


class UnavailableStore(stores.Store):
    """Store whose platform is down; every call fails."""

    async def get(self, key):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")

    async def list(self, prefix):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")

    async def put(self, key, value, *, if_version):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")

    async def delete(self, key, *, if_version):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")

    async def watch(self, prefix, *, after_revision, timeout_s):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")

    async def hosts(self):
        """Raises StoreUnavailable."""
        raise errors.StoreUnavailable("the platform is down")


class GossipNode:
    """Process of the fleet that runs only gossip.

    Args:
        index: Number of the process; determines its address.
        region: Region of its host.
        network: Network that it is connected to.
        seed: Seed of its randomness.
        deployment_key: Key that authenticates its packets.
    """

    def __init__(
        self,
        *,
        index: int,
        region: str,
        network: fake_datagrams.FakeDatagramNetwork,
        seed: int,
        deployment_key: str = DEPLOYMENT_KEY,
    ) -> None:
        rng = random.Random(f"{seed}/{index}")
        self.ip = ip_of_index(index)
        self.gate = network.links.gate(self.ip)
        self.clock = paused_clock.PausedClock(gate=self.gate)
        self.errors: list[Exception] = []
        self.timers = timer_services.Timers(
            clock=self.clock, rng=rng, on_error=self.errors.append
        )
        self.row = member_rows.Member(
            id=identity.new_incarnation(rng=rng, wall_s=self.clock.wall()),
            role=member_tables.DISPATCH if index % 2 else member_tables.ENTRY,
            host=self.ip,
            availability_zone=f"{region}-{index % 2}",
            region=region,
            gossip_address=f"{self.ip}:7000",
            rpc_address=f"{self.ip}:7001",
        )
        self.members = member_tables.Members(self_row=self.row)
        self.gossip = gossip.Gossip(
            clock=self.clock,
            timers=self.timers,
            rng=rng,
            members=self.members,
            datagram=network.endpoint(f"{self.ip}:7000"),
            store=UnavailableStore(),
            seeds=[f"{ip_of_index(seed)}:7000" for seed in range(SEEDS)],
            deployment_key=deployment_key,
            log=logs.silent(),
            metrics=None,
        )

    @property
    def id(self) -> str:
        """Identifier of the member."""
        return self.row.id

    @property
    def wire_bytes(self) -> int:
        """Bytes sent and received, including IP and UDP headers."""
        transport = self.gossip.transport
        packets = transport.packets_sent + transport.packets_received
        payload = transport.bytes_sent + transport.bytes_received
        return payload + packets * HEADER_BYTES

    def state_of(self, other: GossipNode) -> member_rows.State | None:
        """Returns the state of another node in this node's table, or None."""
        row = self.members.by_id.get(other.id)
        return row.state if row else None

    def kill(self) -> None:
        """Ends the process without announcing it."""
        self.gate.kill()
        self.gossip.close()
        self.timers.close()


class GossipFleet:
    """Fleet of gossip members that share the same seed addresses.

    Args:
        size: Number of members.
        seed: Seed of all randomness.
        link: Default condition of the links.
        regions: Regions that pairs of members are assigned to in turn.
    """

    def __init__(
        self,
        *,
        size: int,
        seed: int,
        link: fake_links.Link | None = None,
        regions: tuple[str, ...] = ("tayside", "lothian"),
    ) -> None:
        self.seed = seed
        self.regions = regions
        self.links = fake_links.FakeLinks(
            rng=random.Random(seed), default=link
        )
        self.network = fake_datagrams.FakeDatagramNetwork(links=self.links)
        self.nodes = [self.new_node(index) for index in range(size)]

    def new_node(self, index: int, **options) -> GossipNode:
        """Returns a node that has not been started."""
        return GossipNode(
            index=index,
            region=self.regions[index // 2 % len(self.regions)],
            network=self.network,
            seed=self.seed,
            **options,
        )

    async def join(self, timeout_s: float = 20.0) -> None:
        """Starts all nodes and waits until they hold each other alive."""
        for node in self.nodes:
            node.gossip.start()
        await self.wait_until(
            lambda: all_hold(self.nodes, self.nodes, member_rows.State.ALIVE),
            timeout_s=timeout_s,
        )

    async def wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        *,
        timeout_s: float,
    ) -> float:
        """Waits until a condition holds and returns the elapsed seconds.

        Raises:
            TimeoutError: It does not hold within the timeout.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not condition():
            if loop.time() - start_s > timeout_s:
                raise TimeoutError(f"condition not met in {timeout_s} s")
            await asyncio.sleep(0.05)
        return loop.time() - start_s

    def set_region_cut(self, is_cut: bool) -> None:
        """Cuts or restores all links between different regions."""
        for one in self.nodes:
            for other in self.nodes:
                if one.row.region == other.row.region:
                    continue
                if is_cut:
                    self.links.cut(one.ip, other.ip)
                else:
                    self.links.restore(one.ip, other.ip)

    def close(self) -> None:
        """Ends all nodes."""
        for node in self.nodes:
            node.kill()


def ip_of_index(index: int) -> str:
    """Returns the IP address of a node."""
    return f"10.0.{index // 250}.{index % 250 + 1}"


def all_hold(
    observers: collections.abc.Iterable[GossipNode],
    subjects: collections.abc.Iterable[GossipNode],
    *states: member_rows.State,
) -> bool:
    """Whether all observers hold all subjects in one of the given states."""
    subjects = list(subjects)
    return all(
        observer.state_of(subject) in states
        for observer in observers
        for subject in subjects
        if subject is not observer
    )
