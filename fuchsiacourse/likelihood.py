"""Computes the log-likelihood ratios of single observations of a target.

A positive ratio indicates an unhealthy target. The behavior of a healthy
target is estimated from its peers, that of an unhealthy one is fixed here.
"""

from __future__ import annotations

import math

from fuchsiacourse import evidence

# Shares of attempts over the two limits of latency at a healthy and at an
# unhealthy target; a prompt attempt exceeds neither limit.
LATE_SHARE = 0.1
VERY_LATE_SHARE = 0.02
UNHEALTHY_PROMPT_SHARE = 0.25
UNHEALTHY_VERY_LATE_SHARE = 0.6

# Shares of failed attempts at a healthy and at an unhealthy target.
ERROR_SHARE = 0.003
UNHEALTHY_ERROR_SHARE = 0.3
# Share of requests that a healthy target sheds. For an unhealthy one
# UNHEALTHY_ERROR_SHARE applies to shed requests too.
SHED_SHARE = 0.05


def failed(expected: float) -> float:
    """Returns the log-likelihood ratio of a failed attempt.

    Args:
        expected: Share of attempts that fail at a healthy target. If it is
            as high as at an unhealthy one, a failure is no evidence.
    """
    return math.log(
        UNHEALTHY_ERROR_SHARE / min(expected, UNHEALTHY_ERROR_SHARE)
    )


def succeeded(expected: float) -> float:
    """Returns the log-likelihood ratio of an attempt that has not failed.

    Args:
        expected: Share of attempts that fail at a healthy target.
    """
    share = min(expected, UNHEALTHY_ERROR_SHARE)
    return math.log((1.0 - UNHEALTHY_ERROR_SHARE) / (1.0 - share))


def unfinished(expected: evidence.Expectation, level: int) -> float:
    """Returns the log-likelihood ratio of a running attempt by its age.

    Args:
        expected: Behavior of a healthy target.
        level: Number of limits of latency that the age has passed.
    """
    if level == 0 or expected.very_late >= UNHEALTHY_VERY_LATE_SHARE:
        return 0.0
    if level == 2:
        return math.log(UNHEALTHY_VERY_LATE_SHARE / expected.very_late)
    unhealthy = 1.0 - UNHEALTHY_PROMPT_SHARE
    return math.log(unhealthy / min(unhealthy, expected.late))


def finished(expected: evidence.Expectation, level: int) -> float:
    """Returns the log-likelihood ratio of a successful attempt's latency.

    Args:
        expected: Behavior of a healthy target.
        level: Number of limits of latency that the attempt has passed.
    """
    if level == 2 or expected.very_late >= UNHEALTHY_VERY_LATE_SHARE:
        return unfinished(expected, level)
    if level == 0:
        prompt = max(UNHEALTHY_PROMPT_SHARE, 1.0 - expected.late)
        return math.log(UNHEALTHY_PROMPT_SHARE / prompt)
    unhealthy = 1.0 - UNHEALTHY_PROMPT_SHARE - UNHEALTHY_VERY_LATE_SHARE
    # Bounds the evidence of health when the healthy share is far above the
    # unhealthy one.
    healthy = max(0.01, expected.late - expected.very_late)
    return math.log(unhealthy / max(unhealthy / 4.0, healthy))
