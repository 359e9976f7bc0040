"""Follows the registrations of targets."""

from __future__ import annotations

import typing

from fuchsiacourse import errors
from fuchsiacourse.front import store_follower
from fuchsiacourse.front import target_record
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

# Registrations that lapsed during an outage of the store are back within
# two seconds of its return; until then their targets stay in use.
RETURN_GRACE_S = 2.1
# An outage shorter than this lets no registration lapse, in seconds.
SHORT_OUTAGE_S = 1.0

Decode = typing.Callable[[str, bytes], target_record.TargetRecord]


class TargetFollower(store_follower.StoreFollower):
    """Keeps the table of targets.

    Args:
        table: Targets.
        timers: Timer service.
        decode: Decodes a registration.
        **options: Arguments of the follower.
    """

    def __init__(
        self,
        *,
        table: target_table.TargetTable,
        timers: timer_services.Timers,
        decode: Decode,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._table = table
        self._timers = timers
        self._decode = decode
        # Objects by key, as last seen.
        self.by_key: dict[str, stores.StoredObject] = {}
        self._grace_until_s = 0.0

    def listed(self, objects: list[stores.StoredObject]) -> None:
        """Takes over all objects."""
        present = {item.key for item in objects}
        for item in objects:
            self.changed(item)
        for key in set(self.by_key) - present:
            self._gone(key, "not listed")

    def changed(self, item: stores.StoredObject) -> None:
        """Takes over one change."""
        if item.deleted:
            self._gone(item.key, "deleted")
            return
        known = self.by_key.get(item.key)
        if known is not None and known.version >= item.version:
            return
        self.by_key[item.key] = item
        try:
            self._table.put(self._decode(item.key, item.value))
        except errors.RecordRejected as error:
            logs.warning(self.log, "target_entry_unreadable", error=str(error))
            self._table.remove(_id(item.key), reason="unreadable entry")

    def regained(self, away_s: float) -> None:
        """Called when the store is reached again."""
        if away_s >= SHORT_OUTAGE_S:
            self._grace_until_s = self.clock.now() + RETURN_GRACE_S

    def _gone(self, key: str, reason: str) -> None:
        known = self.by_key.pop(key, None)
        target = self._table.by_id.get(_id(key))
        if known is None or target is None:
            return
        wait_s = self._grace_until_s - self.clock.now()
        if wait_s <= 0.0 or target.record.is_draining:
            self._table.remove(_id(key), reason=reason)
            return
        logs.event(
            self.log,
            "target_lapsed",
            target=_id(key),
            reason=reason,
            grace_s=round(wait_s, 2),
        )
        self._timers.after(wait_s, lambda: self._remove_lapsed(key))

    def _remove_lapsed(self, key: str) -> None:
        if key not in self.by_key:
            self._table.remove(_id(key), reason="did not return")


def _id(key: str) -> str:
    return key.rpartition("/")[2]
