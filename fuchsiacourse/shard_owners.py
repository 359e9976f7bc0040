"""Finds the owners of shards and redirects requests to them."""

from __future__ import annotations

from fuchsiacourse import execute_replies
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import owner_ranking

# Number of not_owner replies that an entry follows; the process at the last
# hop runs the request.
_MAX_HOPS = 2
# Seconds after which an entry may retry a request that was redirected.
_RETRY_AFTER_S = 0.05


class ShardOwners:
    """Determines the owners of shards from the member table.

    Args:
        members: Members of the fleet.
    """

    def __init__(self, *, members: member_tables.Members) -> None:
        self._members = members
        self._ranking = owner_ranking.OwnerRanking(members=members)

    def owns(self, key: tuple[str, str]) -> bool:
        """Returns whether this process owns a shard.

        Args:
            key: Service name and region of the shard.
        """
        return self._owner(key) is self._members.self

    def redirect(
        self, request: fleet_pb2.ExecuteRequest
    ) -> fleet_pb2.ExecuteReply | None:
        """Returns a reply that names the owner, or None to run it here."""
        owner = self._owner((request.service, request.region))
        if owner is None or owner is self._members.self:
            return None
        if request.hops >= _MAX_HOPS:
            return None
        return execute_replies.refused(
            request.request_id,
            execute_replies.Refusal.NOT_OWNER,
            owner=owner.rpc_address,
            retry_after_s=_RETRY_AFTER_S,
        )

    def _owner(self, key: tuple[str, str]) -> member_rows.Member | None:
        candidates = self._ranking.candidates(*key)
        return candidates[0] if candidates else None
