"""Choice of the entries that enforce the rate limit of an account.

The limit is divided among these entries.
"""

from __future__ import annotations

import collections

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import membership_watch
from fuchsiacourse import rendezvous

# Maximum number of accounts whose entries are cached between changes of
# membership; the least recently used ones are dropped.
_MAX_ACCOUNTS = 10_000


class AccountOwners:
    """Assigns a few entries of the own region to each account.

    Args:
        members: Member table.
        count: Number of entries for each account.
    """

    def __init__(self, *, members: member_tables.Members, count: int) -> None:
        self._members = members
        self._count = count
        self._entries: list[member_rows.Member] = []
        self._owners_by_account: collections.OrderedDict[
            str, list[member_rows.Member]
        ] = collections.OrderedDict()
        self._watch = membership_watch.MembershipWatch(
            members=members, on_change=self._clear_cache
        )

    def entries(self) -> list[member_rows.Member]:
        """Returns the usable entries of the own region.

        These are the alive ones or, without any, the suspected ones.
        """
        if not self._entries:
            region = self._members.self.region
            self._entries = self._members.alive(
                member_tables.ENTRY, region=region
            ) or self._members.in_state(
                member_tables.ENTRY, member_rows.State.SUSPECT, region=region
            )
        return list(self._entries)

    def owners(self, account: str) -> list[member_rows.Member]:
        """Returns the entries that enforce an account's limits."""
        found = self._owners_by_account.get(account)
        if found is None:
            ids = [row.id for row in self.entries()]
            ranked = rendezvous.ranked(f"account/{account}", ids)
            found = [self._members.by_id[id] for id in ranked[: self._count]]
            self._owners_by_account[account] = found
        self._owners_by_account.move_to_end(account)
        if len(self._owners_by_account) > _MAX_ACCOUNTS:
            self._owners_by_account.popitem(last=False)
        return list(found)

    def shares(self, account: str) -> int:
        """Returns the divisor of an account's limit at this entry.

        The account's entries share the limit. All other entries together
        grant at most the limit once more, to callers with a stale list.

        Returns:
            The number of equal shares, of which this entry grants one.
        """
        owners = self.owners(account)
        if self._members.self in owners:
            return len(owners)
        return max(1, len(self.entries()))

    def _clear_cache(self) -> None:
        self._entries = []
        self._owners_by_account.clear()
