"""Tests of watches whose answer is lost or never sent."""

import asyncio

from fuchsiacourse import errors
from tests import test_store_relay

IPS = test_store_relay.IPS
target_object = test_store_relay.target_object


class HungWatchesTest(test_store_relay.ZoneTestCase):
    """An open watch alone must not count as proof of an up-to-date copy."""

    def test_watch_whose_answer_is_lost(self):
        """Guards against a change that one of two watchers never receives."""

        async def script(fixture):
            fixture.fronts[IPS[0]].store_link.lose_answers()
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_lost_answers_to_all_watches_of_a_zone(self):
        """Guards against a change that only another zone receives."""

        async def script(fixture):
            for last in (1, 2):
                fixture.start(f"10.0.1.{last}", "b")
            await asyncio.sleep(5.0)
            for ip in IPS[:2]:
                fixture.fronts[ip].store_link.lose_answers()
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_copy_is_up_to_date_again_soon_after_a_pause(self):
        """Guards against a copy that is trusted too early or too late."""

        async def script(fixture):
            for ip in (IPS[0], IPS[5]):
                front = fixture.fronts[ip]
                self.assertTrue(front.targets.is_up_to_date, ip)
                front.clock.suspended_s += 3.0
                self.assertFalse(front.targets.is_up_to_date, ip)
                front.relay.evaluate_peers()
                self.assertFalse(front.targets.is_up_to_date, ip)
                await asyncio.sleep(0.8)
                self.assertTrue(front.targets.is_up_to_date, ip)

        self.run_script(script)

    def test_packets_from_before_a_pause_confirm_nothing(self):
        """Guards against proof of contact that dates from before a pause."""

        async def script(fixture):
            front = fixture.fronts[IPS[5]]
            for ip in IPS[:2]:
                fixture.fronts[ip].stop()
            front.clock.suspended_s += 3.0
            front.relay.evaluate_peers()
            await asyncio.sleep(0.4)
            self.assertFalse(front.targets.is_up_to_date)

        self.run_script(script)

    def test_watches_without_lost_answers_are_kept_open(self):
        """Guards against watches given up because peers are faster."""

        async def script(fixture):
            for last in (1, 2):
                fixture.start(f"10.0.1.{last}", "b")
            await asyncio.sleep(5.0)
            before = [front.store_link.watches for front in fixture.live()]
            for number in range(20):
                fixture.store.set(
                    "servers/t1", target_object("t1", born=number)
                )
                await asyncio.sleep(0.3)
            await asyncio.sleep(2.0)
            after = [front.store_link.watches for front in fixture.live()]
            calls = [new - old for old, new in zip(before, after)]
            # Twenty changes in six seconds; a call covers 0.8 seconds.
            self.assertLessEqual(max(calls), 10)

        self.run_script(script)

    def test_front_that_takes_over_but_gets_no_answers(self):
        """Guards against a new watcher that waits for a silent store."""

        async def script(fixture):
            fixture.fronts[IPS[2]].store_link.is_silent = True
            for ip in IPS[:2]:
                fixture.fronts[ip].stop()
            await asyncio.sleep(3.0)
            self.assertIn(IPS[2], fixture.watching())
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_copy_of_a_new_watcher_is_stale_until_the_store_answers(self):
        """Guards against a copy that nobody confirmed since the takeover."""

        async def script(fixture):
            for ip in IPS[:2]:
                fixture.fronts[ip].stop()
            for front in fixture.live():
                front.store_link.is_silent = True
            await asyncio.sleep(3.0)
            self.assertEqual(IPS[2:], fixture.watching())
            for front in fixture.live():
                self.assertFalse(front.targets.is_up_to_date, front.ip)
                front.store_link.is_silent = False
            await asyncio.sleep(1.5)
            await self.check_drained_in_time(fixture, "t1")
            for front in fixture.live():
                self.assertTrue(front.targets.is_up_to_date, front.ip)

        self.run_script(script)

    def test_lost_answer_soon_after_an_outage_of_the_store(self):
        """Guards against a lost answer while the zone elects watchers."""

        async def script(fixture):
            for front in fixture.live():
                front.store_link.fail(errors.StoreRefused("refused"))
            await asyncio.sleep(2.0)
            for front in fixture.live():
                front.store_link.fail(None)
            await asyncio.sleep(3.0)
            fixture.fronts[fixture.watching()[0]].store_link.lose_answers()
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)
