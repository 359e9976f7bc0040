"""Decides when a caller that was refused may return.

Covers a service whose targets all state rate limits that are used up: what
comes beyond them can't be served now and is refused at once. Callers that were
refused return in their order and as fast as the limits allow, not all at
the moment at which the next target opens.
"""

from __future__ import annotations

import random

from fuchsiacourse import clock as clocks

# Longest time after which a caller is asked to return, in seconds. Limits and
# loads change within seconds, so a longer forecast is worth little.
MAX_WAIT_S = 5.0
# Upper limit of the random part of each wait, as a share of the interval
# between two callers. Fronts decide apart and would otherwise choose the same
# moments.
JITTER = 0.5


class ReturnOrder:
    """Hands out times to return, one caller after the other.

    Args:
        clock: Source of time.
        rng: Source of randomness.
    """

    __slots__ = ("_clock", "_rng", "_last_s_by_service")

    def __init__(self, *, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        # Monotonic time at which the last refused caller returns, in seconds.
        self._last_s_by_service: dict[str, float] = {}

    def next_wait_s(
        self, service: str, *, opens_in_s: float, rate_per_s: float
    ) -> float:
        """Returns after which time the next refused caller may return.

        Args:
            service: Service of its request.
            opens_in_s: Time until a target takes another request, in seconds.
            rate_per_s: Requests per second that this front may send to the
                service.

        Returns:
            The time in seconds, at most MAX_WAIT_S after a target opens.
        """
        now_s = self._clock.now()
        interval_s = min(MAX_WAIT_S, 1.0 / max(rate_per_s, 1.0 / MAX_WAIT_S))
        last_s = self._last_s_by_service.get(service, float("-inf"))
        at_s = max(last_s + interval_s, now_s + opens_in_s)
        longest_s = max(MAX_WAIT_S, opens_in_s)
        at_s = min(at_s, now_s + longest_s)
        self._last_s_by_service[service] = at_s
        wait_s = at_s - now_s + self._rng.random() * JITTER * interval_s
        return min(longest_s, wait_s)
