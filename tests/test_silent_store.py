"""Tests of a store that gives no answers for some seconds."""

import asyncio
from unittest import mock

from tests import test_store_relay

# Time within which a change must be in use everywhere, in seconds, from the
# moment at which the store answers again.
APPLY_S = 2.0
target_object = test_store_relay.target_object


class SilentStoreTest(test_store_relay.ZoneTestCase):
    """A change made when the store is back must be in use in time."""

    def test_calls_swallowed_by_a_silent_store_delay_no_change(self):
        """Guards against fronts that wait for answers that never come."""
        for quarters in range(2, 52):
            silent_s = quarters / 4.0
            with self.subTest(silent_s=silent_s):
                self.run_script(self._script(silent_s))

    def _script(self, silent_s: float):
        async def script(fixture):
            for front in fixture.live():
                front.store_link.is_silent = True
            await asyncio.sleep(silent_s)
            for front in fixture.live():
                front.store_link.is_silent = False
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(APPLY_S)
            late = [f.ip for f in fixture.live() if "t1" in f.usable()]
            self.assertEqual([], late)

        return script

    def test_changes_some_seconds_after_a_silence_are_in_use(self):
        """Guards against a zone whose followers recover late and unnoticed.

        The store loses those that watch, and the next change, a release and
        another change come seconds after it answers again.
        """
        for silent_s in (2.0, 3.3, 4.5):
            for pause_s in (0.5, 1.5, 3.7, 6.0):
                with self.subTest(silent_s=silent_s, pause_s=pause_s):
                    self.run_script(self._script_of_changes(silent_s, pause_s))

    def _script_of_changes(self, silent_s: float, pause_s: float):
        async def script(fixture):
            for front in fixture.live():
                front.store_link.is_silent = True
            await asyncio.sleep(silent_s)
            for front in fixture.live():
                front.store_link.is_silent = False
            await asyncio.sleep(pause_s)
            await self.check_drained_in_time(fixture, "t1")
            fixture.store.set("servers/t3", target_object("t3"))
            fixture.store.set("servers/t1", None)
            await asyncio.sleep(APPLY_S)
            for front in fixture.live():
                self.assertEqual({"t2", "t3"}, front.usable(), front.ip)
            await self.check_drained_in_time(fixture, "t2")

        return script


class FailingFollowerTest(test_store_relay.ZoneTestCase):
    """A fault of a follower must not end it."""

    def test_follower_goes_on_after_an_unexpected_failure(self):
        """Guards against a front that keeps an old copy for good."""

        async def script(fixture):
            front = fixture.fronts[test_store_relay.IPS[0]]
            with mock.patch.object(
                front.targets,
                "apply_change",
                autospec=True,
                side_effect=RuntimeError("bug"),
            ):
                fixture.store.set("servers/t2", target_object("t2", born=9))
                await asyncio.sleep(1.0)
                self.assertTrue(front.targets.has_failed)
            self.assertGreater(front.targets.failure_count, 0)
            await asyncio.sleep(1.5)
            self.assertFalse(front.targets.has_failed)
            self.assertEqual(9, front.table.by_id["t2"].record.started_ms)
            await self.check_drained_in_time(fixture, "t1")
            self.assertTrue(front.targets.is_up_to_date)

        self.run_script(script)
