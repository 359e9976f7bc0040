"""Tests of the election of the fronts that watch the store."""

import unittest

from fuchsiacourse.front import peer_state
from fuchsiacourse.front import relay_election
from fuchsiacourse.front import store_view


def view(**changes) -> store_view.StoreView:
    values = {
        "has_proven_contact": False,
        "has_lost_store": False,
        "capacity": 100,
        "config_revision": 1,
        "target_revision": 1,
    }
    return store_view.StoreView(**{**values, **changes})


def peer(last: int, **changes) -> peer_state.PeerState:
    state = peer_state.PeerState(ip=f"10.0.0.{last}", zone=0, discovered_s=0)
    state.view = view(**changes)
    return state


class RelayElectionTest(unittest.TestCase):
    """Two fronts must watch, and none may be left without contact."""

    def election(
        self, last: int, start_s: float = 0.0
    ) -> relay_election.RelayElection:
        return relay_election.RelayElection(
            ip=f"10.0.0.{last}", start_s=start_s, is_first_start=True
        )

    def test_two_lowest_of_equal_fronts_watch(self):
        """Guards against a zone in which too many or too few watch."""
        for last in range(1, 6):
            peers = [peer(other) for other in range(1, 6) if other != last]
            election = self.election(last)
            election.update(1.0, view(), peers)
            self.assertEqual(last <= 2, election.watches, last)

    def test_fronts_with_fast_links_watch(self):
        """Guards against slow links that carry the changes of a zone."""
        election = self.election(9)
        peers = [peer(last, capacity=5) for last in range(1, 5)]
        election.update(1.0, view(), peers)
        self.assertTrue(election.watches)

    def test_front_that_starts_waits_for_packets_first(self):
        """Guards against a starting front that watches needlessly."""
        election = self.election(1)
        election.update(0.3, view(), [])
        self.assertFalse(election.watches)

    def test_peer_of_an_earlier_era_proves_nothing(self):
        """Guards against contact with a store of before a restore."""
        for eras, watches in (((2, 2), False), ((1, 2), True), ((0, 0), True)):
            election = self.election(5)
            peers = [
                peer(
                    last,
                    has_proven_contact=True,
                    config_era=eras[0],
                    target_era=eras[1],
                )
                for last in (1, 2)
            ]
            election.update(9.0, view(config_era=2, target_era=2), peers)
            self.assertEqual(watches, election.watches, eras)

    def test_front_without_proven_peers_watches_itself(self):
        """Guards against a front that relies on peers without contact."""
        election = self.election(5)
        peers = [
            peer(1, has_proven_contact=True),
            peer(2, has_proven_contact=True),
        ]
        election.update(9.0, view(), peers)
        self.assertFalse(election.watches)
        self.assertTrue(election.update(9.1, view(), [peer(1), peer(2)]))
        self.assertTrue(election.watches)
        self.assertFalse(election.is_elected)

    def test_front_steps_down_when_two_peers_are_proven_for_long(self):
        """Guards against watches that go on when peers have taken over."""
        election = self.election(5)
        election.update(9.0, view(), [peer(1), peer(2)])
        peers = [
            peer(1, has_proven_contact=True),
            peer(2, has_proven_contact=True),
        ]
        election.update(10.0, view(), peers)
        election.update(10.0 + relay_election.STEP_DOWN_S - 0.1, view(), peers)
        self.assertTrue(election.watches)
        election.update(10.0 + relay_election.STEP_DOWN_S, view(), peers)
        self.assertFalse(election.watches)

    def test_flapping_contact_of_peers_changes_nothing(self):
        """Guards against a front that switches with each change of peers."""
        election = self.election(5)
        election.update(9.0, view(), [peer(1), peer(2)])
        for step in range(40):
            proven = step % 2 == 0
            peers = [peer(n, has_proven_contact=proven) for n in (1, 2)]
            election.update(10.0 + step, view(), peers)
            self.assertTrue(election.watches)

    def test_next_front_takes_over_from_one_that_lost_the_store(self):
        """Guards against an elected front that cannot reach the store."""
        election = self.election(3)
        peers = [
            peer(1, has_lost_store=True),
            peer(2, has_proven_contact=True),
        ]
        election.update(9.0, view(), peers)
        self.assertTrue(election.watches)

    def test_leaving_front_is_replaced_before_it_ends(self):
        """Guards against a gap when an elected front shuts down."""
        election = self.election(3)
        peers = [
            peer(1, has_proven_contact=True),
            peer(2, has_proven_contact=True),
        ]
        election.update(9.0, view(), peers)
        self.assertFalse(election.watches)
        peers[0].is_leaving = True
        election.update(9.1, view(), peers)
        self.assertTrue(election.watches)

    def test_front_that_lost_the_store_is_not_elected(self):
        """Guards against a front that elects itself without the store."""
        election = self.election(1)
        peers = [
            peer(2, has_proven_contact=True),
            peer(3, has_proven_contact=True),
        ]
        election.update(9.0, view(has_lost_store=True), peers)
        self.assertFalse(election.watches)
