"""Choice of the peers to fetch a configuration from."""

from __future__ import annotations

import collections
import random

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables

PEERS_PER_ROUND = 3


class ConfigPeers:
    """Chooses peers by the configuration numbers known from gossip.

    Args:
        members: Table of the fleet's members.
        rng: Source of randomness that spreads load over equal peers.
    """

    def __init__(
        self, *, members: member_tables.Members, rng: random.Random
    ) -> None:
        self._members = members
        self._rng = rng
        self._announcers: collections.deque[str] = collections.deque(
            maxlen=PEERS_PER_ROUND
        )

    def record_announcer(self, member_id: str) -> bool:
        """Records a member that announced a newer number.

        Returns:
            False if it is among the latest PEERS_PER_ROUND announcers.
        """
        if member_id in self._announcers:
            return False
        self._announcers.append(member_id)
        return True

    def clear_announcers(self) -> None:
        """Clears the recorded announcers; called after an adoption."""
        self._announcers.clear()

    def holders(self, number: int) -> list[str]:
        """Returns RPC addresses of up to PEERS_PER_ROUND peers to ask.

        The latest announcers come first, then other members with the
        number or a higher one: those of this process's zone, then of its
        region, then the rest.
        """
        own = self._members.self
        announcers = [
            self._members.by_id[id]
            for id in reversed(self._announcers)
            if id in self._members.by_id
        ]
        others = [
            row
            for row in self._alive()
            if row.config_number >= number and row not in announcers
        ]
        self._rng.shuffle(others)
        others.sort(
            key=lambda row: (
                row.availability_zone != own.availability_zone,
                row.region != own.region,
            )
        )
        rows = [row for row in announcers if not row.is_gone] + others
        return [row.rpc_address for row in rows[:PEERS_PER_ROUND]]

    def peers_in_two_zones(self) -> list[str]:
        """Returns RPC addresses of up to two peers in different zones.

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
