"""Tests of the quarantine of requests and the detection of crashes."""

import asyncio
import unittest

from bench import virtual_loop
from bench import workload
from fuchsiacourse import crash_detector
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import quarantine
from fuchsiacourse import store as stores
from fuchsiacourse import target_row


class Objects:
    """Stores one object; a write may take effect while its reply is lost."""

    def __init__(self):
        self.stored = None
        self.loses_replies = 0
        self.reads = 0

    async def get(self, key):
        self.reads += 1
        return self.stored

    async def put(self, key, value, *, if_version):
        version = self.stored.version if self.stored is not None else 0
        if version != if_version:
            raise errors.VersionConflict(key)
        self.stored = stores.StoredObject(
            key=key, value=value, version=version + 1
        )
        if self.loses_replies:
            self.loses_replies -= 1
            raise errors.StoreOutcomeUnknown(key)
        return version + 1


class QuarantineTest(unittest.TestCase):
    """A request that crashes targets must be refused everywhere."""

    def make(self, objects):
        return quarantine.Quarantine(
            service="larder",
            store=objects,
            clock=virtual_loop.VirtualClock(),
            log=logs.silent(),
        )

    def test_call_is_due_after_an_interval_and_a_new_fingerprint(self):
        """Guards against a fingerprint that is only written at a read."""

        async def main():
            item = self.make(Objects())
            self.assertTrue(item.is_due)
            await item.run_once()
            self.assertFalse(item.is_due)
            for target in ("a", "b"):
                item.record_crash("f", target, item._clock.now())
            self.assertTrue(item.is_due)
            await item.run_once()
            self.assertFalse(item.is_due)
            await asyncio.sleep(quarantine.READ_INTERVAL_S)
            self.assertTrue(item.is_due)

        virtual_loop.run(main())

    def test_two_targets_quarantine_everywhere(self):
        """Guards against a request that crashes one target after another."""

        async def main():
            objects = Objects()
            objects.loses_replies = 1
            first, second = self.make(objects), self.make(objects)
            first.record_crash("f", "a", 0.0)
            first.record_crash("f", "a", 1.0)
            self.assertFalse(first.is_quarantined("f"))
            explained = []
            first.subscribe(explained.append)
            first.record_crash("f", "b", 2.0)
            self.assertTrue(first.is_quarantined("f"))
            self.assertEqual([["a", "b"]], explained)
            await first.run_once()
            await second.run_once()
            self.assertTrue(second.is_quarantined("f"))

        virtual_loop.run(main())

    def test_reads_of_a_large_fleet_are_bounded(self):
        """Guards against reads that grow with the number of shards."""

        async def main():
            objects = Objects()
            made = self.make(objects)
            made.fleet_shards = 11_400
            for _ in range(12_000):
                await made.run_once()
                await asyncio.sleep(0.25)
            reads_per_s = objects.reads / 3000 * made.fleet_shards
            self.assertLessEqual(reads_per_s, 1.1 * quarantine.READS_PER_S)

        virtual_loop.run(main())

    def test_answered_request_is_cleared(self):
        """Guards against refusing a frequent request by chance."""

        async def main():
            entry = self.make(Objects())
            entry.record_crash("f", "a", 0.0)
            entry.answered("f")
            entry.record_crash("f", "b", 1.0)
            self.assertFalse(entry.is_quarantined("f"))
            entry.record_crash("f", "c", 1000.0)
            self.assertFalse(entry.is_quarantined("f"))

        virtual_loop.run(main())


class CrashDetectorTest(unittest.TestCase):
    """A crash must be distinguished from one lost connection."""

    def fail(self, detector, now, outcome=target_row.Outcome.CONNECTION_LOST):
        attempt = target_row.Attempt(
            request_id="r",
            kind=workload.kinds("larder")[0],
            fingerprint=f"f{now}",
            target_id="t",
            started_s=now,
        )
        detector.record_failure("t", attempt, outcome, now)

    def test_single_loss_is_no_crash(self):
        """Guards against blaming requests for a lost connection."""
        detector = crash_detector.CrashDetector()
        self.fail(detector, 1.0)
        self.fail(detector, 3.0)
        self.assertEqual([], detector.pop_crashes())
        detector.record_unreachable("t", 9.0)
        self.assertEqual([], detector.pop_crashes())

    def test_crashes(self):
        """Guards against missing a crash and its requests."""
        detector = crash_detector.CrashDetector()
        self.fail(detector, 1.0)
        self.fail(detector, 1.05)
        self.assertEqual(
            ["f1.0", "f1.05"], detector.pop_crashes()[0].fingerprints
        )
        self.fail(detector, 2.0)
        self.fail(detector, 4.0, target_row.Outcome.UNREACHABLE)
        self.assertEqual(["f2.0"], detector.pop_crashes()[0].fingerprints)
