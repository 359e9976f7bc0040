"""Choice of the peers that a configuration is fetched from."""

from __future__ import annotations

import collections
import random

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_table

PEERS_PER_ROUND = 3


class ConfigPeers:
    """Picks peers by what gossip says of their configuration.

    Args:
        members: Table of the fleet's members.
        rng: Spreads the load over equal peers.
    """

    def __init__(
        self, *, members: member_table.Members, rng: random.Random
    ) -> None:
        self._members = members
        self._rng = rng
        self._shown_by: collections.deque[str] = collections.deque(
            maxlen=PEERS_PER_ROUND
        )

    def record_announcer(self, member_id: str) -> bool:
        """Notes a member that showed a newer number.

        Returns:
            Whether it was not among the latest such members yet.
        """
        if member_id in self._shown_by:
            return False
        self._shown_by.append(member_id)
        return True

    def clear_announcers(self) -> None:
        """Forgets who showed a number; called after an adoption."""
        self._shown_by.clear()

    def holders(self, number: int) -> list[str]:
        """Returns addresses of peers that hold a number.

        The latest members that showed it come first, then other members,
        those of the own zone and region before the rest.
        """
        own = self._members.self
        shown = [
            self._members.by_id[id]
            for id in reversed(self._shown_by)
            if id in self._members.by_id
        ]
        others = [
            row
            for row in self._alive()
            if row.config_number >= number and row not in shown
        ]
        self._rng.shuffle(others)
        others.sort(
            key=lambda row: (
                row.availability_zone != own.availability_zone,
                row.region != own.region,
            )
        )
        rows = [row for row in shown if not row.is_gone] + others
        return [row.rpc_address for row in rows[:PEERS_PER_ROUND]]

    def peers_in_two_zones(self) -> list[str]:
        """Returns addresses of two peers in different zones.

        Peers with the highest numbers are preferred.
        """
        rows = self._alive()
        self._rng.shuffle(rows)
        rows.sort(key=lambda row: -row.config_number)
        first_by_zone: dict[str, member_rows.Member] = {}
        for row in rows:
            first_by_zone.setdefault(row.availability_zone, row)
        return [row.rpc_address for row in first_by_zone.values()][:2]

    def _alive(self) -> list[member_rows.Member]:
        return [
            row
            for row in self._members.by_id.values()
            if row.state is member_rows.State.ALIVE
            and row.id != self._members.self.id
        ]
