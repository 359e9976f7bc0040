"""Faults of targets in the runs of detection."""

from __future__ import annotations

import enum
import random

from fuchsiacourse import service_file
from fuchsiacourse import target_row

SLOW_FACTOR = 10.0
WRONG_SHARE = 0.5
# Half a period of flapping in seconds.
FLAP_S = 1.0
NEVER_S = 1e6

_Outcome = target_row.Outcome


class FaultKind(enum.Enum):
    """What is wrong with a target."""

    SLOW = "slow"
    WRONG = "wrong"
    ERRORS = "errors"
    TRUNCATED = "truncated"
    STUCK = "stuck"
    FLAPPING = "flapping"
    ONE_KIND = "one_kind"


class TargetFault:
    """One fault of one target, without an end.

    Args:
        target_id: Target.
        kind: What is wrong.
        onset_s: Time of the beginning in seconds.
        request_kind: Affected request kind of ONE_KIND.
    """

    __slots__ = ("target_id", "kind", "onset_s", "request_kind")

    def __init__(
        self,
        *,
        target_id: str,
        kind: FaultKind,
        onset_s: float,
        request_kind: str = "",
    ) -> None:
        self.target_id = target_id
        self.kind = kind
        self.onset_s = onset_s
        self.request_kind = request_kind

    def affects(self, request_kind: str, now: float) -> bool:
        """Tells whether a request that starts now meets the fault."""
        if now < self.onset_s:
            return False
        if self.request_kind and self.request_kind != request_kind:
            return False
        if self.kind is FaultKind.FLAPPING:
            return int((now - self.onset_s) / FLAP_S) % 2 == 0
        return True

    def changed(
        self,
        kind: service_file.RequestKind,
        run_s: float,
        now: float,
        rng: random.Random,
    ) -> tuple[float, target_row.Outcome]:
        """Returns run time and outcome of a request that starts now."""
        if not self.affects(kind.name, now):
            return run_s, _Outcome.OK
        if self.kind is FaultKind.WRONG:
            wrong = rng.random() < WRONG_SHARE
            return run_s, _Outcome.BAD_ANSWER if wrong else _Outcome.OK
        if self.kind is FaultKind.ERRORS:
            return run_s / 10.0, _Outcome.ERROR_STATUS
        if self.kind is FaultKind.TRUNCATED:
            return run_s, _Outcome.BAD_ANSWER
        if self.kind is FaultKind.STUCK:
            return NEVER_S, _Outcome.OK
        return run_s * SLOW_FACTOR, _Outcome.OK
