"""Log-likelihood ratios of single observations of a target.

Positive ratios indicate an unhealthy target. What a healthy target does is
expected from its peers; what an unhealthy one does is set here.
"""

from __future__ import annotations

import math

from fuchsiacourse import evidence

# Shares of attempts over the limits at a healthy and at an unhealthy target.
LATE_SHARE = 0.1
VERY_LATE_SHARE = 0.02
UNHEALTHY_PROMPT_SHARE = 0.25
UNHEALTHY_VERY_LATE_SHARE = 0.6

# Shares of failed attempts at a healthy and at an unhealthy target.
ERROR_SHARE = 0.003
UNHEALTHY_ERROR_SHARE = 0.3
SHED_SHARE = 0.05


def failed(expected: float) -> float:
    """Returns the ratio of a failed attempt.

    Args:
        expected: Share of attempts that fail at a healthy target. If it is
            as high as at an unhealthy one, the failure tells nothing.
    """
    return math.log(
        UNHEALTHY_ERROR_SHARE / min(expected, UNHEALTHY_ERROR_SHARE)
    )


def succeeded(expected: float) -> float:
    """Returns the ratio of an attempt that has not failed."""
    share = min(expected, UNHEALTHY_ERROR_SHARE)
    return math.log((1.0 - UNHEALTHY_ERROR_SHARE) / (1.0 - share))


def unfinished(expected: evidence.Expectation, level: int) -> float:
    """Returns the ratio of an attempt that runs.

    Args:
        expected: What a healthy target does.
        level: Number of limits of latency that its age has passed.
    """
    if level == 0 or expected.very_late >= UNHEALTHY_VERY_LATE_SHARE:
        return 0.0
    if level == 2:
        return math.log(UNHEALTHY_VERY_LATE_SHARE / expected.very_late)
    unhealthy = 1.0 - UNHEALTHY_PROMPT_SHARE
    return math.log(unhealthy / min(unhealthy, expected.late))


def finished(expected: evidence.Expectation, level: int) -> float:
    """Returns the ratio of a successful attempt by its latency.

    Args:
        expected: What a healthy target does.
        level: Number of limits of latency that it has passed.
    """
    if level == 2 or expected.very_late >= UNHEALTHY_VERY_LATE_SHARE:
        return unfinished(expected, level)
    if level == 0:
        prompt = max(UNHEALTHY_PROMPT_SHARE, 1.0 - expected.late)
        return math.log(UNHEALTHY_PROMPT_SHARE / prompt)
    unhealthy = 1.0 - UNHEALTHY_PROMPT_SHARE - UNHEALTHY_VERY_LATE_SHARE
    # A healthy share well above the unhealthy one must not count as good.
    healthy = max(0.01, expected.late - expected.very_late)
    return math.log(unhealthy / max(unhealthy / 4.0, healthy))
