"""Tests of the choice of peers to fetch a configuration from."""

import random
import unittest

from fuchsiacourse import config_peers
from fuchsiacourse import member
from fuchsiacourse import members

ZONES = ("tay-a", "tay-b", "lot-a", "lot-b")


class ConfigPeersTest(unittest.TestCase):
    """Chosen peers must hold the number and must not be gone."""

    def setUp(self) -> None:
        self.rows = [self.row(number) for number in range(12)]
        self.members = members.Members(self_row=self.rows[0])
        self.members.by_id |= {row.id: row for row in self.rows}
        self.peers = config_peers.ConfigPeers(
            members=self.members, rng=random.Random(1)
        )

    def row(self, number: int) -> member.Member:
        zone = ZONES[number % 4]
        return member.Member(
            id=f"m{number}",
            role=members.DISPATCH,
            host="",
            availability_zone=zone,
            region="tayside" if zone.startswith("tay") else "lothian",
            gossip_address="",
            rpc_address=f"a{number}",
            config_number=number,
        )

    def test_two_zones(self):
        """Guards against a new process that starts with an old number."""
        self.assertEqual(["a11", "a10"], self.peers.peers_in_two_zones())
        self.rows[10].state = member.State.SUSPECT
        self.assertEqual(["a11", "a9"], self.peers.peers_in_two_zones())

    def test_holders(self):
        """Guards against requests to peers that can't serve the number."""
        self.assertEqual(["a8", "a9"], self.peers.holders(8)[:2])
        self.assertTrue(self.peers.record_announcer("m3"))
        self.assertFalse(self.peers.record_announcer("m3"))
        self.assertEqual("a3", self.peers.holders(11)[0])
        self.rows[3].state = member.State.DEAD
        self.assertEqual(["a11"], self.peers.holders(11))
