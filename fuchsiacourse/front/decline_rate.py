"""Tracks the share of requests that a target declines without a run."""

from __future__ import annotations

import math

from fuchsiacourse.front import outcome as outcomes

# Weight of a new outcome in the moving average.
_WEIGHT = 0.2
# Time in which the average decays to 1/e without new outcomes, in seconds.
DECAY_S = 3.0


class DeclineRate:
    """Moving average of the share of requests that a target declines.

    It is kept apart from the health estimate because a target that declines
    is healthy: the request can go to another target, and the target serves
    the requests that it accepts.
    """

    __slots__ = ("_share", "_at_s")

    def __init__(self) -> None:
        self._share = 0.0
        self._at_s = 0.0

    def share(self, now_s: float) -> float:
        """Returns the share of declined requests, 0 to 1.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self._share:
            return 0.0
        decay = math.exp(min(0.0, self._at_s - now_s) / DECAY_S)
        return self._share * decay

    def observe(self, outcome: outcomes.Outcome, now_s: float) -> None:
        """Adds an outcome, unless the request didn't reach the target.

        Args:
            outcome: Outcome of an attempt.
            now_s: Monotonic time of its end in seconds.
        """
        if not outcome.may_have_arrived:
            return
        declined = 1.0 if outcome is outcomes.Outcome.DECLINED else 0.0
        before = self.share(now_s)
        self._share = before + _WEIGHT * (declined - before)
        self._at_s = now_s
