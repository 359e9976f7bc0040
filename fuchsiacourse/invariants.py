"""Run-time checks of the system's guarantees."""

from __future__ import annotations

import collections
import enum
import typing

from fuchsiacourse import logs


class InvariantId(enum.Enum):
    """Identifiers of the guarantees, as logs and metrics show them."""

    FLOOR = "floor"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    GRACEFUL_STOP = "graceful_stop"
    CONFIG_RISES = "config_rises"


OnBroken = typing.Callable[[InvariantId, dict[str, typing.Any]], None]


class Invariants:
    """Counts invariant checks and logs those that fail.

    Args:
        log: Logger for failed checks.
        on_broken: Called for each failed check; None for no callback.
    """

    def __init__(
        self, *, log: typing.Any, on_broken: OnBroken | None = None
    ) -> None:
        self._log = log
        self._on_broken = on_broken
        self.checked_by_id: collections.Counter[InvariantId] = (
            collections.Counter()
        )
        self.broken_by_id: collections.Counter[InvariantId] = (
            collections.Counter()
        )

    def check(
        self,
        invariant_id: InvariantId,
        condition: bool,
        **evidence: typing.Any,
    ) -> bool:
        """Counts a check, logs its failure and returns its condition.

        Args:
            invariant_id: Guarantee that is checked.
            condition: Whether the guarantee holds.
            **evidence: Fields of the log line of a failed check.
        """
        self.checked_by_id[invariant_id] += 1
        if condition:
            return True
        self.broken_by_id[invariant_id] += 1
        logs.warning(
            self._log,
            "invariant_broken",
            invariant=invariant_id.value,
            **evidence,
        )
        if self._on_broken is not None:
            self._on_broken(invariant_id, evidence)
        return False
