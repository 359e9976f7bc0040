"""Tests of a store that gives no answers for some seconds."""

import asyncio

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
