"""Tests of probes, the host list and the back-off of targets."""

import asyncio
import unittest

from bench import dispatch_world
from fuchsiacourse import target_backoff
from fuchsiacourse import target_row
from tests import test_dispatch_service

Outcome = target_row.Outcome


class ProberTest(test_dispatch_service.DispatchCase):
    """Probes must be regular, few and within the connection limit."""

    def test_each_target_is_probed_once_an_interval(self):
        """Guards against bursts of probes and against missing ones."""

        async def main(world):
            await world.execute(world.request())
            before = world.targets.probe_count
            await asyncio.sleep(20.0)
            count = world.targets.probe_count - before
            self.assertTrue(36 <= count <= 44, count)
            rows = world.dispatch.runners[0].shard.targets_by_id.values()
            self.assertTrue(all(row.report for row in rows))

        self.run_world(main)

    def test_unused_shard_is_not_probed(self):
        """Guards against each process probing each target."""

        async def main(world):
            await asyncio.sleep(5.0)
            self.assertEqual(0, world.targets.probe_count)
            self.assertEqual(0, world.store.calls_by_name["hosts"])

        self.run_world(main, is_warm=False)

    def test_host_list_is_read_every_two_seconds_at_most(self):
        """Guards against too many reads of the platform."""

        async def main(world):
            await world.execute(world.request())
            await asyncio.sleep(20.0)
            self.assertLessEqual(world.store.calls_by_name["hosts"], 11)
            self.assertGreaterEqual(world.store.calls_by_name["hosts"], 8)

        self.run_world(main)

    def test_platform_outage_has_no_effect(self):
        """Guards against refused requests during a platform outage."""

        async def main(world):
            world.platform.faults.outage = True
            await world.execute(world.request())
            await asyncio.sleep(10.0)
            reply = await world.execute(world.request())
            self.assertEqual("", reply.refusal)

        self.run_world(main, with_detection=True)


class TargetBackoffTest(unittest.TestCase):
    """A target that sheds must get fewer requests for a limited time."""

    def setUp(self):
        self.backoff = target_backoff.TargetBackoff()
        file = dispatch_world.service()
        self.row = target_row.TargetRow(target=file.targets[0])

    def fill(self, count):
        self.row.attempts_by_id = {str(n): None for n in range(count)}

    def test_shedding_limits_the_attempts_for_a_while(self):
        """Guards against retrying shed requests at the same target."""
        self.fill(1)
        self.backoff.record_outcome(self.row, Outcome.SHED, 0.0)
        self.assertFalse(self.backoff.allows(self.row, 0.1))
        self.fill(0)
        self.assertTrue(self.backoff.allows(self.row, 0.1))
        self.fill(2)
        self.assertTrue(self.backoff.allows(self.row, 0.3))

    def test_backoff_of_an_unreachable_target_grows(self):
        """Guards against continuous connection attempts to a dead target."""
        self.backoff.record_outcome(self.row, Outcome.UNREACHABLE, 0.0)
        self.assertFalse(self.backoff.allows(self.row, 0.2))
        self.assertTrue(self.backoff.allows(self.row, 0.3))
        self.backoff.record_outcome(self.row, Outcome.UNREACHABLE, 0.3)
        self.assertFalse(self.backoff.allows(self.row, 0.7))
        self.backoff.record_outcome(self.row, Outcome.OK, 0.7)
        self.assertTrue(self.backoff.allows(self.row, 0.7))
