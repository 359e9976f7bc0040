"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import collections.abc

import xxhash


def weight(key: str, member_id: str) -> int:
    """Returns the 64-bit hash weight of a member for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{member_id}".encode())


def ranked(key: str, member_ids: collections.abc.Iterable[str]) -> list[str]:
    """Returns the members by descending weight for a key."""
    return sorted(
        member_ids, key=lambda member_id: (-weight(key, member_id), member_id)
    )


def first(key: str, member_ids: collections.abc.Iterable[str]) -> str | None:
    """Returns the member with the highest weight, or None without any."""
    return max(
        member_ids,
        key=lambda member_id: (weight(key, member_id), member_id),
        default=None,
    )
