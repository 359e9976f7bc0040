"""Exponential back-off with jitter."""

from __future__ import annotations

import random

FIRST_S = 0.2
MAX_S = 30.0
_FACTOR = 2.0


class RetryBackoff:
    """Computes waits whose bound doubles up to a maximum.

    Each wait is drawn from the upper half of its bound. The jitter spreads
    the retries of many processes that fail at the same moment.

    Args:
        rng: Source of the jitter.
        first_s: Upper bound of the first wait in seconds.
        max_s: Upper bound of every wait in seconds.
    """

    __slots__ = ("_rng", "_first_s", "_max_s", "_bound_s")

    def __init__(
        self,
        *,
        rng: random.Random,
        first_s: float = FIRST_S,
        max_s: float = MAX_S,
    ) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._bound_s = first_s

    def next(self) -> float:
        """Returns the next wait in seconds, at least half of its bound."""
        wait_s = self._bound_s * self._rng.uniform(0.5, 1.0)
        self._bound_s = min(self._max_s, self._bound_s * _FACTOR)
        return wait_s

    def reset(self) -> None:
        """Restarts with the bound of the first wait."""
        self._bound_s = self._first_s
