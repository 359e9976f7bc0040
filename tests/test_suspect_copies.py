"""Tests of what a starting front learns of requests that crash targets."""

import asyncio
import random
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import front_program
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import peer_client
from fuchsiacourse.front import peer_endpoints
from fuchsiacourse.front import peer_state
from fuchsiacourse.front import suspect_copier
from fuchsiacourse.front import suspect_exchange
from fuchsiacourse import logs
from fuchsiacourse import system_clock
from fuchsiacourse import timers as timer_services

IP = "127.0.0.1"
REQUEST = 2**64 - 1
OTHER_REQUEST = 5


def blocking_suspects(clock) -> crash_suspects.CrashSuspects:
    """Returns suspects of which one is blocked, and one has two losses."""
    suspects = crash_suspects.CrashSuspects(clock=clock)
    for key in (1, 2, 3):
        suspects.record_lost(REQUEST, key)
    for key in (2**64 - 1, 8):
        suspects.record_lost(OTHER_REQUEST, key)
    return suspects


class CrashSuspectsTest(unittest.TestCase):
    """Guards against a front that forgets or invents suspected requests."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.known = blocking_suspects(self.clock)
        self.new = crash_suspects.CrashSuspects(clock=self.clock)

    def test_blocked_request_stays_blocked_for_as_long(self):
        """Guards against three more crashes after each restart."""
        self.clock.now_s += crash_suspects.BLOCK_S - 10.0
        self.assertEqual(1, self.new.merge(self.known.export()))
        self.assertTrue(self.new.is_blocked(REQUEST))
        self.assertFalse(self.new.is_blocked(OTHER_REQUEST))
        self.assertEqual(0, self.new.merge(self.known.export()))
        self.clock.now_s += 11.0
        self.assertFalse(self.new.is_blocked(REQUEST))

    def test_losses_at_two_fronts_add_up(self):
        """Guards against counting only what a front has seen itself."""
        self.new.record_lost(OTHER_REQUEST, 8)
        self.new.merge(self.known.export())
        self.assertFalse(self.new.is_blocked(OTHER_REQUEST))
        self.assertTrue(self.new.record_lost(OTHER_REQUEST, 9))

    def test_old_losses_don_t_count(self):
        """Guards against blocking a request for losses of another time."""
        self.clock.now_s += crash_suspects.WINDOW_S + 1.0
        self.new.merge(self.known.export())
        self.assertFalse(self.new.record_lost(OTHER_REQUEST, 9))

    def test_export_is_bounded_and_has_the_blocked_ones(self):
        """Guards against an answer that grows with an attack."""
        for fingerprint in range(100, 3000):
            self.known.record_lost(fingerprint, 1)
        found = self.known.export()
        self.assertEqual(crash_suspects.MAX_EXPORTED_REQUESTS, len(found))
        self.assertEqual(REQUEST, found[0].fingerprint)
        self.assertEqual(2999, found[1].fingerprint)


class SuspectExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against suspects that are altered on the way."""

    async def asyncSetUp(self) -> None:
        self.known = blocking_suspects(system_clock.SystemClock())
        self.body: bytes | None = None
        self.failures: list[Exception] = []
        self.server = caller_server.CallerServer(
            clock=system_clock.SystemClock(),
            address=(IP, 0),
            handler=peer_endpoints.PeerEndpoints(
                handlers_by_path={suspect_exchange.PATH: self.handle}
            ).handle,
            limits=lambda: front_program.DEFAULT_LIMITS,
            budget=body_budget.BodyBudget(),
            rejections=front_fakes.rejections(),
            on_error=self.failures.append,
        )
        await self.server.start()
        self.client = peer_client.PeerClient(
            port=self.server.address[1], limits=front_fakes.limits_on_answers()
        )
        self.source = suspect_exchange.HttpSuspectSource(client=self.client)

    async def asyncTearDown(self) -> None:
        self.server.stop_listening()
        self.assertEqual([], self.failures)

    async def handle(self, request, presence):
        if self.body is not None:
            return http_answer.HttpAnswer(
                status=200, headers=[], body=self.body
            )
        return await suspect_exchange.SuspectHandler(
            export=self.known.export
        ).handle(request, presence)

    async def test_suspects_arrive(self):
        found = await self.source.fetch(IP)
        self.assertEqual(
            [REQUEST, OTHER_REQUEST], [item.fingerprint for item in found]
        )
        self.assertGreater(found[0].blocked_for_s, 590.0)
        self.assertEqual({2**64 - 1, 8}, set(found[1].lost_age_s_by_target))

    async def test_odd_entry_costs_itself_alone(self):
        """Guards against a newer peer that ends the copying."""
        good = b'{"fingerprint": 7, "blocked_for_s": 1, "lost": [[1, 0.5]]}'
        for odd in (
            b"null",
            b"{}",
            good.replace(b"7", b"-1"),
            good.replace(b"7", b"18446744073709551616"),
            good.replace(b"1,", b"NaN,"),
            good.replace(b"0.5", b"9" * 400),
            good.replace(b"[[1, 0.5]]", b"[1]"),
        ):
            self.body = b'{"requests": [' + odd + b"," + good + b"]}"
            found = await self.source.fetch(IP)
            self.assertEqual([7], [item.fingerprint for item in found], odd)

    async def test_malformed_answer_is_an_error(self):
        """Guards against an exception that nobody expects."""
        for body in (b"", b"[]", b'{"requests": 4}', b"[" * 100_000):
            self.body = body
            with self.assertRaises(errors.PeerError):
                await self.source.fetch(IP)

    async def test_peer_without_this_path_is_an_error(self):
        """Guards against the answer of an older build."""
        with self.assertRaises(errors.PeerError):
            await self.client.get(IP, "/other")


class ScriptedSource(suspect_exchange.SuspectSource):
    """Source whose peers know nothing but for one.

    Args:
        known: What the peer at ``10.0.1.1`` knows.
    """

    def __init__(self, known: crash_suspects.CrashSuspects) -> None:
        self.known = known
        self.asked: list[str] = []

    async def fetch(self, ip: str):
        self.asked.append(ip)
        if ip == "10.0.1.1":
            return self.known.export()
        raise errors.PeerError("started anew as well")


class ScriptedPeers:
    """Peers that become known one after the other."""

    zone = 0

    def __init__(self) -> None:
        self.found: list[peer_state.PeerState] = []

    def live(self) -> list[peer_state.PeerState]:
        return self.found

    def add(self, ip: str, zone: int) -> None:
        self.found.append(
            peer_state.PeerState(ip=ip, zone=zone, discovered_s=0.0)
        )


class SuspectCopierTest(unittest.TestCase):
    """Guards against a restart that forgets which requests crash targets."""

    def test_starting_front_learns_what_a_peer_blocks(self):
        async def main():
            failures: list[Exception] = []
            clock = virtual_loop.VirtualClock()
            timers = timer_services.Timers(
                clock=clock, rng=random.Random(1), on_error=failures.append
            )
            peers = ScriptedPeers()
            source = ScriptedSource(blocking_suspects(clock))
            suspects = crash_suspects.CrashSuspects(clock=clock)
            suspect_copier.SuspectCopier(
                timers=timers,
                rng=random.Random(1),
                peers=peers,
                source=source,
                suspects=suspects,
                log=logs.silent(),
            ).start()
            await asyncio.sleep(0.5)
            peers.add("10.0.1.1", 1)
            peers.add("10.0.0.2", 0)
            await asyncio.sleep(1.5)
            self.assertTrue(suspects.is_blocked(REQUEST))
            await asyncio.sleep(5.0)
            self.assertEqual(["10.0.0.2", "10.0.1.1"], source.asked)
            self.assertEqual([], failures)

        virtual_loop.run(main())
