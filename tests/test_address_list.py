"""Tests of the address list."""

import unittest

from bench import entry_fakes
from bench import virtual_loop
from fuchsiacourse import account_owners
from fuchsiacourse import address_list
from fuchsiacourse import errors
from fuchsiacourse import member as member_rows


class AddressListTest(unittest.TestCase):
    """Callers must be sent to usable entries that enforce their limits."""

    def run_fleet(self, scenario, entries=20):
        async def main():
            return scenario(entry_fakes.EntryFleet(entries=entries))

        return virtual_loop.run(main())

    def test_all_entries_list_the_same_entries(self):
        """Guards against entries that disagree on an account's entries."""

        def scenario(fleet):
            return [
                {row.id for row in entry.address_list("glen").entries}
                for entry in fleet.entries
            ], [
                entry.address_list("glen").entries[0] is row
                for entry, row in zip(fleet.entries, fleet.entry_rows)
            ]

        lists, own_first = self.run_fleet(scenario)
        self.assertEqual(3, len(lists[0]))
        self.assertTrue(all(found == lists[0] for found in lists))
        # Exactly the account's entries list themselves first.
        self.assertEqual(3, own_first.count(True))

    def test_leaving_entries_are_not_listed(self):
        """Guards against sending callers to an entry that is stopping."""

        def scenario(fleet):
            for row in fleet.entry_rows[:2]:
                row.state = member_rows.State.LEAVING
            listed = fleet.entries[0].address_list("")
            return fleet.entry_rows, listed

        rows, listed = self.run_fleet(scenario)
        self.assertEqual(address_list.MAX_ADDRESSES, len(listed.entries))
        self.assertFalse(set(rows[:2]) & set(listed.entries))
        content = listed.as_json()
        self.assertEqual(rows[0].http_address, content["issuer"])
        self.assertEqual(900, content["keys"]["expires_in_s"])

    def test_suspect_entries_are_the_last_resort(self):
        """Guards against an empty list while all entries are suspected."""

        def scenario(fleet):
            for row in fleet.entry_rows:
                row.state = member_rows.State.SUSPECT
            return len(fleet.entries[0].address_list("glen").entries)

        self.assertEqual(2, self.run_fleet(scenario, entries=2))

    def test_no_keys_after_the_seal(self):
        """Guards against issuing keys after the hand-over has started."""

        async def main():
            fleet = entry_fakes.EntryFleet(entries=2)
            await fleet.entries[0].drain()
            with self.assertRaises(errors.RequestRefused):
                fleet.entries[0].address_list("glen")
            answer = await fleet.book("")
            return answer.body

        self.assertNotIn(b'"keys"', virtual_loop.run(main()))

    def test_shares_of_a_limit(self):
        """Guards against granting an account its whole limit at each entry."""

        async def main():
            fleet = entry_fakes.EntryFleet(entries=20)
            owners = [
                account_owners.AccountOwners(members=table, count=3)
                for table in fleet.tables
            ]
            before = [item.shares("glen") for item in owners]
            for row in owners[0].owners("glen"):
                row.state = member_rows.State.DEAD
                fleet.gossip(row)
            after = [item.shares("glen") for item in owners]
            return before, after

        before, after = virtual_loop.run(main())
        self.assertEqual([3] * 3 + [20] * 17, sorted(before))
        self.assertEqual([3] * 3 + [17] * 17, sorted(after))
