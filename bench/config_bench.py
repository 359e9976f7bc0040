"""Simulation of publishers and configuration agents on a virtual loop.

A broadcast with a random delay replaces gossip.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random

from bench import fake_store
from bench import virtual_loop
from fuchsiacourse import config_agent
from fuchsiacourse import config_table
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import in_force
from fuchsiacourse import invariants
from fuchsiacourse import logs
from fuchsiacourse import manifest
from fuchsiacourse import member
from fuchsiacourse import members
from fuchsiacourse import platform_model
from fuchsiacourse import publish_files
from fuchsiacourse import publisher
from fuchsiacourse import service_file
from fuchsiacourse import timers

_SAMPLE = (
    pathlib.Path(__file__).parent.parent / "samples/glenmorach/larder.json"
)
ZONES = (
    ("tay-a", "tayside"),
    ("tay-b", "tayside"),
    ("lot-a", "lothian"),
    ("lot-b", "lothian"),
)


def candidate(name: str, **changes) -> publish_files.Candidate:
    """Returns a sample service file with a route of its own.

    Args:
        name: Name of the service; its path prefix unless ``path`` is given.
        **changes: Fields to replace in the service file.
    """
    content = json.loads(_SAMPLE.read_text(encoding="utf-8"))
    content |= {"service": name, "objectives": []}
    del content["kinds"][1:]
    content["kinds"][0]["path_prefix"] = changes.pop("path", f"/{name}")
    body = json.dumps(content | changes).encode()
    return publish_files.Candidate(
        parsed=service_file.parse(body, source=name),
        body=body,
        source=f"{name}.json",
    )


class PublishBench:
    """A platform and operators on the running virtual loop."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = virtual_loop.VirtualClock()
        self.rng = random.Random(seed)
        self.platform = platform_model.PlatformModel(clock=self.clock)
        self.background_errors: list[Exception] = []
        self.timers = timers.Timers(
            clock=self.clock,
            rng=self.rng,
            on_error=self.background_errors.append,
        )

    def store(self, **options) -> fake_store.FakeStore:
        """Returns one process's connection to the platform."""
        return fake_store.FakeStore(
            platform=self.platform,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            **options,
        )

    def publisher(self, operator: str = "ann") -> publisher.Publisher:
        """Returns the publisher of one operator."""
        return publisher.Publisher(
            store=self.store(),
            clock=self.clock,
            rng=self.rng,
            operator=operator,
        )

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest that the platform holds."""
        found = self.platform.table.get(manifest.KEY)
        return manifest.decode(found.value, source="test")


class _Peers:
    """Delivers configuration fetches between nodes; no other calls."""

    def __init__(self, *, bench: "FleetBench") -> None:
        self._bench = bench
        self.calls = 0

    async def fetch_config(
        self, address: str, request, *, timeout_s: float
    ) -> fleet_pb2.FetchReply:
        """Returns the reply of the node with an address."""
        self.calls += 1
        await self._bench.clock.sleep(0.002)
        node = self._bench.nodes_by_address.get(address)
        if node is None or not node.is_reachable:
            raise errors.PeerUnreachable(address)
        return await node.answer(request)


class Node:
    """Process with a configuration agent and simulated gossip."""

    def __init__(self, *, bench: "FleetBench", number: int) -> None:
        zone, region = ZONES[number % len(ZONES)]
        self.bench = bench
        self.is_reachable = True
        self.row = member.Member(
            id=f"m{number:03}",
            role=members.ENTRY if number >= 32 else members.DISPATCH,
            host=f"127.0.1.{number}",
            availability_zone=zone,
            region=region,
            gossip_address="",
            rpc_address=f"127.0.1.{number}:1",
        )
        self.members = members.Members(self_row=self.row)
        checks = invariants.Invariants(
            log=logs.silent(), on_broken=self._broken
        )
        self.config = config_table.ConfigTable(invariants=checks)
        self.store: fake_store.FakeStore = bench.store()
        self.peers = _Peers(bench=bench)
        parts = {
            "clock": bench.clock,
            "timers": bench.timers,
            "rng": bench.rng,
            "members": self.members,
            "store": self.store,
            "log": logs.silent(),
        }
        self.agent = config_agent.ConfigAgent(
            **parts, config=self.config, peers=self.peers, gossip=self
        )
        self.reporter = in_force.InForceReporter(**parts)
        self.answer = self.agent.fetch

    def start(self) -> None:
        """Starts the agent and the zone's report."""
        self.agent.start()
        self.reporter.start()

    def set_config_number(self, number: int) -> None:
        """Announces the number to every other node after a delay."""
        self.row.config_number = number
        self.members.notify(self.row)
        for node in self.bench.nodes_by_address.values():
            if node is not self and self.is_reachable:
                self.bench.timers.after(
                    self.bench.rng.uniform(0.1, 1.0),
                    lambda node=node: node.receive_update(self.row, number),
                )

    def receive_update(self, row: member.Member, number: int) -> None:
        """Handles the announcement of another node's number."""
        if not self.is_reachable:
            return
        known = self.members.by_id[row.id]
        known.config_number = max(known.config_number, number)
        self.members.notify(known)
        self.agent.on_number(number, known)

    def _broken(self, invariant_id, evidence) -> None:
        raise AssertionError(f"{invariant_id} {evidence}")


class FleetBench(PublishBench):
    """Nodes that know each other from the start."""

    def __init__(self, *, nodes: int, seed: int = 1) -> None:
        super().__init__(seed=seed)
        self.nodes_by_address: dict[str, Node] = {}
        for number in range(nodes):
            self.add(number)

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return list(self.nodes_by_address.values())

    def add(self, number: int) -> Node:
        """Adds a node and enters it in every member table."""
        added = Node(bench=self, number=number)
        self.nodes_by_address[added.row.rpc_address] = added
        for node in self.nodes:
            node.members.by_id[added.row.id] = self._copy(added.row)
            added.members.by_id[node.row.id] = self._copy(node.row)
        added.members.by_id[added.row.id] = added.row
        return added

    def start(self) -> None:
        """Starts every node."""
        for node in self.nodes:
            node.start()

    def numbers(self) -> set[int]:
        """Returns the distinct numbers in force on the nodes."""
        return {node.config.number for node in self.nodes}

    async def time_until(self, number: int, limit_s: float) -> float:
        """Waits until all nodes have a number; returns the seconds.

        Raises:
            AssertionError: The number is not in force everywhere within
                limit_s.
        """
        start_s = self.clock.now()
        while self.numbers() != {number}:
            if self.clock.now() - start_s > limit_s:
                raise AssertionError(f"in force: {self.numbers()}")
            await asyncio.sleep(0.05)
        return self.clock.now() - start_s

    @staticmethod
    def _copy(row: member.Member) -> member.Member:
        names = set(member.Member.__slots__) - {"state_since"}
        return member.Member(**{name: getattr(row, name) for name in names})
