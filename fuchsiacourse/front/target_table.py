"""Table of all targets that a front knows."""

from __future__ import annotations

import collections
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import service_targets
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_registration
from fuchsiacourse import logs

# Most incarnations that are remembered as leaving. A release of the largest
# service replaces fewer.
MAX_LEAVING_KEYS = 2000

_NO_TARGETS = service_targets.ServiceTargets()


class TargetTable:
    """Targets by id, by service and by incarnation.

    Attributes:
        by_id: Targets by id.
        by_key: Targets by key, a number that identifies the incarnation.

    Args:
        clock: Source of time.
        log: Logger.
    """

    def __init__(self, *, clock: clocks.Clock, log: typing.Any) -> None:
        self._clock = clock
        self._log = log
        self.by_id: dict[str, targets.Target] = {}
        self.by_key: dict[int, targets.Target] = {}
        # Keys of the incarnations that have told this front that they leave,
        # oldest first. A registration that lapsed may come back.
        self._leaving_keys: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._by_service: dict[str, service_targets.ServiceTargets] = {}

    def of_service(self, service: str) -> service_targets.ServiceTargets:
        """Returns the targets of a service, none if it is unknown."""
        return self._by_service.get(service, _NO_TARGETS)

    def put(self, record: target_registration.TargetRegistration) -> None:
        """Adds a target, or updates it from a newer registration.

        A target that was restarted replaces its earlier incarnation.
        """
        now_s = self._clock.now()
        known = self.by_id.get(record.id)
        if known is not None and not _is_same(known.record, record):
            self.remove(record.id, reason="restarted")
            known = None
        if known is None:
            self._add(targets.Target(record=record, now_s=now_s))
            return
        if record.is_draining and not known.record.is_draining:
            logs.event(
                self._log,
                "target_leaving",
                target=record.id,
                service=record.service,
                source="registration",
            )
        known.update(record, now_s)

    def mark_leaving(self, target: targets.Target) -> None:
        """Records that a target has told this front that it leaves.

        It holds for the incarnation, whatever its registration states.
        """
        if target.is_leaving:
            return
        target.is_leaving = True
        self._leaving_keys[target.key] = None
        if len(self._leaving_keys) > MAX_LEAVING_KEYS:
            self._leaving_keys.popitem(last=False)
        logs.event(
            self._log,
            "target_leaving",
            target=target.record.id,
            service=target.record.service,
            source="answer",
        )

    def remove(self, id: str, *, reason: str) -> None:
        """Removes a target; has no effect if it is unknown.

        Args:
            id: Id of the target.
            reason: Why it is removed, for the log.
        """
        known = self.by_id.pop(id, None)
        if known is None:
            return
        self.by_key.pop(known.key, None)
        self._by_service[known.record.service].remove(known)
        logs.event(
            self._log,
            "target_removed",
            target=id,
            service=known.record.service,
            reason=reason,
        )

    def _add(self, target: targets.Target) -> None:
        record = target.record
        target.is_leaving = target.key in self._leaving_keys
        self.by_id[record.id] = target
        self.by_key[target.key] = target
        found = self._by_service.get(record.service)
        if found is None:
            found = service_targets.ServiceTargets()
            self._by_service[record.service] = found
        found.add(target)
        logs.event(
            self._log,
            "target_added",
            target=record.id,
            service=record.service,
            availability_zone=record.availability_zone,
            draining=record.is_draining,
            cold_s=record.remaining_cold_s,
        )


def _is_same(
    known: target_registration.TargetRegistration,
    record: target_registration.TargetRegistration,
) -> bool:
    return (known.started_ms, known.service) == (
        record.started_ms,
        record.service,
    )
