"""Tests of the zones' reports of configuration numbers, on virtual time."""

import asyncio
import unittest

from bench import config_bench
from bench import virtual_loop
from fuchsiacourse import in_force
from fuchsiacourse import member


class InForceTest(unittest.TestCase):
    """A report must match its zone at a bounded rate of writes."""

    def run_fleet(self, scenario) -> None:
        async def main():
            bench = config_bench.FleetBench(nodes=16)
            for node in bench.nodes:
                node.reporter.start()
            await asyncio.sleep(10)
            await scenario(bench)
            self.assertEqual([], bench.background_errors)

        virtual_loop.run(main())

    def report(self, bench, zone: str = "tay-a") -> in_force.ZoneReport:
        found = bench.platform.table.get(in_force.PREFIX + zone)
        return in_force.ZoneReport.model_validate_json(found.value)

    def reporter(self, bench, zone: str = "tay-a"):
        name = self.report(bench, zone).reporter
        return next(node for node in bench.nodes if node.row.id == name)

    def test_one_reporter_writes_changes_only(self):
        """Guards against several writers and writes without a change."""

        async def scenario(bench):
            self.assertEqual(4, bench.platform.calls_by_name["put"])
            for node in bench.nodes:
                node.members.notify(node.row)
            await asyncio.sleep(60)
            self.assertEqual(4, bench.platform.calls_by_name["put"])
            for number in range(1, 101):
                bench.nodes[4].set_config_number(number)
                await asyncio.sleep(0.1)
            await asyncio.sleep(3)
            written = bench.platform.calls_by_name["put"] - 4
            self.assertLessEqual(written, 10 + 3 + 1)
            report = self.report(bench)
            self.assertEqual(100, report.members["m004"].number)
            self.assertEqual(4, len(report.members))

        self.run_fleet(scenario)

    def test_outage_and_lost_reply(self):
        """Guards against a report that stays stale after a fault."""

        async def scenario(bench):
            bench.platform.faults.outage = True
            bench.nodes[4].set_config_number(7)
            await asyncio.sleep(60)
            bench.platform.faults.outage = False
            bench.platform.faults.lose_write_replies = 2
            await asyncio.sleep(60)
            self.assertEqual(7, self.report(bench).members["m004"].number)
            bench.nodes[4].set_config_number(8)
            await asyncio.sleep(5)
            self.assertEqual(8, self.report(bench).members["m004"].number)

        self.run_fleet(scenario)

    def test_reporter_that_was_paused(self):
        """Guards against a resumed reporter that lowers numbers."""

        async def scenario(bench):
            stale = self.reporter(bench)
            stale.is_reachable = False
            for node in bench.nodes:
                if node is not stale:
                    row = node.members.by_id[stale.row.id]
                    row.state = member.State.SUSPECT
                    node.members.notify(row)
            other = next(
                node
                for node in bench.nodes
                if node.row.availability_zone == "tay-a" and node is not stale
            )
            other.set_config_number(9)
            await asyncio.sleep(5)
            stale.row.config_number = 5
            stale.members.notify(stale.row)
            await asyncio.sleep(30)
            report = self.report(bench)
            self.assertEqual(5, report.members[stale.row.id].number)
            self.assertEqual(9, report.members[other.row.id].number)

        self.run_fleet(scenario)
