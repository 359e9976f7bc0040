"""List of the entries that a caller should use."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import account_owners
from fuchsiacourse import key_blocks
from fuchsiacourse import member as member_rows

# Maximum length of a list. It applies to callers without an account, for
# whom all entries are candidates.
MAX_ADDRESSES = 16


class AddressList:
    """Entries for a caller and a block of new idempotency keys.

    Args:
        entries: Rows of the entries, the preferred one first.
        ttl_s: Seconds until the list expires.
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


def choose_entries(
    owners: account_owners.AccountOwners,
    account: str,
    *,
    own: member_rows.Member,
    rng: random.Random,
) -> list[member_rows.Member]:
    """Returns the entries for a caller, this process first if it is one.

    Args:
        owners: Entries that enforce the limits of each account.
        account: Account of the caller; empty if none was given.
        own: Member row of this process.
        rng: Source of randomness that spreads callers without an account.
    """
    if account:
        rows = owners.owners(account)
    else:
        rows = owners.entries()
        rng.shuffle(rows)
    rows.sort(key=lambda row: row is not own)
    return rows[:MAX_ADDRESSES]
