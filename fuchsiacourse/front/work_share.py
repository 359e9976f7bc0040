"""Divides the work for tiny parts among the connections of a front."""

from __future__ import annotations

from fuchsiacourse import clock as clocks

# Parts beyond their connections' own allowances that a front parses, in parts
# per second. A part costs about a microsecond, so this is a tenth of a core.
PARTS_PER_S = 100_000.0


class WorkShare:
    """Queue of the work that connections do beyond their own allowance.

    One object serves all connections of a front, with targets, callers, the
    store and peers. A connection waits until the work that it has done is
    paid for, so connections with much work take turns.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_paid_at_s")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        # Monotonic time at which all work so far is paid for, in seconds.
        self._paid_at_s = 0.0

    def charge(self, parts: float) -> float:
        """Charges work and returns the pause that pays for it, in seconds.

        Args:
            parts: Number of parts beyond the connection's allowance.
        """
        now_s = self._clock.now()
        begin_s = max(now_s, self._paid_at_s)
        self._paid_at_s = begin_s + parts / PARTS_PER_S
        return self._paid_at_s - now_s
