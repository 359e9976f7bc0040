"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import collections.abc

import xxhash


def weight(key: str, member_id: str) -> int:
    """Returns the weight of one member for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{member_id}".encode())


def ranked(key: str, member_ids: collections.abc.Iterable[str]) -> list[str]:
    """Returns members in order of preference for a key."""
    return sorted(
        member_ids, key=lambda member_id: (-weight(key, member_id), member_id)
    )


def first(key: str, member_ids: collections.abc.Iterable[str]) -> str | None:
    """Returns the preferred member for a key, or None without members."""
    return max(
        member_ids,
        key=lambda member_id: (weight(key, member_id), member_id),
        default=None,
    )
