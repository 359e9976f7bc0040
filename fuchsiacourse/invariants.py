"""Run-time checks of the system's guarantees."""

from __future__ import annotations

import collections
import enum
import typing

from fuchsiacourse import logs


class InvariantId(enum.Enum):
    """Identifiers of the guarantees, with their names in logs and metrics."""

    # Ejections leave at least the floor's slots of a service.
    FLOOR = "floor"
    # Only a complete answer to the request itself is passed on.
    WHOLE_ANSWER = "whole_answer"
    # A request is refused as not run only if no attempt may have run it.
    NOT_RUN = "not_run"
    # A request that isn't idempotent isn't sent again if it may have run.
    AT_MOST_ONCE = "at_most_once"
    # A leaving target gets no new requests after a short time.
    LEAVING = "leaving"
    # A shutdown waits for all requests in flight.
    GRACEFUL_STOP = "graceful_stop"
    # The number of the configuration in force only increases.
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
