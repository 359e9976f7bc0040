"""Selects and orders the targets that may take a request."""

from __future__ import annotations

import math
import random

from fuchsiacourse import detector as detectors
from fuchsiacourse import service_file
from fuchsiacourse import shard as shards
from fuchsiacourse import target_health
from fuchsiacourse import target_row

# Seconds in which the allowance of a cold target grows to all of its slots.
SLOW_START_S = 10.0
# Consecutive canary requests that must succeed before a re-admission.
CANARIES_NEEDED = 5
# Seconds between the starts of two tests of an ejected target and of a
# suspect target.
CANARY_INTERVAL_S = 0.2
SUSPECT_TEST_INTERVAL_S = 0.05
# The same for an unhealthy target that the floor, an unavailable platform or
# a common fault keeps from being ejected.
HELD_TEST_INTERVAL_S = 5.0
# Seconds for which all other targets must have been full before a suspect
# target takes ordinary requests. At ordinary load a slot becomes free within
# milliseconds.
SUSPECT_WAIT_S = 0.1

# First part of a candidate's rank.
TEST_RANK = 0
ORDINARY_RANK = 1
SUSPECT_RANK = 2

_State = target_row.TargetState


def cold_allowance(
    row: target_row.TargetRow, details: target_health.TargetHealth, now: float
) -> int:
    """Returns how many attempts a target in slow start may run at a time."""
    if details.cold_since_s is None:
        return row.target.slots
    share = (now - details.cold_since_s) / SLOW_START_S
    return max(1, math.floor(row.target.slots * min(1.0, share)))


def is_testable(service: service_file.ServiceFile, kind: str) -> bool:
    """Returns whether requests of a kind may test a target.

    Only idempotent kinds may.

    Args:
        service: Service file.
        kind: Name of a kind. For an unknown or empty name, any kind of the
            service counts.
    """
    if kind in service.kinds_by_name:
        return service.kinds_by_name[kind].idempotent
    return any(item.idempotent for item in service.kinds)


def test_interval_s(
    row: target_row.TargetRow, details: target_health.TargetHealth
) -> float:
    """Returns the seconds between the starts of two tests of a target."""
    if row.state is _State.CANARY:
        return CANARY_INTERVAL_S
    if details.over_threshold_since_s is not None or details.is_listed:
        return HELD_TEST_INTERVAL_S
    return SUSPECT_TEST_INTERVAL_S


def may_test(
    row: target_row.TargetRow,
    details: target_health.TargetHealth,
    service: service_file.ServiceFile,
    kind: service_file.RequestKind,
    now: float,
) -> bool:
    """Returns whether a request may test a canary or a suspect target now.

    Only idempotent requests are used, because a failed test must be
    retried at another target. One test runs at a time, unless the running
    ones are late. If one kind led to the suspicion, that kind is tested.

    Args:
        row: The target.
        details: Health record of the target.
        service: Service file.
        kind: Kind of the request.
        now: Monotonic time in seconds.
    """
    if not kind.idempotent or now < details.next_canary_s:
        return False
    if any(
        item.is_canary and not item.is_counted_late
        for item in row.attempts_by_id.values()
    ):
        return False
    unhealthy = service.kinds_by_name.get(details.unhealthy_kind)
    if unhealthy is not None and unhealthy.idempotent:
        return unhealthy.name == kind.name
    # Short requests show sooner whether the target is unhealthy.
    return kind.is_short or not any(
        item.is_short and item.idempotent for item in service.kinds
    )


class Candidate:
    """Describes a target that may take one more request.

    Args:
        row: The target.
        rank: Sort key; the best candidate has the lowest.
    """

    __slots__ = ("row", "rank")

    def __init__(
        self,
        *,
        row: target_row.TargetRow,
        rank: tuple[int, float, int, float],
    ) -> None:
        self.row = row
        self.rank = rank


class Candidates:
    """Orders the targets of a shard for a request.

    Args:
        shard: Tables of the shard.
        detector: Scores the evidence on the targets.
        rng: Source of randomness for ties between targets.
    """

    __slots__ = ("_shard", "_detector", "_rng", "_full_since_s")

    def __init__(
        self,
        *,
        shard: shards.Shard,
        detector: detectors.Detector,
        rng: random.Random,
    ) -> None:
        self._shard = shard
        self._detector = detector
        self._rng = rng
        # Monotonic time in seconds since which no target but suspect ones
        # has a free slot; None while another one has.
        self._full_since_s: float | None = None

    def ordered(
        self,
        kind: service_file.RequestKind,
        now: float,
        *,
        is_backlogged: bool = False,
    ) -> list[target_row.TargetRow]:
        """Returns targets that may take one more request, best first.

        Args:
            kind: Kind of the request.
            now: Monotonic time in seconds.
            is_backlogged: Whether more requests are queued than all targets
                can serve in time. Each slot that another target frees would
                then restart the wait of SUSPECT_WAIT_S, so suspect targets
                are used without it.
        """
        candidates = []
        only_suspects = True
        for row in self._shard.targets_by_id.values():
            if row.leaving:
                continue
            if row.state in (_State.HEALTHY, _State.COLD):
                only_suspects = False
            target = row.target
            if len(row.attempts_by_id) >= min(
                target.slots, target.connection_limit
            ):
                continue
            rank = self._rank(row, kind, now)
            if rank is not None:
                candidates.append(Candidate(row=row, rank=rank))
        candidates.sort(key=lambda item: item.rank)
        if any(item.rank[0] == ORDINARY_RANK for item in candidates):
            self._full_since_s = None
        elif self._full_since_s is None:
            self._full_since_s = now
        since = self._full_since_s
        if since is None or only_suspects or is_backlogged:
            return [item.row for item in candidates]
        if now - since >= SUSPECT_WAIT_S:
            return [item.row for item in candidates]
        return [
            item.row for item in candidates if item.rank[0] != SUSPECT_RANK
        ]

    def _rank(
        self,
        row: target_row.TargetRow,
        kind: service_file.RequestKind,
        now: float,
    ) -> tuple[int, float, int, float] | None:
        """Returns the rank of a target, None if it may take no request."""
        details = target_health.get_or_create(row, now)
        details.canary_offered = False
        if row.state is _State.EJECTED:
            return None
        tie_break = self._rng.random()
        if row.state in (_State.CANARY, _State.SUSPECT):
            if may_test(row, details, self._shard.service, kind, now):
                details.canary_offered = True
                return TEST_RANK, 0.0, 0, tie_break
            if row.state is _State.CANARY:
                return None
            score = self._detector.score(row, now).value
            return SUSPECT_RANK, score, row.in_flight, tie_break
        allowance = row.target.slots
        is_cold = row.state is _State.COLD
        if is_cold:
            allowance = cold_allowance(row, details, now)
        if row.in_flight >= allowance:
            return None
        return (
            ORDINARY_RANK,
            row.in_flight / allowance,
            int(is_cold),
            tie_break,
        )
