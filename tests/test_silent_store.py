"""Tests of a store that gives no answers for some seconds."""

import asyncio

from tests import test_store_relay

# Time within which a change must be in use everywhere, in seconds, from the
# moment at which the store answers again.
APPLY_S = 2.0
target_object = test_store_relay.target_object


class SilentStoreTest(test_store_relay.ZoneTestCase):
    """The store swallows calls, so it matters when the next ones are sent."""

    def test_change_after_a_silence_reaches_all_fronts_in_time(self):
        """Guards against fronts that wait for answers that never come."""
        for silent_s in (2.0, 5.3, 7.7, 8.0, 8.3, 9.0, 9.7, 10.4):
            with self.subTest(silent_s=silent_s):
                self.run_script(self._silence(silent_s))

    @staticmethod
    def _silence(silent_s: float):
        async def script(fixture):
            for front in fixture.live():
                front.store_link.is_silent = True
            await asyncio.sleep(silent_s)
            for front in fixture.live():
                front.store_link.is_silent = False
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(APPLY_S)
            late = [f.ip for f in fixture.live() if "t1" in f.usable()]
            assert not late, f"{len(late)} fronts use a leaving target"

        return script
