"""Tests of watches opened during a short outage of the store."""

import asyncio
from unittest import mock

from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import store as stores
from tests import test_config_follower
from tests import test_store_relay

target_object = test_store_relay.target_object


class HangingStoreLink(test_store_relay.StoreLink):
    """Link that never answers a watch opened while it is silent."""

    async def watch(self, prefix, *, after_revision, timeout_s):
        if self.is_silent:
            self.calls += 1
            await asyncio.sleep(timeout_s + test_store_relay.CALL_TIMEOUT_S)
            raise errors.StoreUnavailable("the call timed out")
        return await super().watch(
            prefix, after_revision=after_revision, timeout_s=timeout_s
        )


class HeldStore(stores.Store):
    """Store whose answers to watches are futures that the test sets."""

    def __init__(self) -> None:
        self.answers: list[asyncio.Future[stores.WatchBatch]] = []

    async def watch(self, prefix, *, after_revision, timeout_s):
        self.answers.append(asyncio.get_running_loop().create_future())
        return await self.answers[-1]

    async def get(self, key):
        raise AssertionError("not used")

    async def list(self, prefix):
        raise AssertionError("not used")

    async def put(self, key, value, *, if_version):
        raise AssertionError("not used")

    async def delete(self, key, *, if_version):
        raise AssertionError("not used")

    async def hosts(self):
        raise AssertionError("not used")


class UnansweredWatchesTest(test_store_relay.ZoneTestCase):
    """Contact on other connections must not count as proof of a watch."""

    def test_all_watches_that_are_opened_in_a_short_outage(self):
        """Guards against dropped watches hidden by answered pings."""

        async def script(fixture):
            for last in (1, 2):
                fixture.start(f"10.0.1.{last}", "b")
            await asyncio.sleep(5.0)
            # All watches are answered, and the next ones open 0.8 s later.
            fixture.store.set("servers/t2", target_object("t2", born=1))
            await asyncio.sleep(0.6)
            for front in fixture.live():
                front.store_link.is_silent = True
            await asyncio.sleep(0.5)
            for front in fixture.live():
                front.store_link.is_silent = False
            await asyncio.sleep(3.0)
            await self.check_drained_in_time(fixture, "t1")

        with mock.patch.object(
            test_store_relay, "StoreLink", HangingStoreLink
        ):
            self.run_script(script)

    def test_answer_from_before_a_pause_confirms_nothing(self):
        """Guards against a buffered answer that confirms a stale copy."""

        async def main():
            fixture = test_config_follower.Fixture()
            store = HeldStore()
            fixture.follower._store = store
            fixture.start()
            item = stores.StoredObject(
                key="config/main", value=b"4", version=4
            )
            await asyncio.sleep(0.01)
            store.answers[0].set_result(
                stores.WatchBatch(revision=4, objects=[item])
            )
            await asyncio.sleep(0.01)
            store.answers[1].set_result(
                stores.WatchBatch(revision=4, objects=[])
            )
            await asyncio.sleep(0.01)
            self.assertTrue(fixture.follower.is_newest)
            self.assertEqual(3, len(store.answers))
            # An answer that was buffered in the socket is read in the same
            # turn of the event loop in which the copy is marked as stale.
            fixture.follower.mark_stale()
            item = stores.StoredObject(
                key="config/main", value=b"5", version=5
            )
            store.answers[2].set_result(
                stores.WatchBatch(revision=5, objects=[item])
            )
            await asyncio.sleep(0.1)
            self.assertEqual([4, 5], fixture.adopted)
            self.assertFalse(fixture.follower.is_newest)

        virtual_loop.run(main())
