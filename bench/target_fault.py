"""Target faults injected into the simulations of failure detection."""

from __future__ import annotations

import enum
import random

from fuchsiacourse import service_file
from fuchsiacourse import target_row

SLOW_FACTOR = 10.0
WRONG_SHARE = 0.5
# Half of the flapping period in seconds.
FLAP_S = 1.0
NEVER_S = 1e6

_Outcome = target_row.Outcome


class FaultKind(enum.Enum):
    """Kinds of target faults."""

    SLOW = "slow"
    WRONG = "wrong"
    ERRORS = "errors"
    TRUNCATED = "truncated"
    STUCK = "stuck"
    FLAPPING = "flapping"
    ONE_KIND = "one_kind"


class TargetFault:
    """A permanent fault of one target.

    Args:
        target_id: Id of the faulty target.
        kind: Kind of the fault.
        onset_s: Start of the fault in virtual seconds.
        request_kind: Request kind that a ONE_KIND fault affects.
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
        """Returns whether the fault affects a request that starts now."""
        if now < self.onset_s:
            return False
        if self.request_kind and self.request_kind != request_kind:
            return False
        if self.kind is FaultKind.FLAPPING:
            return int((now - self.onset_s) / FLAP_S) % 2 == 0
        return True

    def apply(
        self,
        kind: service_file.RequestKind,
        run_s: float,
        now: float,
        rng: random.Random,
    ) -> tuple[float, target_row.Outcome]:
        """Returns run time in seconds and outcome of a request started now."""
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
