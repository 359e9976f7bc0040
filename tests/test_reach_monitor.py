"""Tests of how a front finds out that it is cut off from all targets."""

import asyncio
import random
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import reach_monitor
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

UNREACHED = outcomes.Outcome.UNREACHED
CONNECT_S = 0.4


class ScriptedConnector(reach_monitor.TargetConnector):
    """Connector that reaches the targets that a test names."""

    def __init__(self, reachable: set[str]) -> None:
        self.reachable = reachable
        self.count = 0

    async def connect(self, target):
        self.count += 1
        await asyncio.sleep(CONNECT_S)
        return target.record.id in self.reachable


class ReachMonitorTest(unittest.TestCase):
    """Ten targets, of which the connector reaches some."""

    def run_script(self, script, reachable: set[str]) -> None:
        async def main():
            self.failures = []
            self.changes = 0
            clock = virtual_loop.VirtualClock()
            timers = timer_services.Timers(
                clock=clock,
                rng=random.Random(1),
                on_error=self.failures.append,
            )
            table = target_table.TargetTable(clock=clock, log=logs.silent())
            for number in range(10):
                table.put(front_fakes.record(f"t{number}"))
            self.targets = list(table.by_id.values())
            self.connector = ScriptedConnector(reachable)
            self.monitor = reach_monitor.ReachMonitor(
                clock=clock,
                timers=timers,
                rng=random.Random(1),
                table=table,
                connector=self.connector,
                on_change=self.count_change,
                log=logs.silent(),
            )
            self.recorded = []
            await script()
            timers.close()
            self.assertEqual([], self.failures)

        virtual_loop.run(main())

    def count_change(self) -> None:
        self.changes += 1

    def resolve(self, outcome=UNREACHED, number: int = 0) -> None:
        self.monitor.resolve(
            self.targets[number], outcome, self.recorded.append
        )

    def answer(self, connected_s: float) -> None:
        self.monitor.resolve(
            self.targets[0],
            outcomes.Outcome.ANSWERED,
            self.recorded.append,
            connected_s=connected_s,
        )

    def test_partition_is_not_recorded_as_failures_of_targets(self):
        """Guards against reports that make all fronts doubt all targets."""

        async def script():
            self.monitor.record_peer_answer()
            self.resolve()
            self.resolve(outcomes.Outcome.LOST, 1)
            self.assertEqual([], self.recorded)
            await asyncio.sleep(CONNECT_S + 0.1)
            self.assertTrue(self.monitor.is_cut_off)
            self.resolve(outcomes.Outcome.TIMED_OUT, 2)
            self.assertEqual([outcomes.Outcome.CANCELLED] * 3, self.recorded)
            self.assertEqual(1, self.changes)

        self.run_script(script, set())

    def test_crash_of_a_target_is_recorded_when_others_are_reached(self):
        """Guards against crashes that are held back or forgotten."""

        async def script():
            self.monitor.record_peer_answer()
            self.resolve()
            await asyncio.sleep(CONNECT_S + 0.1)
            self.assertEqual([UNREACHED], self.recorded)
            self.assertFalse(self.monitor.is_cut_off)
            # Other targets have just been reached, so there is no doubt.
            self.resolve(number=1)
            self.assertEqual([UNREACHED] * 2, self.recorded)

        self.run_script(script, {f"t{number}" for number in range(2, 10)})

    def test_failure_of_all_targets_for_all_fronts_keeps_callers(self):
        """Guards against a fleet without addresses in a common outage."""

        async def script():
            self.monitor.record_peer_answer()
            await asyncio.sleep(3.0)
            for number in range(10):
                self.resolve(number=number)
            await asyncio.sleep(CONNECT_S + 0.1)
            self.assertFalse(self.monitor.is_cut_off)
            self.assertEqual([UNREACHED] * 10, self.recorded)

        self.run_script(script, set())

    def test_end_of_a_partition_is_found_without_requests(self):
        """Guards against a front that stays out because nobody calls it."""

        async def script():
            self.monitor.record_peer_answer()
            self.resolve()
            await asyncio.sleep(5.0)
            self.assertTrue(self.monitor.is_cut_off)
            self.connector.reachable.update(f"t{n}" for n in range(10))
            await asyncio.sleep(1.5)
            self.assertFalse(self.monitor.is_cut_off)
            self.assertEqual(2, self.changes)
            count = self.connector.count
            await asyncio.sleep(5.0)
            self.assertEqual(count, self.connector.count)

        self.run_script(script, set())

    def test_late_answers_are_checked_at_that_target_first(self):
        """Guards against connections to many targets for each late answer."""

        async def script():
            self.resolve(outcomes.Outcome.LATE)
            await asyncio.sleep(1.0)
            self.assertEqual(1, self.connector.count)
            self.assertEqual([outcomes.Outcome.LATE], self.recorded)

        self.run_script(script, {"t0"})

    def test_answer_over_an_earlier_connection_shows_nothing(self):
        """Guards against connections that live on while new ones fail."""

        async def script():
            opened_s = asyncio.get_running_loop().time()
            await asyncio.sleep(1.0)
            self.monitor.record_peer_answer()
            self.resolve()
            await asyncio.sleep(CONNECT_S + 0.1)
            self.assertTrue(self.monitor.is_cut_off)
            self.answer(opened_s)
            self.assertTrue(self.monitor.is_cut_off)
            self.answer(asyncio.get_running_loop().time())
            self.assertFalse(self.monitor.is_cut_off)

        self.run_script(script, set())
