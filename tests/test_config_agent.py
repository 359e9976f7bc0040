"""Tests of the configuration agent, on virtual time."""

import asyncio
import unittest
from unittest import mock

from bench import config_bench
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import manifest
from fuchsiacourse import service_file

IN_FORCE_BOUND_S = 5.0


class ConfigAgentTest(unittest.TestCase):
    """A configuration must spread within its bound and never be reverted."""

    def run_fleet(self, scenario, *, nodes: int = 12) -> None:
        async def main():
            bench = config_bench.FleetBench(nodes=nodes)
            bench.start()
            await bench.publisher().publish([config_bench.candidate("larder")])
            await bench.time_until(1, 10.0)
            await scenario(bench)
            self.assertEqual([], bench.background_errors)

        virtual_loop.run(main())

    async def publish(self, bench, floor: int, **changes) -> int:
        result = await bench.publisher().publish(
            [config_bench.candidate("larder", floor_slots=floor, **changes)]
        )
        return result.number

    def test_publishes_spread_with_bounded_calls(self):
        """Guards against every node reading the store for a publish."""

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
            # One report a second in each of four zones while the numbers
            # spread.
            self.assertLessEqual(
                calls["put"], 3 * 2 + 4 * 3 * IN_FORCE_BOUND_S
            )

        self.run_fleet(scenario, nodes=40)

    def test_hung_watch(self):
        """Guards against missing a publish because of a hung watch."""

        async def scenario(bench):
            bench.platform.faults.hang_watches = True
            await asyncio.sleep(40)
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_slow_store(self):
        """Guards against a slow platform delaying the spread."""

        async def scenario(bench):
            bench.platform.faults.delay_s = 0.5
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_bodies_missing_in_an_outage(self):
        """Guards against a partially read configuration in force."""

        async def scenario(bench):
            first = bench.nodes[0].config.services_by_name["larder"]
            number = await self.publish(bench, 1)
            bench.platform.faults.outage = True
            await asyncio.sleep(60)
            self.assertLessEqual(bench.numbers(), {1, number})
            bench.platform.faults.outage = False
            await bench.time_until(number, IN_FORCE_BOUND_S)
            second = bench.nodes[0].config.services_by_name["larder"]
            self.assertEqual((15, 1), (first.floor_slots, second.floor_slots))

        self.run_fleet(scenario)

    def test_new_node_in_an_outage(self):
        """Guards against a new node that can't start without the platform.

        All peers but one return no configuration.
        """

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

    def test_old_manifest_is_not_adopted(self):
        """Guards against adopting an old manifest from a peer or the store."""

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
        """Guards against adopting a body that does not match its digest."""

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
        """Guards against losing the configuration during an upgrade.

        The new body has a field that this version can't parse.
        """

        async def scenario(bench):
            body = config_bench.candidate("larder").body
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
            # Each of six watchers polls four times and reads the new body
            # once.
            self.assertLessEqual(
                bench.platform.calls_by_name["get"], 6 * (4 + 1)
            )
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)

    def test_rate_limit(self):
        """Guards against a fleet that stops updating after a rate limit."""

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
        """Guards against a region that depends on its own watchers."""

        async def scenario(bench):
            for node in bench.nodes:
                node.store.loses_requests = node.row.region == "lothian"
            number = await self.publish(bench, 1)
            await bench.time_until(number, IN_FORCE_BOUND_S)

        self.run_fleet(scenario)
