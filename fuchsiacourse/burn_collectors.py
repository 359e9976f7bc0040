"""Choice of the processes that collect a zone's service-level counters."""

from __future__ import annotations

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import rendezvous

# Number of collectors that receive each report. With two, the loss of one
# process loses no counts.
COLLECTORS = 2


def choose(members: member_tables.Members) -> list[member_rows.Member]:
    """Returns the collectors of this process's zone, the writer first.

    They are alive dispatch members of the zone, or of the region if the zone
    has none.

    Args:
        members: Member table.
    """
    own = members.self
    rows = members.alive(member_tables.DISPATCH, region=own.region)
    in_zone = [
        row for row in rows if row.availability_zone == own.availability_zone
    ]
    order = rendezvous.ranked(
        f"burn/{own.availability_zone}", [row.id for row in in_zone or rows]
    )
    return [members.by_id[id] for id in order[:COLLECTORS]]
