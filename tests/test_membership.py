"""Tests of the membership of the fronts and of their packets."""

import asyncio
import random
import struct
import unittest

from bench import fake_datagrams
from bench import fake_links
from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse.front import directory
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import front_status
from fuchsiacourse.front import membership as memberships
from fuchsiacourse.front import membership_packet
from fuchsiacourse.front import outcome
from fuchsiacourse.front import peer_table
from fuchsiacourse.front import store_view
from fuchsiacourse.front import target_limit
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

SEEDS = ("10.0.0.1", "10.0.1.1", "10.0.2.1")


class Front:
    """Membership and directory of one front on a fake network."""

    def __init__(
        self, ip: str, zone: str, network, *, incarnation: int = 1
    ) -> None:
        clock = virtual_loop.VirtualClock()
        rng = random.Random(ip)
        self.received: list[tuple[evidences.Evidence, str, bool]] = []
        self.status = front_status.FrontStatus(
            is_ready=True,
            is_leaving=False,
            config_version=3,
            store_contact_s=9.0,
        )
        self.failures: list[Exception] = []
        self.timers = timer_services.Timers(
            clock=clock, rng=rng, on_error=self.failures.append
        )
        settings = front_fakes.settings(ip, zone, SEEDS)
        self.membership = memberships.Membership(
            clock=clock,
            timers=self.timers,
            rng=rng,
            datagram=network.endpoint(f"{ip}:7000"),
            settings=settings,
            incarnation=incarnation,
            status=lambda: self.status,
            log=logs.silent(),
        )
        self.directory = directory.Directory(
            settings=settings,
            peers=self.membership.peers,
            is_serving=lambda: self.status.is_ready,
        )
        self.membership.start(lambda *item: self.received.append(item))

    def addresses(self, zone: str) -> set[str]:
        answer = self.directory.resolve(
            availability_zone=zone, region=front_fakes.ZONES.get(zone, "")
        )
        return {ip for ip, _ in answer.addresses}


def evidence(key: int = 7) -> evidences.Evidence:
    return evidences.Evidence(
        target_key=key,
        outcome=outcome.Outcome.FAILED,
        kind=evidences.AttemptKind.REPEAT,
        in_flight=2,
        took_s=0.25,
        reported_load=3,
        fingerprint=99,
    )


class MembershipTest(unittest.TestCase):
    """Fronts must find each other and exchange their evidence."""

    def run_script(self, script) -> None:
        async def main():
            links = fake_links.FakeLinks(rng=random.Random(3))
            network = fake_datagrams.FakeDatagramNetwork(links=links)
            self.fronts = {}
            for zone, third in (("a", 0), ("b", 1), ("c", 2)):
                for last in range(1, 5):
                    ip = f"10.0.{third}.{last}"
                    self.fronts[ip] = Front(ip, zone, network)
            await asyncio.sleep(4.0)
            await script(network)
            for front in self.fronts.values():
                self.assertEqual([], front.failures)
                front.timers.close()

        virtual_loop.run(main())

    def zone(self, third: int) -> set[str]:
        return {f"10.0.{third}.{last}" for last in range(1, 5)}

    def test_callers_get_the_fronts_of_their_zone(self):
        """Guards against callers that are sent to fronts of other zones."""

        async def script(network):
            for ip, front in self.fronts.items():
                own = int(ip.split(".")[2])
                for third, zone in enumerate("abc"):
                    is_same_region = (own < 2) == (third < 2)
                    expected = self.zone(third if is_same_region else own)
                    self.assertEqual(expected, front.addresses(zone), ip)

        self.run_script(script)

    def test_front_that_is_down_or_leaving_is_not_resolved(self):
        """Guards against callers that are sent to a front that is gone."""

        async def script(network):
            self.fronts["10.0.0.2"].timers.close()
            leaving = self.fronts["10.0.0.3"]
            leaving.status.is_leaving = True
            leaving.status.is_ready = False
            leaving.membership.announce()
            await asyncio.sleep(0.05)
            self.assertNotIn(
                "10.0.0.3", self.fronts["10.0.0.1"].addresses("a")
            )
            await asyncio.sleep(peer_table.PEER_TIMEOUT_S + 0.1)
            self.assertEqual(
                {"10.0.0.1", "10.0.0.4"},
                self.fronts["10.0.0.1"].addresses("a"),
            )

        self.run_script(script)

    def test_evidence_reaches_the_region_once_and_no_other(self):
        """Guards against evidence that is lost, counted twice or leaked."""

        async def script(network):
            self.fronts["10.0.0.2"].membership.send_evidence(evidence())
            await asyncio.sleep(0.1)
            for ip, front in self.fronts.items():
                expected = 0 if ip == "10.0.0.2" else 1
                if ip.startswith("10.0.2"):
                    expected = 0
                self.assertEqual(expected, len(front.received), ip)
            item, source, is_same_zone = self.fronts["10.0.0.1"].received[0]
            self.assertEqual(("10.0.0.2", True), (source, is_same_zone))
            self.assertEqual(evidence().took_s, item.took_s)
            self.assertFalse(self.fronts["10.0.1.1"].received[0][2])

        self.run_script(script)

    def test_warning_reaches_the_other_region_once(self):
        """Guards against a suspect target that other regions keep using."""

        async def script(network):
            self.fronts["10.0.0.2"].membership.warn_regions(evidence())
            await asyncio.sleep(0.1)
            for ip, front in self.fronts.items():
                expected = 1 if ip.startswith("10.0.2") else 0
                self.assertEqual(expected, len(front.received), ip)

        self.run_script(script)

    def test_newer_configuration_is_known_in_all_regions(self):
        """Guards against a front that takes an old version for the newest."""

        async def script(network):
            origin = self.fronts["10.0.0.2"]
            origin.status.config_version = 9
            origin.membership.announce()
            origin.membership.announce_regions()
            await asyncio.sleep(0.1)
            for ip, front in self.fronts.items():
                if front is not origin:
                    self.assertEqual(
                        9, front.membership.peers.config_version(), ip
                    )

        self.run_script(script)

    def test_version_beyond_32_bits_is_known_in_all_regions(self):
        """Guards against packets that a large number makes impossible."""

        async def script(network):
            origin = self.fronts["10.0.0.2"]
            origin.status.view = store_view.StoreView(
                has_proven_contact=True,
                has_lost_store=False,
                capacity=7,
                config_revision=2**70,
                target_revision=9,
                config_era=2**40,
            )
            for version in (1_764_900_000_000, 1_764_900_000_001):
                origin.status.config_version = version
                origin.membership.announce()
                origin.membership.announce_regions()
                origin.membership.send_evidence(evidence(5))
                await asyncio.sleep(0.2)
                for ip, front in self.fronts.items():
                    if front is not origin:
                        self.assertEqual(
                            version, front.membership.peers.config_version()
                        )

        self.run_script(script)

    def test_restarted_front_is_found_again_with_its_seeds_down(self):
        """Guards against a restarted front that stays alone without seeds."""

        async def script(network):
            for ip in SEEDS:
                self.fronts[ip].timers.close()
            self.fronts["10.0.0.3"].timers.close()
            await asyncio.sleep(2.0)
            self.fronts["10.0.0.3"] = Front(
                "10.0.0.3", "a", network, incarnation=2
            )
            await asyncio.sleep(1.0)
            self.assertIn("10.0.0.4", self.fronts["10.0.0.3"].addresses("a"))
            self.assertIn("10.0.0.3", self.fronts["10.0.0.4"].addresses("a"))

        self.run_script(script)

    def test_packet_of_an_earlier_incarnation_is_dropped(self):
        """Guards against a delayed packet that undoes a newer state."""

        async def script(network):
            front = self.fronts["10.0.0.1"]
            peer = front.membership.peers.by_ip["10.0.0.2"]
            peer.incarnation = 5
            peer.is_ready = False
            await asyncio.sleep(0.5)
            self.assertFalse(peer.is_ready)

        self.run_script(script)

    def test_front_whose_clock_was_set_back_returns_after_a_timeout(self):
        """Guards against a lower incarnation that is dropped for good."""

        async def script(network):
            self.fronts["10.0.0.3"].timers.close()
            await asyncio.sleep(peer_table.PEER_TIMEOUT_S + 0.2)
            self.fronts["10.0.0.3"] = Front(
                "10.0.0.3", "a", network, incarnation=0
            )
            await asyncio.sleep(1.0)
            self.assertIn("10.0.0.3", self.fronts["10.0.0.4"].addresses("a"))

        self.run_script(script)

    def test_store_contact_of_peers_is_known(self):
        """Guards against an outage that a front assumes for the others."""

        async def script(network):
            self.assertEqual(
                9.0, self.fronts["10.0.0.1"].membership.peers.store_contact_s()
            )

        self.run_script(script)


class MembershipPacketTest(unittest.TestCase):
    """Packets must round-trip, and other bytes must be rejected."""

    def packet(self) -> membership_packet.MembershipPacket:
        return membership_packet.MembershipPacket(
            ip="10.1.2.3",
            zone=2,
            incarnation=77,
            config_version=12,
            store_contact_s=3.4,
            is_ready=True,
            is_leaving=False,
            relay_in_zone=True,
            requests_members=True,
            evidence=[evidence(1), evidence(2**64 - 1)],
            members=[("10.9.8.7", 1)],
        )

    def test_round_trip(self):
        """Guards against a field that is lost or changed on the wire."""
        sent = self.packet()
        decoded = membership_packet.decode(sent.encode())
        for name in membership_packet.MembershipPacket.__slots__:
            if name != "evidence":
                self.assertEqual(
                    getattr(sent, name), getattr(decoded, name), name
                )
        for name in evidences.Evidence.__slots__:
            self.assertEqual(
                [getattr(item, name) for item in sent.evidence],
                [getattr(item, name) for item in decoded.evidence],
                name,
            )

    def test_truncated_and_foreign_packets(self):
        """Guards against malformed bytes that are decoded as a packet."""
        data = self.packet().encode()
        for length in range(len(data)):
            with self.assertRaises(errors.PeerError):
                membership_packet.decode(data[:length])
        with self.assertRaises(errors.PeerError):
            membership_packet.decode(b"XX" + data[2:])

    def test_packet_of_evidence_fits_a_frame(self):
        """Guards against fragmented packets, which are lost more often."""
        full = self.packet()
        full.tells_limits = True
        stated = evidence()
        stated.rate_limit = 2.0
        full.evidence = [stated] * membership_packet.MAX_EVIDENCE
        self.assertLess(len(full.encode()), 1472)

    def test_rate_limits(self):
        """Guards against limits that get lost, or that nobody stated."""
        sent = self.packet()
        sent.tells_limits = True
        sent.evidence[0].rate_limit = 2.5
        sent.evidence[1].outcome = outcome.Outcome.ANSWERED
        sent.evidence.append(evidence(3))
        found = membership_packet.decode(sent.encode()).evidence
        self.assertEqual(
            [2.5, target_limit.UNLIMITED, None],
            [item.rate_limit for item in found],
        )
        sent.tells_limits = False
        found = membership_packet.decode(sent.encode()).evidence
        self.assertEqual([None] * 3, [item.rate_limit for item in found])

    def test_rate_limit_beyond_the_range_of_the_packet(self):
        """Guards against evidence lost to an absurd limit of a target."""
        sent = self.packet()
        sent.tells_limits = True
        sent.evidence[0].rate_limit = 1e300
        found = membership_packet.decode(sent.encode()).evidence
        self.assertGreater(found[0].rate_limit, 1e6)
        self.assertTrue(found[0].states_limit)

    def test_malformed_rate_limits(self):
        """Guards against limits of no evidence, or no number."""
        sent = self.packet()
        sent.tells_limits = True
        sent.evidence[0].rate_limit = 2.5
        data = sent.encode()
        for index, limit in ((2, 1.0), (0, -1.0), (0, float("nan"))):
            with self.assertRaises(errors.PeerError):
                membership_packet.decode(
                    data[:-5] + struct.pack("<Bf", index, limit)
                )

    def test_eras_of_the_view(self):
        """Guards against an era that is lost, or seen in an old packet."""
        sent = self.packet()
        for eras in ((0, 0), (4, 3), (0, 1)):
            sent.view = store_view.StoreView(
                has_proven_contact=True,
                has_lost_store=False,
                capacity=7,
                config_revision=8,
                target_revision=9,
                config_era=eras[0],
                target_era=eras[1],
            )
            found = membership_packet.decode(sent.encode()).view
            self.assertTrue(sent.view.is_equal(found), eras)
