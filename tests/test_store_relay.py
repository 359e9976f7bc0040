"""Tests of the copies that the fronts of a zone share.

Most guard against a front that uses a target after its time to leave, because
its copy of the registrations is stale.
"""

import asyncio
import random
import unittest

from bench import fake_datagrams
from bench import fake_links
from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import copy_exchange
from fuchsiacourse.front import front_status
from fuchsiacourse.front import membership as memberships
from fuchsiacourse.front import store_relay
from fuchsiacourse.front import target_follower
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse.platform import target_codec
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services
from tests import test_target_follower

# Time in which a front must stop using a leaving target, in seconds.
DRAIN_S = 2.0
# Time after which the store removes the registration of a silent target, in
# seconds.
LIFETIME_S = 4.5
# Time after which an unanswered call to the store fails, in seconds.
CALL_TIMEOUT_S = 3.0
target_object = test_target_follower.target_object
IPS = [f"10.0.0.{last}" for last in range(11, 21)]


async def _cancelled(task: asyncio.Future) -> None:
    """Cancels a task and retrieves the error with which it may end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class StoreLink(stores.Store):
    """Link from one front to the store; it can fail for that front alone.

    Attributes:
        failure: Error that each call raises, None for none.
        is_silent: Whether calls get no answer.
        calls: Number of calls.
        watches: Number of watches.
        lost_watches: Watches up to this number get no answer.
    """

    def __init__(self, store: test_target_follower.ScriptedStore) -> None:
        self.store = store
        self.failure: Exception | None = None
        self.is_silent = False
        self.calls = 0
        self.lost_watches = 0
        self.watches = 0
        self._ended = asyncio.Event()

    def lose_answers(self) -> None:
        """Loses the answers to the open watches."""
        self.lost_watches = self.watches

    def fail(self, error: Exception | None) -> None:
        self.failure = error
        self.cut()

    def cut(self) -> None:
        """Cuts the open watches."""
        self._ended.set()

    async def watch(self, prefix, *, after_revision, timeout_s):
        await self._admit(timeout_s)
        self.watches += 1
        number = self.watches
        answer = asyncio.ensure_future(
            self.store.watch(
                prefix, after_revision=after_revision, timeout_s=timeout_s
            )
        )
        ended = asyncio.ensure_future(self._ended.wait())
        await asyncio.wait(
            (answer, ended), return_when=asyncio.FIRST_COMPLETED
        )
        ended.cancel()
        if self.is_silent or number <= self.lost_watches:
            await _cancelled(answer)
            await asyncio.sleep(timeout_s + CALL_TIMEOUT_S)
            raise errors.StoreUnavailable("the call timed out")
        if not answer.done():
            await _cancelled(answer)
            raise self.failure or errors.StoreUnavailable("cut")
        try:
            return answer.result()
        except TimeoutError:
            return stores.WatchBatch(
                revision=self.store.revision, objects=[], era=self.store.era
            )

    async def ping(self):
        await self._admit()
        if self.store.failure is not None:
            raise self.store.failure
        return self.store.era

    async def _admit(self, timeout_s=0.0):
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(timeout_s + CALL_TIMEOUT_S)
            raise errors.StoreUnavailable("the call timed out")
        if self.failure is not None:
            raise self.failure
        self._ended.clear()
        await asyncio.sleep(0.005)

    async def get(self, key):
        raise AssertionError("not used")

    async def list(self, prefix):
        raise AssertionError("not used")

    async def put(self, key, value, *, if_version):
        raise AssertionError("a front must not write to the store")

    async def delete(self, key, *, if_version):
        raise AssertionError("a front must not write to the store")

    async def hosts(self):
        raise AssertionError("a front must not read the host list")


class Front(copy_exchange.CopySource):
    """One front: its membership, relay and follower of targets."""

    def __init__(self, fixture: "Fixture", ip: str, zone: str) -> None:
        self.fixture = fixture
        self.ip = ip
        clock = self.clock = virtual_loop.VirtualClock()
        rng = random.Random(ip)
        self.timers = timer_services.Timers(
            clock=clock, rng=rng, on_error=fixture.failures.append
        )
        self.is_up = True
        self.store_link = StoreLink(fixture.store)
        self.membership = memberships.Membership(
            clock=clock,
            timers=self.timers,
            rng=rng,
            datagram=fixture.network.endpoint(f"{ip}:7000"),
            settings=front_fakes.settings(ip, zone, tuple(IPS[:3])),
            incarnation=1,
            status=self.status,
            log=logs.silent(),
        )
        self.relay = store_relay.StoreRelay(
            clock=clock,
            timers=self.timers,
            ip=ip,
            capacity=100,
            membership=self.membership,
            store=self.store_link,
            source=self,
            is_first_start=fixture.is_first_start,
            log=logs.silent(),
        )
        self.table = target_table.TargetTable(clock=clock, log=logs.silent())
        self.targets = target_follower.TargetFollower(
            table=self.table,
            timers=self.timers,
            decode=target_codec.decode,
            store_contact_s=self.membership.peers.store_contact_s,
            lifetime_s=LIFETIME_S,
            clock=clock,
            rng=rng,
            store=self.store_link,
            prefix="servers/",
            relay=self.relay,
            log=logs.silent(),
        )
        # The registrations are used in place of the configuration, too.
        self.relay.add(self.targets)
        self.relay.add(self.targets)
        self.membership.start(lambda *item: None)
        self.relay.start()
        self.timers.spawn(self.targets.run())

    def status(self) -> front_status.FrontStatus:
        reached_s = self.targets.clock.now() - self.targets.reached_since_s
        return front_status.FrontStatus(
            is_ready=self.targets.has_snapshot,
            is_leaving=False,
            config_version=1,
            store_contact_s=reached_s if self.targets.is_following else 0.0,
            view=self.relay.view(),
        )

    async def fetch(self, ip, prefix, after):
        await asyncio.sleep(0.002)
        front = self.fixture.fronts[ip]
        copy = front.relay.find(prefix)
        if not front.is_up or copy is None:
            raise errors.PeerError("the call timed out")
        era, revision = after
        return copy.since(revision, era)

    def stop(self) -> None:
        self.is_up = False
        self.timers.close()

    def usable(self) -> set[str]:
        return {
            target.record.id
            for target in self.table.of_service("larder")
            if target.is_usable
        }


class Fixture:
    """Fronts that share a store."""

    def __init__(self) -> None:
        self.failures: list[Exception] = []
        self.is_first_start = True
        self.store = test_target_follower.ScriptedStore()
        links = fake_links.FakeLinks(rng=random.Random(3))
        self.network = fake_datagrams.FakeDatagramNetwork(links=links)
        self.fronts: dict[str, Front] = {}

    def start(self, ip: str, zone: str = "a") -> Front:
        front = self.fronts[ip] = Front(self, ip, zone)
        return front

    def watching(self) -> list[str]:
        return [
            ip
            for ip, front in self.fronts.items()
            if front.is_up and front.relay.watches
        ]

    def live(self) -> list[Front]:
        return [front for front in self.fronts.values() if front.is_up]


class ZoneTestCase(unittest.TestCase):
    """Runs scripts with ten fronts of one zone; has no tests of its own."""

    def run_script(self, script) -> None:
        async def main():
            self.fixture = fixture = Fixture()
            fixture.store.set("servers/t1", target_object("t1"))
            fixture.store.set("servers/t2", target_object("t2"))
            for ip in IPS:
                fixture.start(ip)
            await asyncio.sleep(5.0)
            self.assertEqual(IPS[:2], fixture.watching())
            await script(fixture)
            self.assertEqual([], fixture.failures)
            for front in fixture.fronts.values():
                front.timers.close()

        virtual_loop.run(main())

    async def check_drained_in_time(self, fixture: Fixture, id: str) -> None:
        """Drains a target; each front must stop using it in time."""
        fixture.store.set(f"servers/{id}", target_object(id, "draining"))
        await asyncio.sleep(DRAIN_S)
        for front in fixture.live():
            self.assertNotIn(id, front.usable(), front.ip)


class StoreRelayTest(ZoneTestCase):
    """Few fronts watch, and yet each stops using a target in time."""

    def test_all_fronts_follow_and_two_call(self):
        """Guards against store calls of fronts that copy from a peer."""

        async def script(fixture):
            before = {f.ip: f.store_link.calls for f in fixture.live()}
            await self.check_drained_in_time(fixture, "t1")
            fixture.store.set("servers/t2", None)
            await asyncio.sleep(DRAIN_S)
            for front in fixture.live():
                self.assertEqual(set(), front.usable(), front.ip)
                if front.ip not in IPS[:2]:
                    self.assertEqual(before[front.ip], front.store_link.calls)

        self.run_script(script)

    def test_killed_watchers(self):
        """Guards against a zone that misses changes if its watchers crash."""

        async def script(fixture):
            for ip in IPS[:2]:
                fixture.fronts[ip].stop()
            await self.check_drained_in_time(fixture, "t1")
            await asyncio.sleep(5.0)
            self.assertEqual(IPS[2:4], fixture.watching())

        self.run_script(script)

    def test_watchers_that_the_store_no_longer_answers(self):
        """Guards against a dropped watch taken for one without changes."""

        async def script(fixture):
            for ip in IPS[:2]:
                fixture.fronts[ip].store_link.is_silent = True
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_store_that_answers_only_one_front(self):
        """Guards against a front with contact that relies on the others."""

        async def script(fixture):
            for ip in IPS[:-1]:
                fixture.fronts[ip].store_link.is_silent = True
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(DRAIN_S)
            self.assertEqual({"t2"}, fixture.fronts[IPS[-1]].usable())

        self.run_script(script)

    def test_watchers_that_the_store_refuses(self):
        """Guards against a zone that stays with refused watchers."""

        async def script(fixture):
            for ip in IPS[:2]:
                fixture.fronts[ip].store_link.fail(errors.StoreRefused("503"))
            await self.check_drained_in_time(fixture, "t1")
            await asyncio.sleep(6.0)
            # Other fronts have proven their contact, and all copy from them.
            await self.check_drained_in_time(fixture, "t2")
            for ip in IPS[2:4]:
                self.assertIn(ip, fixture.watching())

        self.run_script(script)

    def test_watches_that_are_cut_keep_the_contact(self):
        """Guards against a new election after each cut watch."""

        async def script(fixture):
            for ip in IPS[:2]:
                fixture.fronts[ip].store_link.cut()
            await asyncio.sleep(3.0)
            self.assertEqual(IPS[:2], fixture.watching())
            await self.check_drained_in_time(fixture, "t1")

        self.run_script(script)

    def test_store_that_is_unreachable_for_all_and_back(self):
        """Guards against targets dropped for an outage of the store."""

        async def script(fixture):
            for front in fixture.live():
                front.store_link.fail(errors.StoreUnavailable("unreachable"))
            await asyncio.sleep(6.0)
            fixture.store.set("servers/t1", None)
            for front in fixture.live():
                front.store_link.fail(None)
            await asyncio.sleep(1.0)
            for front in fixture.live():
                # The target may register again within two seconds.
                self.assertEqual({"t1", "t2"}, front.usable(), front.ip)
                self.assertTrue(front.targets.is_following, front.ip)
            await asyncio.sleep(2.0)
            for front in fixture.live():
                self.assertEqual({"t2"}, front.usable(), front.ip)
            await asyncio.sleep(6.0)
            self.assertEqual(IPS[:2], fixture.watching())

        self.run_script(script)

    def test_few_fronts_poll_a_store_that_is_unreachable(self):
        """Guards against a zone whose fronts all poll a lost store."""

        async def script(fixture):
            for front in fixture.live():
                front.store_link.fail(errors.StoreUnavailable("unreachable"))
            await asyncio.sleep(3.0)
            before = [front.store_link.calls for front in fixture.live()]
            await asyncio.sleep(6.0)
            after = [front.store_link.calls for front in fixture.live()]
            calls = [new - old for old, new in zip(before, after)]
            self.assertGreater(min(calls[:2]), 10)
            self.assertLessEqual(max(calls[2:]), 6.0 / 1.5)
            for front in fixture.live():
                front.store_link.fail(None)
            await asyncio.sleep(1.0)
            for front in fixture.live():
                self.assertTrue(front.targets.is_following, front.ip)

        self.run_script(script)

    def test_fronts_that_start_together_read_the_store_through_two(self):
        """Guards against a start at which all fronts read the whole store.

        The link between the regions would be full while they start.
        """

        async def main():
            fixture = Fixture()
            fixture.store.set("servers/t1", target_object("t1"))
            for ip in IPS:
                fixture.start(ip)
            await asyncio.sleep(0.9)
            for front in fixture.live():
                self.assertEqual({"t1"}, front.usable(), front.ip)
            callers = [
                front.ip for front in fixture.live() if front.store_link.calls
            ]
            self.assertEqual(IPS[:2], callers)
            self.assertEqual([], fixture.failures)
            for front in fixture.live():
                front.timers.close()

        virtual_loop.run(main())

    def test_front_that_starts_alone_copies_at_once(self):
        """Guards against a slow start because of the wait for a copy."""

        async def script(fixture):
            front = fixture.start("10.0.0.99")
            await asyncio.sleep(0.2)
            self.assertEqual({"t1", "t2"}, front.usable())
            self.assertEqual(0, front.store_link.calls)

        self.run_script(script)

    def test_fronts_that_start_again_read_the_store_at_once(self):
        """Guards against callers that wait after a loss of power."""

        async def main():
            fixture = Fixture()
            fixture.is_first_start = False
            fixture.store.set("servers/t1", target_object("t1"))
            for ip in IPS:
                fixture.start(ip)
            await asyncio.sleep(0.1)
            for front in fixture.live():
                self.assertEqual({"t1"}, front.usable(), front.ip)
                front.timers.close()

        virtual_loop.run(main())

    def test_front_without_peers_reads_the_store(self):
        """Guards against a front that waits for peers that don't come."""

        async def main():
            fixture = Fixture()
            fixture.store.set("servers/t1", target_object("t1"))
            front = fixture.start(IPS[5])
            await asyncio.sleep(1.1)
            self.assertEqual({"t1"}, front.usable())
            front.timers.close()

        virtual_loop.run(main())

    def test_front_that_starts_while_the_store_is_unreachable(self):
        """Guards against a front without targets if it starts in an outage."""

        async def script(fixture):
            unreachable = errors.StoreUnavailable("unreachable")
            for front in fixture.live():
                front.store_link.fail(unreachable)
            await asyncio.sleep(6.0)
            front = fixture.start("10.0.0.99")
            front.store_link.fail(unreachable)
            await asyncio.sleep(1.5)
            self.assertEqual({"t1", "t2"}, front.usable())
            self.assertFalse(front.targets.is_following)

        self.run_script(script)

    def test_front_that_starts_fetches_the_newest_copy(self):
        """Guards against a starting front that keeps an old snapshot."""

        async def script(fixture):
            old = list(fixture.store.objects.values())
            fixture.store.set("servers/t1", target_object("t1", "draining"))
            await asyncio.sleep(1.0)
            front = fixture.start("10.0.0.99")
            front.targets.copy.replace(2, old)
            front.targets.apply_snapshot(old)
            front.targets.has_snapshot = True
            await asyncio.sleep(0.5)
            self.assertEqual({"t2"}, front.usable())
            self.assertEqual(0, front.store_link.calls)

        self.run_script(script)
