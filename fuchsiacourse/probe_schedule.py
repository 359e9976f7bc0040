"""Selects the members that a member probes, and in which order."""

from __future__ import annotations

import random

import sortedcontainers
import xxhash

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_table


class ProbeSchedule:
    """Selects members to probe and to ask for indirect probes.

    Probes alternate between the successor on a hash ring and the next
    member of a shuffled list. The ring ensures that each member is probed
    about once a second, because random order alone leaves some members
    unprobed for longer than the bound on failure detection allows. The
    shuffled list covers members whose predecessor on the ring has failed
    too.

    Args:
        members: Member table.
        rng: Source of randomness.
    """

    def __init__(
        self, *, members: member_table.Members, rng: random.Random
    ) -> None:
        self._members = members
        self._rng = rng
        self._ring = sortedcontainers.SortedList(
            _position(id) for id in members.by_id
        )
        self._shuffled: list[str] = []

    def add(self, row: member_rows.Member) -> None:
        """Adds a new member at its ring position and a random list index."""
        self._ring.add(_position(row.id))
        index = self._rng.randrange(len(self._shuffled) + 1)
        self._shuffled.insert(index, row.id)

    def remove(self, id: str) -> None:
        """Removes a member from the ring; the list skips unknown members."""
        self._ring.discard(_position(id))

    def successor(self, id: str) -> member_rows.Member | None:
        """Returns the next member on the ring, None if there is no other."""
        start = self._ring.bisect_right(_position(id))
        size = len(self._ring)
        for offset in range(size):
            row = self._candidate(self._ring[(start + offset) % size][1])
            if row is not None:
                return row
        return None

    def next_shuffled(self) -> member_rows.Member | None:
        """Returns the next member of the shuffled list, None without any.

        The list is filled and shuffled again when it is empty.
        """
        for _ in range(2):
            while self._shuffled:
                row = self._candidate(self._shuffled.pop())
                if row is not None:
                    return row
            self._shuffled = list(self._members.by_id)
            self._rng.shuffle(self._shuffled)
        return None

    def sample(
        self, count: int, *, without: str = "", without_suspects: bool = False
    ) -> list[member_rows.Member]:
        """Returns random members that are neither dead nor left.

        Args:
            count: Largest number of members.
            without: Identifier of a member to leave out.
            without_suspects: Whether to leave out suspected members.
        """
        rows = [
            row
            for row in self._members.by_id.values()
            if self._candidate(row.id) is not None
            and row.id != without
            and not (
                without_suspects and row.state is member_rows.State.SUSPECT
            )
        ]
        return self._rng.sample(rows, min(count, len(rows)))

    def _candidate(self, id: str) -> member_rows.Member | None:
        row = self._members.by_id.get(id)
        if row is None or row.is_gone or row is self._members.self:
            return None
        return row


def _position(id: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(id.encode()), id
