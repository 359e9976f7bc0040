"""Follows the registrations of targets in the store."""

from __future__ import annotations

import functools
import math
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import departed_targets
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import store_follower
from fuchsiacourse.front import store_view
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_registration
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

# Grace time after an outage of the store, in seconds, in which targets whose
# registration lapsed stay in use. Targets register again within two seconds.
OUTAGE_GRACE_S = 2.1
# Interval at which the end of the grace time is checked, in seconds.
GRACE_CHECK_S = 0.1
# No registration lapses in an outage shorter than this, in seconds.
SHORT_OUTAGE_S = 1.0

Decode = typing.Callable[[str, bytes], target_registration.TargetRegistration]


class TargetFollower(store_follower.StoreFollower):
    """Keeps the table of targets up to date with the registrations.

    Attributes:
        by_key: Objects by key, as last applied.

    Args:
        table: Table to update.
        timers: Timer service.
        decode: Decodes a registration.
        store_contact_s: Returns the longest contact of a peer with the store,
            in seconds. If a peer has been in contact for OUTAGE_GRACE_S,
            the store had no outage, so there is no grace time.
        lifetime_s: Time after which the store removes the registration of a
            silent target, in seconds.
        **options: Arguments of StoreFollower.
    """

    def __init__(
        self,
        *,
        table: target_table.TargetTable,
        timers: timer_services.Timers,
        decode: Decode,
        store_contact_s: typing.Callable[[], float],
        lifetime_s: float,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._table = table
        self._timers = timers
        self._decode = decode
        self._store_contact_s = store_contact_s
        # Keys of removed registrations whose targets are kept in the grace
        # time.
        self._lapsed: set[str] = set()
        self.by_key: dict[str, stores.StoredObject] = {}
        # Monotonic time at which the grace time ends.
        self._grace_until_s = 0.0
        # Monotonic time at which the grace time after a restore of the store
        # ends.
        self._restored_until_s = 0.0
        # Keys of registrations whose revision is of an earlier era.
        self._earlier_keys: set[str] = set()
        self._departed = departed_targets.DepartedTargets(
            clock=self.clock, lifetime_s=lifetime_s
        )
        # Registrations of an older copy that are not used yet, by key.
        self._held_by_key: dict[str, stores.StoredObject] = {}
        # Whether the snapshot that is being applied is an older copy.
        self._is_restored = False

    def apply_snapshot(self, objects: list[stores.StoredObject]) -> None:
        """Applies a snapshot: all objects under the prefix."""
        present = {item.key for item in objects}
        for item in objects:
            self.apply_change(item)
        for key in set(self.by_key) - present:
            self._remove(key, "not in the snapshot")
        self._is_restored = False

    def apply_change(self, item: stores.StoredObject) -> None:
        """Applies one changed or deleted object."""
        if item.deleted:
            self._remove(item.key, "deleted")
            return
        known = self.by_key.get(item.key)
        if item.key in self._earlier_keys:
            self._earlier_keys.discard(item.key)
        elif known is not None and known.version >= item.version:
            if known.value != item.value:
                logs.event(
                    self.log,
                    "target_change_ignored",
                    target=_id(item.key),
                    revision=item.version,
                    known_revision=known.version,
                )
            return
        self.by_key[item.key] = item
        self._held_by_key.pop(item.key, None)
        try:
            record = self._decode(item.key, item.value)
            if self._is_restored and self._holds_back(item, record):
                return
            self._table.put(record)
        except errors.TargetRegistrationRejected as error:
            logs.warning(self.log, "target_entry_unreadable", error=str(error))
            self._table.remove(_id(item.key), reason="unreadable registration")

    def position_of(self, view: store_view.StoreView) -> object_copy.Position:
        """Returns the position of a peer's copy of the registrations."""
        return view.target_era, view.target_revision

    def on_store_restored(self) -> None:
        """Makes each registration of the snapshot count as newer.

        Targets that the older copy lacks have the grace time of an outage,
        however short it was.
        """
        self._restored_until_s = self.clock.now() + OUTAGE_GRACE_S
        self._earlier_keys = set(self.by_key)
        self._is_restored = True

    def on_store_regained(self, away_s: float) -> None:
        """Starts the grace time, unless the outage was short.

        Args:
            away_s: Time for which it was unreachable, in seconds.
        """
        if away_s >= SHORT_OUTAGE_S:
            self._grace_until_s = self.clock.now() + OUTAGE_GRACE_S

    def _holds_back(
        self,
        item: stores.StoredObject,
        record: target_registration.TargetRegistration,
    ) -> bool:
        """Corrects a registration of an older copy by what is known.

        Returns:
            Whether the registration is not used until it changes, or until
            it has outlived the departure of the target.
        """
        hold_s = self._departed.hold_s(record)
        known = self._table.by_id.get(record.id)
        if known is not None:
            age_ms = known.record.started_ms - record.started_ms
            # A positive age means that the target has started anew since.
            hold_s = math.inf if age_ms > 0 else None
            if not age_ms and known.record.is_draining:
                record.is_draining = True
        if hold_s is None:
            return False
        logs.event(self.log, "target_held_back", target=record.id)
        self._held_by_key[item.key] = item
        if math.isfinite(hold_s):
            self._timers.after(
                hold_s, functools.partial(self._release, item, record)
            )
        return True

    def _release(
        self,
        item: stores.StoredObject,
        record: target_registration.TargetRegistration,
    ) -> None:
        """Uses a registration that is still the same after its time."""
        if self._held_by_key.get(item.key) is item:
            del self._held_by_key[item.key]
            self._table.put(record)

    def _remove(self, key: str, reason: str) -> None:
        """Removes a target, or keeps it until the grace time ends.

        A draining target is removed in any case.
        """
        known = self.by_key.pop(key, None)
        self._held_by_key.pop(key, None)
        target = self._table.by_id.get(_id(key))
        if known is None or target is None:
            return
        is_leaving = target.record.is_draining or target.is_leaving
        if not self._is_in_grace() or is_leaving:
            self._drop(target, reason)
            return
        logs.event(self.log, "target_lapsed", target=_id(key), reason=reason)
        if not self._lapsed:
            self._timers.after(GRACE_CHECK_S, self._check_lapsed)
        self._lapsed.add(key)

    def _is_in_grace(self) -> bool:
        now_s = self.clock.now()
        if now_s < self._restored_until_s:
            # All fronts have lost them, whatever their contact was.
            return True
        return (
            now_s < self._grace_until_s
            and self._store_contact_s() < OUTAGE_GRACE_S
        )

    def _check_lapsed(self) -> None:
        self._lapsed -= set(self.by_key)
        if not self._lapsed:
            return
        if self._is_in_grace():
            self._timers.after(GRACE_CHECK_S, self._check_lapsed)
            return
        for key in self._lapsed:
            target = self._table.by_id.get(_id(key))
            if target is not None:
                self._drop(target, "not registered again after an outage")
        self._lapsed.clear()

    def _drop(self, target: targets.Target, reason: str) -> None:
        self._departed.add(target)
        self._table.remove(target.record.id, reason=reason)


def _id(key: str) -> str:
    return key.rpartition("/")[2]
