"""Tests of the faults of the in-memory store, on virtual time."""

import asyncio
import unittest

from bench import config_bench
from bench import virtual_loop
from fuchsiacourse import errors


class FakeStoreTest(unittest.TestCase):
    """Faults must have the effects that they have on the real platform."""

    def run_with_store(self, scenario) -> None:
        async def main():
            bench = config_bench.PublishBench()
            await scenario(bench, bench.store())
            self.assertEqual([], bench.background_errors)

        virtual_loop.run(main())

    def test_lost_requests_and_replies(self):
        """Guards against lost messages that leave the outcome known."""

        async def scenario(bench, store):
            store.loses_requests = True
            with self.assertRaises(errors.StoreOutcomeUnknown):
                await store.put("a", b"1", if_version=0)
            self.assertIsNone(bench.platform.table.get("a"))
            store.loses_requests = False
            store.loses_replies = True
            with self.assertRaises(errors.StoreOutcomeUnknown):
                await store.put("a", b"1", if_version=0)
            self.assertEqual(b"1", bench.platform.table.get("a").value)
            with self.assertRaises(errors.StoreUnavailable):
                await store.get("a")

        self.run_with_store(scenario)

    def test_late_write(self):
        """Guards against slow writes that never take effect."""

        async def scenario(bench, store):
            bench.platform.faults.delay_s = 5.0
            with self.assertRaises(errors.StoreOutcomeUnknown):
                await store.put("a", b"1", if_version=0)
            self.assertIsNone(bench.platform.table.get("a"))
            await asyncio.sleep(4)
            self.assertEqual(b"1", bench.platform.table.get("a").value)

        self.run_with_store(scenario)

    def test_waiting_watch_counts_once(self):
        """Guards against counting a waiting watch more than once."""

        async def scenario(bench, store):
            watch = asyncio.create_task(
                store.watch("a", after_revision=0, timeout_s=30.0)
            )
            await asyncio.sleep(20)
            await bench.store().put("a", b"1", if_version=None)
            batch = await watch
            self.assertEqual("a", batch.objects[0].key)
            self.assertEqual(1, bench.platform.calls_by_name["watch"])

        self.run_with_store(scenario)
