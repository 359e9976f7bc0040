"""Addresses of entries that a caller should use."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import key_blocks
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import rendezvous

# Longest list for a caller without an account.
MAX_ADDRESSES = 16


class AddressList:
    """Entries to use, and a block of idempotency keys.

    Args:
        entries: Rows of the entries, the preferred one first.
        ttl_s: Seconds that the list may be kept.
        keys: Block of new keys.
        issuer: Address of the entry that issued the keys.
    """

    __slots__ = ("entries", "ttl_s", "keys", "issuer")

    def __init__(
        self,
        *,
        entries: list[member_rows.Member],
        ttl_s: float,
        keys: key_blocks.IssuedBlock,
        issuer: str,
    ) -> None:
        self.entries = entries
        self.ttl_s = ttl_s
        self.keys = keys
        self.issuer = issuer

    def as_json(self) -> dict[str, typing.Any]:
        """Returns the list as a JSON object."""
        return {
            "addresses": [
                {
                    "address": row.http_address,
                    "availability_zone": row.availability_zone,
                    "region": row.region,
                }
                for row in self.entries
            ],
            "ttl_s": self.ttl_s,
            "keys": self.keys.as_json(),
            "issuer": self.issuer,
        }


def keepers(
    members: member_tables.Members, account: str, *, count: int
) -> list[member_rows.Member]:
    """Returns the entries of the own region that keep an account's limits.

    Args:
        members: Member table.
        account: Account of the caller.
        count: Entries for each account.
    """
    ids = [row.id for row in _entries(members)]
    return [
        members.by_id[id]
        for id in rendezvous.ranked(f"account/{account}", ids)[:count]
    ]


def choose(
    members: member_tables.Members,
    account: str,
    *,
    count: int,
    rng: random.Random,
) -> list[member_rows.Member]:
    """Returns the entries for a caller, the own process first if listed.

    Args:
        members: Member table.
        account: Account of the caller; empty if none was given.
        count: Entries for each account.
        rng: Spreads callers without an account.
    """
    if account:
        rows = keepers(members, account, count=count)
    else:
        rows = _entries(members)
        rng.shuffle(rows)
    rows.sort(key=lambda row: row is not members.self)
    return rows[:MAX_ADDRESSES]


def _entries(members: member_tables.Members) -> list[member_rows.Member]:
    region = members.self.region
    return members.alive(
        member_tables.ENTRY, region=region
    ) or members.in_state(
        member_tables.ENTRY, member_rows.State.SUSPECT, region=region
    )
