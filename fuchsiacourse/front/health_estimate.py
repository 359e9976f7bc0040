"""Estimates the probability that a target is unhealthy from its outcomes.

A target alternates between two hidden states, healthy and unhealthy. Each
outcome multiplies the odds of "unhealthy" by its likelihood ratio. Between
outcomes the probability returns to the share of time in which targets are
unhealthy, because the state may have changed unobserved.
"""

from __future__ import annotations

import math

from fuchsiacourse.front import outcome as outcomes

# Prior probability that a target is unhealthy, without evidence; targets spend
# up to a third of their time in gray failures.
UNHEALTHY_SHARE = 0.25
# Time in which evidence decays to 1/e of its weight, in seconds; gray failures
# last as long.
DECAY_S = 9.0
# The same two values for the network path to a target, which rarely fails
# for one front alone.
PATH_FAILURE_SHARE = 0.01
PATH_DECAY_S = 4.0
# Initial probability of a newly registered target.
NEW_PROBABILITY = 0.05
# Bounds of the estimate, so that single outcomes can still change it.
_MIN = 0.002
_MAX = 0.99

# Likelihood of each outcome at an unhealthy target over that at a healthy
# one. An unhealthy target fails most of its work; a healthy one fails about
# one request in 50 and is late with about three in 50. Other outcomes are no
# evidence.
RATIOS_BY_OUTCOME = {
    outcomes.Outcome.ANSWERED: 0.25,
    outcomes.Outcome.FAILED: 35.0,
    outcomes.Outcome.LOST: 50.0,
    outcomes.Outcome.BAD_ANSWER: 15.0,
    outcomes.Outcome.UNREACHED: 60.0,
    outcomes.Outcome.LATE: 8.0,
}


class HealthEstimate:
    """Estimates the health of one target or of the path to it.

    Args:
        now_s: Monotonic time in seconds.
        probability: Initial probability of "unhealthy".
        share: Prior probability, to which the estimate returns without
            evidence.
        decay_s: Time in which evidence decays to 1/e of its weight, in
            seconds.
    """

    __slots__ = (
        "_probability",
        "_at_s",
        "_share",
        "_decay_s",
        "_failed_at_s",
        "is_untried",
    )

    def __init__(
        self,
        *,
        now_s: float,
        probability: float = NEW_PROBABILITY,
        share: float = UNHEALTHY_SHARE,
        decay_s: float = DECAY_S,
    ) -> None:
        self._probability = probability
        self._at_s = now_s
        self._share = share
        self._decay_s = decay_s
        self._failed_at_s = float("-inf")
        # Whether no outcome has been observed yet.
        self.is_untried = True

    def probability(self, now_s: float) -> float:
        """Returns the probability of "unhealthy", 0 to 1."""
        if self._probability == self._share:
            return self._share
        decay = math.exp(min(0.0, self._at_s - now_s) / self._decay_s)
        return self._share + (self._probability - self._share) * decay

    def observe(
        self,
        outcome: outcomes.Outcome,
        now_s: float,
        *,
        took_s: float = 0.0,
        weight: float = 1.0,
    ) -> None:
        """Updates the estimate with an outcome.

        An answer to a request that was sent before the last failure is
        ignored, because it says nothing about the time since the failure.

        Args:
            outcome: Outcome of an attempt.
            now_s: Monotonic time of its end in seconds.
            took_s: Time from its start to its end in seconds.
            weight: Exponent of the likelihood ratio, below 1 for evidence
                that may have another cause or not apply to this front.
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
