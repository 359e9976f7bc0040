"""Owners of shards, remembered between changes of membership."""

from __future__ import annotations

import itertools

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables

# Candidates that are remembered for a shard; a request tries fewer.
_MAX_CANDIDATES = 8


class OwnerRanking:
    """Ranks the dispatch members of a region for a shard.

    Ranking all members for each request would cost more than the request
    in a large fleet. Changes that don't matter here, such as a new
    configuration number, keep what is remembered.

    Args:
        members: Member table.
    """

    def __init__(self, *, members: member_tables.Members) -> None:
        self._members = members
        self._candidates: dict[tuple[str, str], list[member_rows.Member]] = {}
        self._signatures_by_id: dict[str, tuple[object, ...]] = {}
        self._ids_by_address: dict[str, str] = {}
        self._entries_by_region: dict[str, int] = {}
        members.subscribe(self._note)

    def candidates(
        self, service: str, region: str
    ) -> list[member_rows.Member]:
        """Returns the first candidates for a shard, the owner first."""
        found = self._candidates.get((service, region))
        if found is None:
            ranked = self._members.ranked_owners(service, region)
            found = list(itertools.islice(ranked, _MAX_CANDIDATES))
            self._candidates[service, region] = found
        return found

    def entries(self, region: str) -> int:
        """Returns the number of alive entries of a region."""
        number = self._entries_by_region.get(region)
        if number is None:
            rows = self._members.alive(member_tables.ENTRY, region=region)
            number = len(rows)
            self._entries_by_region[region] = number
        return number

    def member_id(self, address: str) -> str:
        """Returns the member at an RPC address; empty if none is known."""
        if not self._ids_by_address:
            self._ids_by_address = {
                row.rpc_address: row.id
                for row in self._members.by_id.values()
                if not row.is_gone
            }
        return self._ids_by_address.get(address, "")

    def _note(self, row: member_rows.Member) -> None:
        signature = (row.state, row.rpc_address)
        if self._signatures_by_id.get(row.id) == signature:
            return
        self._signatures_by_id[row.id] = signature
        if len(self._signatures_by_id) > 2 * len(self._members.by_id):
            self._signatures_by_id.clear()
        self._candidates.clear()
        self._ids_by_address.clear()
        self._entries_by_region.clear()
