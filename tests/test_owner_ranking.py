"""Tests of the cached owners of shards."""

import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import member as member_rows
from fuchsiacourse import owner_ranking


class OwnerRankingTest(unittest.TestCase):
    """Cached owners must follow each change of membership."""

    def test_changes_of_state_drop_the_cache(self):
        """Guards against requests to an owner that has left."""

        async def main():
            fleet = entry_fakes.EntryFleet(dispatchers=3)
            table = fleet.tables[0]
            ranking = owner_ranking.OwnerRanking(members=table)
            first, second, _ = ranking.candidates("larder", "tayside")
            self.assertEqual(first.id, ranking.member_id(first.rpc_address))
            first.config_number = 7
            fleet.gossip(first)
            self.assertIs(first, ranking.candidates("larder", "tayside")[0])
            first.state = member_rows.State.DEAD
            fleet.gossip(first)
            found = ranking.candidates("larder", "tayside")
            self.assertIs(second, found[0])
            self.assertNotIn(first, found)
            self.assertEqual("", ranking.member_id(first.rpc_address))

        virtual_loop.run(main())
