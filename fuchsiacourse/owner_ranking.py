"""Cache of the owners of shards, dropped at each change of membership."""

from __future__ import annotations

import itertools

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import membership_watch

# Maximum number of cached candidates of a shard; a request tries fewer.
_MAX_CANDIDATES = 8


class OwnerRanking:
    """Ranks the dispatch members of a region for a shard.

    Rankings are cached, because in a large fleet ranking all members would
    cost more than the request itself.

    Args:
        members: Member table.
    """

    def __init__(self, *, members: member_tables.Members) -> None:
        self._members = members
        self._candidates_by_shard: dict[
            tuple[str, str], list[member_rows.Member]
        ] = {}
        self._ids_by_address: dict[str, str] = {}
        self._watch = membership_watch.MembershipWatch(
            members=members, on_change=self._clear_cache
        )

    def candidates(
        self, service: str, region: str
    ) -> list[member_rows.Member]:
        """Returns the best candidates for a shard, its owner first."""
        found = self._candidates_by_shard.get((service, region))
        if found is None:
            ranked = self._members.ranked_owners(service, region)
            found = list(itertools.islice(ranked, _MAX_CANDIDATES))
            self._candidates_by_shard[service, region] = found
        return found

    def member_id(self, address: str) -> str:
        """Returns the id of the member at an RPC address, empty if none."""
        if not self._ids_by_address:
            self._ids_by_address = {
                row.rpc_address: row.id
                for row in self._members.by_id.values()
                if not row.is_gone
            }
        return self._ids_by_address.get(address, "")

    def _clear_cache(self) -> None:
        self._candidates_by_shard.clear()
        self._ids_by_address.clear()
