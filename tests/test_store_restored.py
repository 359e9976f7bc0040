"""Tests of a store that comes back from a copy some seconds old.

Its last changes are lost, and it gives out their revisions again.
"""

import asyncio

from fuchsiacourse import errors
from tests import test_store_relay

DRAIN_S = test_store_relay.DRAIN_S
IPS = test_store_relay.IPS
target_object = test_store_relay.target_object
# Time for which the store is away, in seconds.
AWAY_S = 0.3
# Time within which targets that live register again, in seconds.
REGISTER_S = 2.0


class RestoredStoreTest(test_store_relay.ZoneTestCase):
    """A front must not take a revision of one history for another's."""

    async def restore(self, fixture, saved) -> None:
        """Takes the store away and brings it back from a copy."""
        fixture.store.fail(errors.StoreUnavailable("reset"))
        await asyncio.sleep(AWAY_S)
        fixture.store.restore(saved)
        fixture.store.fail(None)

    def change(self, fixture, count: int) -> None:
        """Makes changes that don't matter here."""
        for number in range(count):
            fixture.store.set("servers/other", target_object(f"o{number}"))

    def test_target_leaves_at_a_revision_given_out_before(self):
        """Guards against a leaving target that copies of peers hide."""

        async def script(fixture):
            saved = fixture.store.saved()
            self.change(fixture, 4)
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(4.0)
            self.change(fixture, 3)
            # It has the same revision as the last change that was lost.
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_newer_registration_has_a_lower_revision(self):
        """Guards against a change that is older by its number alone."""

        async def script(fixture):
            saved = fixture.store.saved()
            self.change(fixture, 8)
            fixture.store.set("servers/t1", target_object("t1", sequence=7))
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(4.0)
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_watch_that_finds_its_revision_in_another_history(self):
        """Guards against a watch that goes on where it has no place."""

        async def script(fixture):
            saved = fixture.store.saved()
            self.change(fixture, 3)
            await asyncio.sleep(3.0)
            for front in fixture.live():
                front.store_link.fail(errors.StoreUnavailable("reset"))
            fixture.store.restore(saved)
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            self.change(fixture, 6)
            await asyncio.sleep(AWAY_S)
            for front in fixture.live():
                front.store_link.fail(None)
            await asyncio.sleep(DRAIN_S)
            for front in fixture.live():
                self.assertNotIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_two_losses_within_ten_seconds(self):
        """Guards against the same when the second loss follows soon."""

        async def script(fixture):
            saved = fixture.store.saved()
            for _ in range(2):
                self.change(fixture, 4)
                await asyncio.sleep(2.0)
                await self.restore(fixture, saved)
                await asyncio.sleep(3.0)
            self.change(fixture, 3)
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_front_that_was_cut_off_while_the_store_came_back(self):
        """Guards against a front that keeps what the store has lost."""

        async def script(fixture):
            saved = fixture.store.saved()
            self.change(fixture, 4)
            await asyncio.sleep(3.0)
            late = [fixture.fronts[ip] for ip in (IPS[0], IPS[5])]
            for front in late:
                front.store_link.is_silent = True
            await self.restore(fixture, saved)
            await asyncio.sleep(3.0)
            self.change(fixture, 2)
            for front in late:
                front.store_link.is_silent = False
            await asyncio.sleep(2.0)
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_leaving_target_is_ready_again_in_the_copy(self):
        """Guards against requests to a target that has said it leaves."""

        async def script(fixture):
            saved = fixture.store.saved()
            await self.check_drained_in_time(fixture, "t1")
            await self.restore(fixture, saved)
            for _ in range(20):
                await asyncio.sleep(0.2)
                for front in fixture.live():
                    self.assertNotIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_earlier_incarnation_is_registered_in_the_copy(self):
        """Guards against a target that an earlier start of it replaces."""

        async def script(fixture):
            saved = fixture.store.saved()
            leaving = target_object("t1", "draining", born=9)
            fixture.store.set("servers/t1", leaving)
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            for _ in range(20):
                await asyncio.sleep(0.2)
                for front in fixture.live():
                    self.assertNotIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_target_that_is_gone_is_registered_again_in_the_copy(self):
        """Guards against requests to a target that has left."""

        async def script(fixture):
            saved = fixture.store.saved()
            fixture.store.set("servers/t1", None)
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            for _ in range(20):
                await asyncio.sleep(0.2)
                for front in fixture.live():
                    self.assertNotIn("t1", front.usable(), front.ip)
            # It lives after all, and writes.
            fixture.store.set("servers/t1", target_object("t1", sequence=9))
            await asyncio.sleep(REGISTER_S)
            for front in fixture.live():
                self.assertIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_target_that_left_for_good_is_never_used_again(self):
        """Guards against use of a target that was leaving before it went."""

        async def script(fixture):
            saved = fixture.store.saved()
            await self.check_drained_in_time(fixture, "t1")
            fixture.store.set("servers/t1", None)
            await asyncio.sleep(2.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(20.0)
            for front in fixture.live():
                self.assertNotIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_registration_that_outlives_a_departure_is_used(self):
        """Guards against a target unused for good because it was cut off."""

        async def script(fixture):
            saved = fixture.store.saved()
            fixture.store.set("servers/t1", None)
            await asyncio.sleep(2.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(test_store_relay.LIFETIME_S)
            for front in fixture.live():
                self.assertNotIn("t1", front.usable(), front.ip)
            await asyncio.sleep(4.0)
            for front in fixture.live():
                self.assertIn("t1", front.usable(), front.ip)

        self.run_script(script)

    def test_targets_that_the_copy_lacks_have_time_to_register(self):
        """Guards against unused targets, and against use after that time."""

        async def script(fixture):
            saved = fixture.store.saved()
            fixture.store.set("servers/t3", target_object("t3"))
            fixture.store.set("servers/t4", target_object("t4"))
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(1.5)
            for front in fixture.live():
                self.assertLessEqual({"t3", "t4"}, front.usable(), front.ip)
            fixture.store.set("servers/t3", target_object("t3"))
            await asyncio.sleep(2.0)
            for front in fixture.live():
                self.assertIn("t3", front.usable(), front.ip)
                self.assertNotIn("t4", front.usable(), front.ip)

        self.run_script(script)

    def test_sound_watches_are_kept(self):
        """Guards against watches given up for revisions that are lost."""

        async def script(fixture):
            saved = fixture.store.saved()
            self.change(fixture, 6)
            await asyncio.sleep(3.0)
            await self.restore(fixture, saved)
            await asyncio.sleep(15.0)
            before = [front.store_link.watches for front in fixture.live()]
            await asyncio.sleep(10.0)
            after = [front.store_link.watches for front in fixture.live()]
            self.assertEqual(before, after)
            self.assertEqual(IPS[:2], fixture.watching())

        self.run_script(script)
