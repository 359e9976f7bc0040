"""Tests of the follower of the targets' registrations."""

import asyncio
import json
import random
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import target_follower
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse.platform import target_codec
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services


def target_object(id: str, state: str = "ready", **changes) -> bytes:
    """Returns the content of a target's registration object."""
    spec = {
        "address": "10.0.8.1:9100",
        "born": 5,
        "info": {"service": "larder", "zone": "a", "slots": 3},
        "status": {"state": state, "sequence": 1, "cold_remaining_ms": 0},
    }
    return json.dumps({"spec": {**spec, **changes}, "status": None}).encode()


class ScriptedStore(stores.Store):
    """Store whose objects, changes and failures a test sets.

    Attributes:
        objects: Objects by key.
        changes: Changes since the start of the history.
        revision: Store-wide revision.
        failure: Error that each call raises, None for none.
        calls: Number of watch calls.
        first_revision: Revision at which the history starts.
        era: Number of the history.
    """

    def __init__(self) -> None:
        self.objects: dict[str, stores.StoredObject] = {}
        self.changes: list[stores.StoredObject] = []
        self.revision = 1
        self.failure: Exception | None = None
        self.calls = 0
        self.first_revision = 0
        self.era = 1
        self._changed = asyncio.Event()

    def set(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = stores.StoredObject(
            key=key,
            value=value or b"",
            version=self.revision,
            deleted=value is None,
        )
        self.objects.pop(key, None)
        if value is not None:
            self.objects[key] = item
        self.changes.append(item)
        self._changed.set()

    def fail(self, error: Exception | None) -> None:
        self.failure = error
        self._changed.set()

    def saved(self) -> tuple:
        """Returns a copy for restore()."""
        return dict(self.objects), list(self.changes), self.revision

    def restore(self, saved: tuple) -> None:
        """Comes back from a copy; the open watches are cut."""
        objects, changes, self.revision = saved
        self.objects, self.changes = dict(objects), list(changes)
        self.era += 1
        self._changed.set()

    def lose_history(self) -> None:
        """Drops the changes so far and cuts the open watches."""
        self.revision += 10
        self.first_revision = self.revision
        self.changes.clear()
        self._changed.set()

    async def watch(self, prefix, *, after_revision, timeout_s):
        self.calls += 1
        if self.failure is not None:
            raise self.failure
        if after_revision == 0:
            return self._batch(list(self.objects.values()))
        era = self.era
        while True:
            if not self.first_revision <= after_revision <= self.revision:
                raise errors.StoreHistoryGone("410")
            if era != self.era:
                raise errors.StoreUnavailable("cut")
            found = [c for c in self.changes if c.version > after_revision]
            if found:
                return self._batch(found)
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), timeout_s)
            except TimeoutError:
                return self._batch([])
            if self.failure is not None:
                raise self.failure

    def _batch(self, objects) -> stores.WatchBatch:
        return stores.WatchBatch(
            revision=self.revision, objects=objects, era=self.era
        )

    async def get(self, key):
        return self.objects.get(key)

    async def list(self, prefix):
        return list(self.objects.values())

    async def put(self, key, value, *, if_version):
        raise AssertionError("a follower must not write to the store")

    async def delete(self, key, *, if_version):
        raise AssertionError("a follower must not write to the store")

    async def hosts(self):
        raise AssertionError("a follower must not read the host list")


class Fixture:
    """A follower of targets on a scripted store."""

    def __init__(self) -> None:
        self.clock = virtual_loop.VirtualClock()
        self.store = ScriptedStore()
        self.failures: list[Exception] = []
        self.timers = timer_services.Timers(
            clock=self.clock,
            rng=random.Random(1),
            on_error=self.failures.append,
        )
        self.peer_contact_s = 0.0
        self.table = target_table.TargetTable(
            clock=self.clock, log=logs.silent()
        )
        self.follower = target_follower.TargetFollower(
            table=self.table,
            timers=self.timers,
            decode=target_codec.decode,
            store_contact_s=lambda: self.peer_contact_s,
            lifetime_s=4.5,
            clock=self.clock,
            rng=random.Random(2),
            store=self.store,
            prefix="servers/",
            relay=front_fakes.DirectRelay(),
            log=logs.silent(),
        )

    async def start(self) -> None:
        self.timers.spawn(self.follower.run())
        await asyncio.sleep(0.01)

    def usable(self) -> set[str]:
        return {
            target.record.id
            for target in self.table.of_service("larder")
            if target.is_usable
        }


class TargetFollowerTest(unittest.TestCase):
    """A leaving target must be out of use in time, a live one stays."""

    def run_script(self, script) -> None:
        async def main():
            fixture = Fixture()
            fixture.store.set("servers/t1", target_object("t1"))
            fixture.store.set("servers/t2", target_object("t2"))
            await fixture.start()
            self.assertEqual({"t1", "t2"}, fixture.usable())
            await script(fixture)
            self.assertEqual([], fixture.failures)
            fixture.timers.close()

        virtual_loop.run(main())

    def test_draining_and_deleted_targets_are_unused_within_a_second(self):
        """Guards against requests to a target that has left."""

        async def script(fixture):
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(0.1)
            fixture.store.set("servers/t2", None)
            await asyncio.sleep(1.0)
            self.assertEqual(set(), fixture.usable())

        self.run_script(script)

    def test_watch_answered_from_another_era_leads_to_a_snapshot(self):
        """Guards against changes of one history applied to another's copy."""

        async def script(fixture):
            saved = fixture.store.saved()
            for number in range(4):
                fixture.store.set("servers/t3", target_object(f"o{number}"))
            await asyncio.sleep(2.0)
            fixture.store.fail(errors.StoreUnavailable("reset"))
            await asyncio.sleep(0.1)
            fixture.store.restore(saved)
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            for number in range(6):
                fixture.store.set("servers/t3", target_object(f"p{number}"))
            fixture.store.fail(None)
            await asyncio.sleep(2.0)
            self.assertNotIn("t1", fixture.usable())
            self.assertEqual(2, fixture.follower.copy.era)

        self.run_script(script)

    def test_answer_of_an_earlier_era_is_not_used(self):
        """Guards against a late answer that brings a lost history back."""

        async def script(fixture):
            saved = fixture.store.saved()
            fixture.store.restore(saved)
            fixture.store.set("servers/t2", None)
            await asyncio.sleep(4.0)
            self.assertEqual({"t1"}, fixture.usable())
            fixture.store.restore(saved)
            fixture.store.era = 1
            await asyncio.sleep(4.0)
            self.assertEqual(2, fixture.follower.copy.era)
            self.assertEqual({"t1"}, fixture.usable())

        self.run_script(script)

    def test_changes_in_quick_succession_take_few_calls(self):
        """Guards against one priced call per change."""

        async def script(fixture):
            before = fixture.store.calls
            for number in range(40):
                fixture.store.set(
                    "servers/t1", target_object("t1", born=number)
                )
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            self.assertLessEqual(fixture.store.calls - before, 5)

        self.run_script(script)

    def test_lapsed_target_is_kept_until_it_can_register_again(self):
        """Guards against live targets dropped after a store outage."""

        async def script(fixture):
            fixture.store.fail(errors.StoreUnavailable("unreachable"))
            await asyncio.sleep(8.0)
            fixture.store.set("servers/t1", None)
            fixture.store.fail(None)
            await asyncio.sleep(1.5)
            self.assertEqual({"t1", "t2"}, fixture.usable())
            fixture.store.set("servers/t1", target_object("t1"))
            await asyncio.sleep(3.0)
            self.assertEqual({"t1", "t2"}, fixture.usable())

        self.run_script(script)

    def test_lapsed_target_that_does_not_register_again_is_removed(self):
        """Guards against targets that ended in an outage and stay in use."""

        async def script(fixture):
            fixture.store.fail(errors.StoreUnavailable("unreachable"))
            await asyncio.sleep(8.0)
            fixture.store.set("servers/t1", None)
            fixture.store.fail(None)
            await asyncio.sleep(3.0)
            self.assertEqual({"t2"}, fixture.usable())

        self.run_script(script)

    def test_front_that_was_cut_off_alone_keeps_no_lapsed_target(self):
        """Guards against a grace time without an outage of the store."""

        async def script(fixture):
            fixture.store.fail(errors.StoreUnavailable("cut off"))
            await asyncio.sleep(8.0)
            fixture.store.set("servers/t1", None)
            fixture.peer_contact_s = 20.0
            fixture.store.fail(None)
            await asyncio.sleep(1.0)
            self.assertEqual({"t2"}, fixture.usable())

        self.run_script(script)

    def test_draining_target_deleted_in_an_outage_is_removed(self):
        """Guards against a grace time for targets that were leaving."""

        async def script(fixture):
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(1.0)
            fixture.store.fail(errors.StoreUnavailable("unreachable"))
            await asyncio.sleep(8.0)
            fixture.store.set("servers/t1", None)
            fixture.store.fail(None)
            await asyncio.sleep(1.0)
            self.assertNotIn("t1", fixture.table.by_id)

        self.run_script(script)

    def test_lost_history_is_followed_by_a_new_snapshot(self):
        """Guards against changes that were dropped with the history."""

        async def script(fixture):
            fixture.store.objects.pop("servers/t1")
            fixture.store.lose_history()
            await asyncio.sleep(0.1)
            self.assertEqual({"t2"}, fixture.usable())

        self.run_script(script)

    def test_store_without_a_revision_is_polled_with_back_off(self):
        """Guards against a loop that calls the store without waiting."""

        async def main():
            fixture = Fixture()
            fixture.store.revision = 0
            await fixture.start()
            await asyncio.sleep(2.0)
            self.assertLess(fixture.store.calls, 20)
            self.assertFalse(fixture.follower.has_snapshot)
            fixture.timers.close()

        virtual_loop.run(main())

    def test_malformed_registrations_add_no_target(self):
        """Guards against a malformed object that ends the follower."""

        async def script(fixture):
            good = json.loads(target_object("t3"))["spec"]
            bad = [
                b"\xff\xfe",
                b"[]",
                b'{"spec": null, "status": null}',
                target_object("t3", "retired"),
                target_object("t3", born="5"),
                target_object("t3", info={**good["info"], "slots": "3"}),
                target_object("t3", info={"zone": "a", "slots": 3}),
                target_object("t3", address="nowhere"),
                target_object("t3", address=17),
                target_object("t3", status="ready"),
            ]
            for number, value in enumerate(bad):
                fixture.store.set(f"servers/bad{number}", value)
            await asyncio.sleep(2.0)
            self.assertEqual({"t1", "t2"}, fixture.usable())

        self.run_script(script)

    def test_restart_under_the_same_id_makes_a_new_target(self):
        """Guards against health of an earlier incarnation that is kept."""

        async def script(fixture):
            before = fixture.table.by_id["t1"]
            fixture.store.set("servers/t1", target_object("t1", born=6))
            await asyncio.sleep(1.0)
            after = fixture.table.by_id["t1"]
            self.assertIsNot(before, after)
            self.assertNotEqual(before.key, after.key)

        self.run_script(script)
