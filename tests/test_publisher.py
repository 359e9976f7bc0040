"""Tests of publishing, on virtual time."""

import asyncio
import unittest

from bench import config_bench
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import manifest


class PublisherTest(unittest.TestCase):
    """No publish may be lost, undone or put in force only in part."""

    def run_with_bench(self, scenario) -> None:
        async def main():
            bench = config_bench.PublishBench()
            await scenario(bench)
            self.assertEqual([], bench.background_errors)

        virtual_loop.run(main())

    def test_change_and_removal(self):
        """Guards against dropping services that the publish doesn't name."""

        async def scenario(bench):
            first = await bench.publisher().publish(
                [
                    config_bench.candidate("larder"),
                    config_bench.candidate("dispatch"),
                ]
            )
            self.assertEqual(["dispatch", "larder"], first.added)
            second = await bench.publisher().publish(
                [config_bench.candidate("larder", floor_slots=1)]
            )
            self.assertEqual((2, ["larder"]), (second.number, second.changed))
            third = await bench.publisher().publish([], removed=["larder"])
            self.assertEqual(["larder"], third.removed)
            self.assertEqual({"dispatch"}, bench.manifest().services.keys())

        self.run_with_bench(scenario)

    def test_nothing_to_change_writes_nothing(self):
        """Guards against a new configuration number without a change."""

        async def scenario(bench):
            await bench.publisher().publish([config_bench.candidate("larder")])
            revision = bench.platform.table.revision
            result = await bench.publisher().publish(
                [config_bench.candidate("larder")]
            )
            dry = await bench.publisher().publish(
                [config_bench.candidate("larder", floor_slots=0)], dry_run=True
            )
            self.assertTrue(result.is_empty)
            self.assertEqual(["larder"], dry.changed)
            self.assertEqual(revision, bench.platform.table.revision)

        self.run_with_bench(scenario)

    def test_lost_replies_publish_once(self):
        """Guards against publishing twice after a lost reply to a write."""

        async def scenario(bench):
            for lost in range(1, 5):
                bench.platform.faults.lose_write_replies = lost
                result = await bench.publisher().publish(
                    [config_bench.candidate("larder", floor_slots=lost % 3)]
                )
                self.assertEqual(lost, result.number)
                self.assertEqual(lost, bench.manifest().number)
                self.assertFalse(result.is_empty)

        self.run_with_bench(scenario)

    def test_late_write_is_not_published_twice(self):
        """Guards against a second number by a delayed write and its retry."""

        async def scenario(bench):
            bench.platform.faults.delay_s = 2.5
            task = asyncio.create_task(
                bench.publisher().publish([config_bench.candidate("larder")])
            )
            await asyncio.sleep(30)
            bench.platform.faults.delay_s = 0
            with self.assertRaises(errors.StoreUnavailable):
                await task
            result = await bench.publisher().publish(
                [config_bench.candidate("larder")]
            )
            self.assertEqual(1, result.number)
            await asyncio.sleep(10)
            self.assertEqual(1, bench.manifest().number)

        self.run_with_bench(scenario)

    def test_unknown_outcome_is_reported(self):
        """Guards against "no change" for a write that took effect."""

        async def scenario(bench):
            ann = bench.publisher()
            await ann.publish([config_bench.candidate("larder")])
            put = bench.platform.table.put

            def put_then_outage(key, value, *, if_version):
                faults = bench.platform.faults
                faults.outage = key == manifest.KEY
                faults.lose_write_replies = int(not faults.outage)
                return put(key, value, if_version=if_version)

            bench.platform.table.put = put_then_outage
            with self.assertRaises(errors.StoreOutcomeUnknown):
                await ann.publish(
                    [config_bench.candidate("larder", floor_slots=1)]
                )
            self.assertEqual(2, bench.manifest().number)

        self.run_with_bench(scenario)

    def test_two_operators_with_disjoint_changes(self):
        """Guards against a publish that undoes another operator's change."""

        async def scenario(bench):
            both = [
                config_bench.candidate("larder"),
                config_bench.candidate("dispatch"),
            ]
            await bench.publisher().publish(both)
            results = await asyncio.gather(
                bench.publisher("ann").publish(
                    [config_bench.candidate("larder", floor_slots=1), both[1]]
                ),
                bench.publisher("bob").publish(
                    [
                        both[0],
                        config_bench.candidate("dispatch", floor_slots=1),
                    ]
                ),
            )
            self.assertEqual({2, 3}, {item.number for item in results})
            later = max(results, key=lambda item: item.number)
            self.assertEqual(1, len(later.merged))
            for name, item in bench.manifest().services.items():
                wanted = config_bench.candidate(name, floor_slots=1)
                self.assertEqual(manifest.version_of(wanted.body), item)

        self.run_with_bench(scenario)

    def test_two_operators_with_conflicting_changes(self):
        """Guards against silently overwriting a conflicting change."""

        async def scenario(bench):
            await bench.publisher().publish([config_bench.candidate("larder")])
            base = bench.manifest()
            ours = [
                config_bench.candidate("larder", floor_slots=1),
                config_bench.candidate("extra"),
            ]
            theirs = [config_bench.candidate("larder", floor_slots=0)]
            results = await asyncio.gather(
                bench.publisher("ann").publish(ours),
                bench.publisher("bob").publish(theirs),
                return_exceptions=True,
            )
            conflicts = [
                item
                for item in results
                if isinstance(item, errors.PublishConflict)
            ]
            self.assertEqual(["larder"], list(conflicts[0].services))
            self.assertEqual(2, bench.manifest().number)
            winner = [theirs, ours][results.index(conflicts[0]) == 1]
            loser = [ours, theirs][results.index(conflicts[0]) == 1]
            self.assertEqual(
                manifest.version_of(winner[0].body),
                bench.manifest().services["larder"],
            )
            with self.assertRaises(errors.PublishConflict):
                await bench.publisher().publish(loser, base=base)
            again = await bench.publisher().publish(winner, base=base)
            self.assertEqual(2, again.number)

        self.run_with_bench(scenario)

    def test_routes_of_concurrent_publishes(self):
        """Guards against two services with one route after a merge."""

        async def scenario(bench):
            results = await asyncio.gather(
                bench.publisher("ann").publish(
                    [config_bench.candidate("a", path="/x")]
                ),
                bench.publisher("bob").publish(
                    [config_bench.candidate("b", path="/x")]
                ),
                return_exceptions=True,
            )
            conflicts = [
                item
                for item in results
                if isinstance(item, errors.ServiceFileError)
            ]
            self.assertIn("duplicate route GET /x", str(conflicts[0]))
            self.assertEqual(1, len(bench.manifest().services))

        self.run_with_bench(scenario)
