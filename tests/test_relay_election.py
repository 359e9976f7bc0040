"""Tests of the choice of the fronts that watch the store."""

import unittest

from fuchsiacourse.front import peer_state
from fuchsiacourse.front import relay_election
from fuchsiacourse.front import store_view


def view(**changes) -> store_view.StoreView:
    values = {
        "is_proven": False,
        "is_lost": False,
        "capacity": 100,
        "config_revision": 1,
        "target_revision": 1,
    }
    return store_view.StoreView(**{**values, **changes})


def peer(last: int, **changes) -> peer_state.PeerState:
    member = peer_state.PeerState(ip=f"10.0.0.{last}", zone=0, discovered_s=0)
    member.view = view(**changes)
    return member


class RelayPlanTest(unittest.TestCase):
    """Two fronts watch; none is left without contact."""

    def plan(
        self, last: int, start_s: float = 0.0
    ) -> relay_election.RelayElection:
        return relay_election.RelayElection(
            ip=f"10.0.0.{last}", start_s=start_s
        )

    def test_two_lowest_of_equal_fronts_watch(self):
        for last in range(1, 6):
            peers = [peer(other) for other in range(1, 6) if other != last]
            plan = self.plan(last)
            plan.decide(1.0, view(), peers)
            self.assertEqual(last <= 2, plan.watches, last)

    def test_fronts_with_fast_links_watch(self):
        plan = self.plan(9)
        peers = [peer(last, capacity=5) for last in range(1, 5)]
        plan.decide(1.0, view(), peers)
        self.assertTrue(plan.watches)

    def test_front_that_starts_listens_first(self):
        plan = self.plan(1)
        plan.decide(0.3, view(), [])
        self.assertFalse(plan.watches)

    def test_front_without_proven_neighbours_watches_itself(self):
        plan = self.plan(5)
        peers = [peer(1, is_proven=True), peer(2, is_proven=True)]
        plan.decide(9.0, view(), peers)
        self.assertFalse(plan.watches)
        self.assertTrue(plan.decide(9.1, view(), [peer(1), peer(2)]))
        self.assertTrue(plan.watches)
        self.assertFalse(plan.is_elected)

    def test_front_steps_down_when_two_others_are_proven_for_long(self):
        plan = self.plan(5)
        plan.decide(9.0, view(), [peer(1), peer(2)])
        peers = [peer(1, is_proven=True), peer(2, is_proven=True)]
        plan.decide(10.0, view(), peers)
        plan.decide(10.0 + relay_election.STEP_DOWN_S - 0.1, view(), peers)
        self.assertTrue(plan.watches)
        plan.decide(10.0 + relay_election.STEP_DOWN_S, view(), peers)
        self.assertFalse(plan.watches)

    def test_contact_that_comes_and_goes_changes_nothing(self):
        plan = self.plan(5)
        plan.decide(9.0, view(), [peer(1), peer(2)])
        for step in range(40):
            proven = step % 2 == 0
            peers = [peer(n, is_proven=proven) for n in (1, 2)]
            plan.decide(10.0 + step, view(), peers)
            self.assertTrue(plan.watches)

    def test_next_front_takes_over_from_one_that_lost_the_store(self):
        plan = self.plan(3)
        peers = [peer(1, is_lost=True), peer(2, is_proven=True)]
        plan.decide(9.0, view(), peers)
        self.assertTrue(plan.watches)

    def test_leaving_front_is_replaced_before_it_ends(self):
        plan = self.plan(3)
        peers = [peer(1, is_proven=True), peer(2, is_proven=True)]
        plan.decide(9.0, view(), peers)
        self.assertFalse(plan.watches)
        peers[0].is_leaving = True
        plan.decide(9.1, view(), peers)
        self.assertTrue(plan.watches)

    def test_front_that_lost_the_store_is_not_chosen(self):
        plan = self.plan(1)
        peers = [peer(2, is_proven=True), peer(3, is_proven=True)]
        plan.decide(9.0, view(is_lost=True), peers)
        self.assertFalse(plan.watches)
