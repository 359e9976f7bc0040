"""Entries that keep the limits of an account."""

from __future__ import annotations

import collections

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import membership_watch
from fuchsiacourse import rendezvous

# Accounts whose keepers are remembered between changes of membership.
_MAX_ACCOUNTS = 10_000


class AccountOwners:
    """Chooses a few entries of the own region for each account.

    Args:
        members: Member table.
        count: Entries for each account.
    """

    def __init__(self, *, members: member_tables.Members, count: int) -> None:
        self._members = members
        self._count = count
        self._entries: list[member_rows.Member] = []
        self._owners_by_account: collections.OrderedDict[
            str, list[member_rows.Member]
        ] = collections.OrderedDict()
        self._watch = membership_watch.MembershipWatch(
            members=members, on_change=self._forget
        )

    def entries(self) -> list[member_rows.Member]:
        """Returns the entries of the own region that can be used."""
        if not self._entries:
            region = self._members.self.region
            self._entries = self._members.alive(
                member_tables.ENTRY, region=region
            ) or self._members.in_state(
                member_tables.ENTRY, member_rows.State.SUSPECT, region=region
            )
        return list(self._entries)

    def owners(self, account: str) -> list[member_rows.Member]:
        """Returns the entries that keep an account's limits."""
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
        """Returns the part of an account's limit that is granted here.

        The keepers share the limit. All other entries together grant at
        most the limit once more, to callers whose list is out of date.

        Returns:
            The number of equal parts that the limit is divided into.
        """
        owners = self.owners(account)
        if self._members.self in owners:
            return len(owners)
        return max(1, len(self.entries()))

    def _forget(self) -> None:
        self._entries = []
        self._owners_by_account.clear()
