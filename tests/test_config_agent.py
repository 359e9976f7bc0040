"""Tests of the configuration agent, on virtual time."""

import asyncio
import unittest
from unittest import mock

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
from fuchsiacourse import service_file
from tests import test_publisher

ZONES = (
    ("tay-a", "tayside"),
    ("tay-b", "tayside"),
    ("lot-a", "lothian"),
    ("lot-b", "lothian"),
)
IN_FORCE_BOUND_S = 5.0


class FakePeers:
    """Calls between the nodes of a bench; other calls are not needed."""

    def __init__(self, *, bench: "FleetBench") -> None:
        self._bench = bench
        self.calls = 0

    async def fetch_config(
        self, address: str, request, *, timeout_s: float
    ) -> fleet_pb2.FetchReply:
        """Asks the node with an address."""
        self.calls += 1
        await self._bench.clock.sleep(0.002)
        node = self._bench.nodes_by_address.get(address)
        if node is None or not node.is_reachable:
            raise errors.PeerUnreachable(address)
        return await node.answer(request)


class Node:
    """A process with an agent; gossip is a delayed broadcast."""

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
        self.peers = FakePeers(bench=bench)
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
        """Shows the number to every node after a delay."""
        self.row.config_number = number
        self.members.notify(self.row)
        for node in self.bench.nodes_by_address.values():
            if node is not self and self.is_reachable:
                self.bench.timers.after(
                    self.bench.rng.uniform(0.1, 1.0),
                    lambda node=node: node.see(self.row, number),
                )

    def see(self, row: member.Member, number: int) -> None:
        """Takes a gossip update on another node."""
        if not self.is_reachable:
            return
        known = self.members.by_id[row.id]
        known.config_number = max(known.config_number, number)
        self.members.notify(known)
        self.agent.on_number(number, known)

    def _broken(self, invariant_id, evidence) -> None:
        raise AssertionError(f"{invariant_id} {evidence}")


class FleetBench(test_publisher.PublishBench):
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
        """Adds a node and makes it known."""
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
        """Returns the numbers in force."""
        return {node.config.number for node in self.nodes}

    async def time_until(self, number: int, limit_s: float) -> float:
        """Returns the seconds until a number is in force everywhere."""
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


class ConfigAgentTest(unittest.TestCase):
    """A configuration must spread within its bound and never revert."""

    def run_fleet(self, scenario, *, nodes: int = 12) -> None:
        async def main():
            bench = FleetBench(nodes=nodes)
            bench.start()
            await bench.publisher().publish(
                [test_publisher.candidate("larder")]
            )
            await bench.time_until(1, 10.0)
            await scenario(bench)

        virtual_loop.run(main())

    async def publish(self, bench, floor: int, **changes) -> int:
        result = await bench.publisher().publish(
            [test_publisher.candidate("larder", floor_slots=floor, **changes)]
        )
        return result.number

    def test_publishes_spread_with_bounded_calls(self):
        """Guards against a fleet of which every node asks the store."""

        async def scenario(bench):
            await asyncio.sleep(1)
            start_s = bench.clock.now()
            bench.platform.calls_by_name.clear()
            for floor in (1, 0, 1):
                number = await self.publish(bench, floor)
                await bench.time_until(number, IN_FORCE_BOUND_S)
                await asyncio.sleep(17)
            elapsed_s = bench.clock.now() - start_s
            calls = bench.platform.calls_by_name
            watchers = 2 * 3
            rounds = elapsed_s * (1 / 10 + 1 / 30) * 1.25 + 3 * (1 + 1) + 2
            publisher_calls = 3 * 3
            self.assertLessEqual(
                calls["get"] + calls["watch"],
                watchers * rounds + publisher_calls,
            )
            # One report a second in each of four zones, for the few
            # seconds in which numbers spread.
            self.assertLessEqual(
                calls["put"], 3 * 2 + 4 * 3 * IN_FORCE_BOUND_S
            )

        self.run_fleet(scenario, nodes=40)

    def test_hung_watch(self):
        """Guards against a publish that a hung watch hides."""

        async def scenario(bench):
            bench.platform.faults.hang_watches = True
            await asyncio.sleep(40)
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_slow_store(self):
        """Guards against a spread that waits on a slow platform."""

        async def scenario(bench):
            bench.platform.faults.delay_s = 0.5
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_bodies_missing_in_an_outage(self):
        """Guards against a half-read configuration in force."""

        async def scenario(bench):
            first = bench.nodes[0].config.services_by_name["larder"]
            number = await self.publish(bench, 1)
            bench.platform.faults.outage = True
            await asyncio.sleep(60)
            self.assertLessEqual(bench.numbers(), {1, number})
            bench.platform.faults.outage = False
            await bench.time_until(number, IN_FORCE_BOUND_S)
            second = bench.nodes[0].config.services_by_name["larder"]
            self.assertEqual((2, 1), (first.floor_slots, second.floor_slots))

        self.run_fleet(scenario)

    def test_new_node_in_an_outage(self):
        """Guards against a new node that needs the platform."""

        async def scenario(bench):
            await self.publish(bench, 1)
            await bench.time_until(2, IN_FORCE_BOUND_S)
            bench.platform.faults.outage = True
            added = bench.add(32)
            for stale in bench.nodes[:11]:
                stale.answer = lambda request: asyncio.sleep(
                    0, fleet_pb2.FetchReply(number=0)
                )
                added.members.by_id[stale.row.id].config_number = 1
            added.start()
            await asyncio.sleep(5)
            self.assertEqual(2, added.config.number)
            self.assertEqual(0, added.store.calls_by_name["get"])

        self.run_fleet(scenario)

    def test_old_manifest_does_not_revert(self):
        """Guards against a stale peer or store that offers old numbers."""

        async def scenario(bench):
            old = bench.platform.table.get(manifest.KEY)
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)
            node, stale = bench.nodes[0], bench.nodes[1]
            reply = fleet_pb2.FetchReply(number=99, manifest=old.value)
            stale.answer = lambda request: asyncio.sleep(0, reply)
            node.agent.on_number(99, node.members.by_id[stale.row.id])
            bench.platform.table.put(manifest.KEY, old.value, if_version=None)
            await asyncio.sleep(30)
            self.assertEqual({number}, bench.numbers())

        self.run_fleet(scenario)

    def test_wrong_body_from_a_peer(self):
        """Guards against a body that does not fit its digest."""

        async def scenario(bench):
            broken = bench.nodes[-1]
            answer = broken.agent.fetch

            async def corrupted(request):
                reply = await answer(request)
                for item in reply.bodies:
                    item.body += b" "
                return reply

            broken.answer = corrupted
            added = bench.add(32)
            added.agent.on_number(1, added.members.by_id[broken.row.id])
            await asyncio.sleep(10)
            self.assertEqual(1, added.config.number)
            request = fleet_pb2.FetchRequest(services=["larder"])
            (held,) = (await added.agent.fetch(request)).bodies
            self.assertEqual(held.digest, manifest.digest(held.body))

        self.run_fleet(scenario)

    def test_body_of_a_newer_schema(self):
        """Guards against a fleet without configuration in an upgrade."""

        async def scenario(bench):
            body = test_publisher.candidate("larder").body
            newer = body[:-1] + b', "new_field": 1}'
            version = manifest.version_of(newer)
            table = bench.platform.table
            table.put(
                manifest.body_key("larder", version.version),
                newer,
                if_version=0,
            )
            wanted = manifest.Manifest(
                number=2, publish_id="x", services={"larder": version}
            )
            table.put(manifest.KEY, wanted.encode(), if_version=None)
            bench.platform.calls_by_name.clear()
            with mock.patch.object(
                service_file, "parse", wraps=service_file.parse
            ) as parse:
                await asyncio.sleep(30)
            self.assertEqual(6, parse.call_count)
            self.assertEqual({1}, bench.numbers())
            # Six watchers poll four times and read the new body once.
            self.assertLessEqual(
                bench.platform.calls_by_name["get"], 6 * (4 + 1)
            )
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_rate_limit(self):
        """Guards against a fleet that stops when calls are limited."""

        async def scenario(bench):
            def limited(name, *, is_write):
                raise errors.StoreRateLimited(name)

            bench.platform.admit = limited
            await asyncio.sleep(30)
            del bench.platform.admit
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_region_without_the_platform(self):
        """Guards against a region that only learns from its watchers."""

        async def scenario(bench):
            for node in bench.nodes:
                node.store.loses_requests = node.row.region == "lothian"
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)
