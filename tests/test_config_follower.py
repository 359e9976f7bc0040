"""Tests of the follower of the configuration."""

import asyncio
import random
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import config_follower
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from tests import test_target_follower


def decode(value):
    if not value.isdigit():
        raise errors.ConfigRejected("not a number")
    return front_fakes.config(version=int(value))


class LateStore(test_target_follower.ScriptedStore):
    """Store whose snapshots may be old and whose watches may be late.

    Attributes:
        old: Snapshot to answer with, None for the present one.
        delay_s: Delay of an answer to a watch, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.old: stores.WatchBatch | None = None
        self.delay_s = 0.0

    async def watch(self, prefix, *, after_revision, timeout_s):
        if after_revision == 0 and self.old is not None:
            return self.old
        await asyncio.sleep(self.delay_s)
        return await super().watch(
            prefix, after_revision=after_revision, timeout_s=timeout_s
        )


class Fixture:
    """A follower of the configuration on a scripted store."""

    def __init__(self) -> None:
        self.store = LateStore()
        self.peer_version = 0
        self.adopted: list[int] = []
        self.follower = config_follower.ConfigFollower(
            key="config/main",
            decode=decode,
            adopt=lambda table: self.adopted.append(table.version),
            peer_version=lambda: self.peer_version,
            clock=virtual_loop.VirtualClock(),
            rng=random.Random(1),
            store=self.store,
            prefix="config/",
            relay=front_fakes.DirectRelay(),
            log=logs.silent(),
        )

    def start(self) -> None:
        self.task = asyncio.ensure_future(self.follower.run())


class ConfigFollowerTest(unittest.TestCase):
    """The version in force must rise, and be newest only if confirmed."""

    def test_only_newer_versions_are_adopted(self):
        """Guards against an old version that replaces a newer one."""
        adopted = []
        follower = config_follower.ConfigFollower(
            key="config/main",
            decode=decode,
            adopt=lambda table: adopted.append(table.version),
            clock=front_fakes.ManualClock(),
            rng=random.Random(1),
            store=None,
            prefix="config/",
            relay=front_fakes.DirectRelay(),
            peer_version=lambda: 0,
            log=logs.silent(),
        )
        for number, value in enumerate((b"4", b"9", b"x", b"7", b"9", b"11")):
            follower.apply_change(
                stores.StoredObject(
                    key="config/main", value=value, version=number + 1
                )
            )
        follower.apply_change(
            stores.StoredObject(key="config/other", value=b"50", version=9)
        )
        self.assertEqual([4, 9, 11], adopted)

    def test_newer_version_of_a_peer_makes_the_version_in_force_outdated(self):
        """Guards against an old version that is taken for the newest."""

        async def main():
            fixture = Fixture()
            fixture.store.set("config/main", b"4")
            fixture.start()
            await asyncio.sleep(0.1)
            self.assertTrue(fixture.follower.is_newest)
            fixture.peer_version = 7
            self.assertFalse(fixture.follower.is_newest)
            fixture.store.set("config/main", b"7")
            await asyncio.sleep(0.1)
            self.assertTrue(fixture.follower.is_newest)

        virtual_loop.run(main())

    def test_first_snapshot_that_is_old_is_not_taken_for_the_newest(self):
        """Guards against a stale first answer of the store."""

        async def main():
            fixture = Fixture()
            fixture.store.set("config/main", b"4")
            fixture.store.old = await fixture.store.watch(
                "config/", after_revision=0, timeout_s=1.0
            )
            fixture.store.set("config/main", b"7")
            fixture.store.delay_s = 0.3
            fixture.start()
            await asyncio.sleep(0.2)
            self.assertEqual([4], fixture.adopted)
            self.assertFalse(fixture.follower.is_newest)
            await asyncio.sleep(0.2)
            self.assertEqual([4, 7], fixture.adopted)
            self.assertTrue(fixture.follower.is_newest)

        virtual_loop.run(main())

    def test_invalid_object_makes_the_version_in_force_outdated(self):
        """Guards against answers from routes that may have changed."""

        async def main():
            fixture = Fixture()
            fixture.store.set("config/main", b"4")
            fixture.start()
            await asyncio.sleep(0.1)
            fixture.store.set("config/main", b"broken")
            await asyncio.sleep(1.0)
            self.assertFalse(fixture.follower.is_newest)
            fixture.store.set("config/main", b"5")
            await asyncio.sleep(1.0)
            self.assertTrue(fixture.follower.is_newest)
            self.assertEqual([4, 5], fixture.adopted)

        virtual_loop.run(main())

    def test_lost_history_is_not_taken_for_a_copy_without_changes(self):
        """Guards against changes that were dropped with the history."""

        async def main():
            fixture = Fixture()
            fixture.store.set("config/main", b"4")
            fixture.start()
            await asyncio.sleep(0.1)
            self.assertTrue(fixture.follower.is_newest)
            fixture.store.delay_s = 0.3
            fixture.store.objects["config/main"] = stores.StoredObject(
                key="config/main", value=b"7", version=9
            )
            fixture.store.lose_history()
            await asyncio.sleep(0.2)
            self.assertEqual([4], fixture.adopted)
            self.assertFalse(fixture.follower.is_newest)
            await asyncio.sleep(0.6)
            self.assertEqual([4, 7], fixture.adopted)
            self.assertTrue(fixture.follower.is_newest)

        virtual_loop.run(main())
