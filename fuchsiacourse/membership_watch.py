"""Notification of membership changes that affect the choice of members."""

from __future__ import annotations

import typing

from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables


class MembershipWatch:
    """Calls a function when a member's state or address has changed.

    Other changes, such as a new configuration number, are frequent in a
    large fleet and don't affect which members are chosen.

    Args:
        members: Member table.
        on_change: Called without arguments.
    """

    def __init__(
        self,
        *,
        members: member_tables.Members,
        on_change: typing.Callable[[], None],
    ) -> None:
        self._members = members
        self._on_change = on_change
        self._signatures_by_id: dict[str, tuple[object, ...]] = {}
        members.subscribe(self._on_member_changed)

    def _on_member_changed(self, row: member_rows.Member) -> None:
        signature = (row.state, row.rpc_address)
        if self._signatures_by_id.get(row.id) == signature:
            return
        self._signatures_by_id[row.id] = signature
        # Cleared as a whole, so that those of removed members don't
        # accumulate.
        if len(self._signatures_by_id) > 2 * len(self._members.by_id):
            self._signatures_by_id.clear()
        self._on_change()
