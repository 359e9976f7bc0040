"""Table of the fleet's members."""

from __future__ import annotations

import typing

from fuchsiacourse import member as member_rows
from fuchsiacourse import rendezvous

ENTRY = "entry"
DISPATCH = "dispatch"

Subscriber = typing.Callable[[member_rows.Member], None]


class Members:
    """Member table; written by gossip, read by the rest of the process.

    Args:
        self_row: Row of this process.
    """

    def __init__(self, *, self_row: member_rows.Member) -> None:
        self.self = self_row
        self.by_id: dict[str, member_rows.Member] = {self_row.id: self_row}
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function to call with each row added or changed."""
        self._subscribers.append(subscriber)

    def notify(self, row: member_rows.Member) -> None:
        """Calls the subscribers with a row that was added or changed."""
        for subscriber in self._subscribers:
            subscriber(row)

    def in_state(
        self,
        role: str,
        state: member_rows.State,
        *,
        region: str | None = None,
    ) -> list[member_rows.Member]:
        """Returns members of a role in a state.

        Args:
            role: ``entry`` or ``dispatch``.
            state: State to select.
            region: Restricts the result to a region; None for all regions.
        """
        return [
            row
            for row in self.by_id.values()
            if row.role == role
            and row.state is state
            and region in (None, row.region)
        ]

    def alive(
        self, role: str, *, region: str | None = None
    ) -> list[member_rows.Member]:
        """Returns members that are neither suspect, leaving nor gone."""
        return self.in_state(role, member_rows.State.ALIVE, region=region)

    def ranked_owners(
        self, service: str, region: str
    ) -> list[member_rows.Member]:
        """Returns the candidate owners of a shard in rendezvous order.

        The owner comes first. Suspect members count only if no member is
        alive, so that a lost packet does not give a shard two owners for
        long.
        """
        rows = self.alive(DISPATCH, region=region) or self.in_state(
            DISPATCH, member_rows.State.SUSPECT, region=region
        )
        order = rendezvous.ranked(
            f"{service}/{region}", [row.id for row in rows]
        )
        return [self.by_id[id] for id in order]

    def owner(self, service: str, region: str) -> member_rows.Member | None:
        """Returns the owner of a shard, or None if there is no member."""
        rows = self.ranked_owners(service, region)
        return rows[0] if rows else None
