"""Chooses the target of an attempt."""

from __future__ import annotations

import typing

from fuchsiacourse import attempt_runner
from fuchsiacourse import freshness_gate as freshness_gates
from fuchsiacourse import request_row
from fuchsiacourse import shard_targets
from fuchsiacourse import target_backoff
from fuchsiacourse import target_row


class TargetChoice:
    """Chooses among the targets that their health allows to take a request.

    Args:
        targets: Targets of the shard.
        health: Health of the shard's targets (``health.Health``).
        backoff: Limits targets that shed requests or can't be reached.
        freshness_gate: Holds requests back until the targets' state is known.
        attempts: Counts the slots that long requests hold.
        short_slot_share: Share of the slots that long requests can't take.
    """

    def __init__(
        self,
        *,
        targets: shard_targets.ShardTargets,
        health: typing.Any,
        backoff: target_backoff.TargetBackoff,
        freshness_gate: freshness_gates.FreshnessGate,
        attempts: attempt_runner.AttemptRunner,
        short_slot_share: float,
    ) -> None:
        self._targets = targets
        self._health = health
        self._backoff = backoff
        self._freshness_gate = freshness_gate
        self._attempts = attempts
        self._long_share = 1.0 - short_slot_share

    def choose(
        self,
        row: request_row.RequestRow,
        now: float,
        *,
        is_hedge: bool = False,
        is_backlogged: bool = False,
    ) -> target_row.TargetRow | None:
        """Returns a target with a free slot, or None.

        A target that was tried before is used again only if every usable
        target has been tried, and never for a hedge.

        Args:
            row: The request.
            now: Monotonic time in seconds.
            is_hedge: Whether the attempt is a hedge of a running one.
            is_backlogged: Whether more requests are queued than all targets
                can serve in time.
        """
        if not row.kind.is_short and not self._may_take_long():
            return None
        untried = {
            target.id
            for target in self._targets.usable
            if target.id not in row.tried_target_ids
        }
        for target in self._health.candidates(
            row.kind, now, is_backlogged=is_backlogged
        ):
            if target.leaving or target.free_slots < 1:
                continue
            if not self._backoff.allows(target, now):
                continue
            if not self._freshness_gate.allows(target, now):
                continue
            if (untried or is_hedge) and target.id not in untried:
                continue
            if is_hedge and self._health.is_canary(target):
                continue
            return target
        return None

    def _may_take_long(self) -> bool:
        if self._long_share >= 1.0:
            return True
        limit = int(self._long_share * self._targets.usable_slots)
        return self._attempts.long_in_flight < max(1, limit)
