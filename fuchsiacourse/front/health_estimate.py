"""Probability that a target is sick, from the outcomes of its requests.

A target alternates between two hidden states, well and sick. Each outcome
multiplies the odds of "sick" by its likelihood ratio. Between outcomes the
probability returns to the share of time that targets are sick, because the
state may have changed unseen.
"""

from __future__ import annotations

import math

from fuchsiacourse.front import outcome as outcomes

# Share of time in which a target without news is taken to be sick; the
# users' targets spend up to a third of their time in gray failures.
UNHEALTHY_SHARE = 0.25
# Time in which old evidence loses all but 1/e of its weight, in seconds, as
# long as the users' gray failures last.
DECAY_S = 9.0
# The same for the path to a target, which is rarely cut for one front alone.
PATH_FAILURE_SHARE = 0.01
PATH_DECAY_S = 4.0
# Probability that a newly registered target starts with.
NEW_SHARE = 0.05
# Bounds that keep single outcomes able to change the estimate.
_MIN = 0.002
_MAX = 0.99

# Likelihood of each outcome at a sick target over that at a well one. A sick
# target fails most of its work; a well one fails about one request in fifty
# and is late with about three.
RATIOS_BY_OUTCOME = {
    outcomes.Outcome.ANSWERED: 0.25,
    outcomes.Outcome.FAILED: 35.0,
    outcomes.Outcome.LOST: 50.0,
    outcomes.Outcome.BAD_ANSWER: 15.0,
    outcomes.Outcome.UNREACHED: 60.0,
    outcomes.Outcome.LATE: 8.0,
}


class HealthEstimate:
    """Estimate for one target.

    Args:
        now_s: Monotonic time in seconds.
        probability: Probability to start with.
        share: Probability without news.
        memory_s: Time in which evidence loses its weight, in seconds.
    """

    __slots__ = (
        "_probability",
        "_at_s",
        "_share",
        "_memory_s",
        "_failed_at_s",
        "is_untried",
    )

    def __init__(
        self,
        *,
        now_s: float,
        probability: float = NEW_SHARE,
        share: float = UNHEALTHY_SHARE,
        decay_s: float = DECAY_S,
    ) -> None:
        self._probability = probability
        self._at_s = now_s
        self._share = share
        self._memory_s = decay_s
        self._failed_at_s = float("-inf")
        # Whether no outcome is known yet.
        self.is_untried = True

    def probability(self, now_s: float) -> float:
        """Returns the probability that the target is sick, 0 to 1."""
        kept = math.exp(min(0.0, self._at_s - now_s) / self._memory_s)
        return self._share + (self._probability - self._share) * kept

    def observe(
        self,
        outcome: outcomes.Outcome,
        now_s: float,
        *,
        took_s: float = 0.0,
        weight: float = 1.0,
    ) -> None:
        """Adds an outcome.

        An answer to a request that was sent before the last failure tells
        nothing of the time since and is left out.

        Args:
            outcome: How a sending ended.
            now_s: Monotonic time of the end in seconds.
            took_s: Time from its start to its end in seconds.
            weight: Exponent of the likelihood ratio, below 1 for evidence
                that may not hold here.
        """
        self.is_untried = False
        ratio = RATIOS_BY_OUTCOME.get(outcome)
        if ratio is None:
            return
        if ratio > 1.0:
            self._failed_at_s = now_s
        elif now_s - took_s < self._failed_at_s:
            return
        before = self.probability(now_s)
        odds = before / (1.0 - before) * ratio**weight
        self._probability = min(_MAX, max(_MIN, odds / (1.0 + odds)))
        self._at_s = now_s
