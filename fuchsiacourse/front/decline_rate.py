"""Share of the requests that a target turns away unrun."""

from __future__ import annotations

import math

from fuchsiacourse.front import outcome as outcomes

# Weight of a new outcome in the moving average.
_WEIGHT = 0.2
# Time in which the average loses all but 1/e without news, in seconds.
DECAY_S = 3.0


class DeclineRate:
    """Moving average of the requests that a target declines.

    A target that declines is not sick: the request can go elsewhere, and
    the target serves what it takes.
    """

    __slots__ = ("_share", "_at_s")

    def __init__(self) -> None:
        self._share = 0.0
        self._at_s = 0.0

    def share(self, now_s: float) -> float:
        """Returns the share of declined requests, 0 to 1."""
        kept = math.exp(min(0.0, self._at_s - now_s) / DECAY_S)
        return self._share * kept

    def observe(self, outcome: outcomes.Outcome, now_s: float) -> None:
        """Adds the outcome of a request that reached the target."""
        if not outcome.may_have_arrived:
            return
        declined = 1.0 if outcome is outcomes.Outcome.DECLINED else 0.0
        before = self.share(now_s)
        self._share = before + _WEIGHT * (declined - before)
        self._at_s = now_s
