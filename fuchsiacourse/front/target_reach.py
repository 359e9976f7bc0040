"""Decides whether this front is cut off from all targets.

Covers a network partition between some fronts and all targets while callers,
the store and the other fronts still reach them, and failures of many targets
for all fronts alike, in which no front may give up.
"""

from __future__ import annotations

from fuchsiacourse import clock as clocks

# Distinct targets that this front has failed to reach, without reaching any
# target meanwhile, from which it is cut off. Some targets may be down, or cut
# off from this front alone.
MIN_UNREACHED = 4
# Time for which an answer at another front shows that targets can be reached,
# in seconds.
PEER_ANSWER_S = 2.0


class TargetReach:
    """Tracks which targets this front reaches.

    Attributes:
        is_cut_off: Whether this front reaches no target while others do.

    Args:
        clock: Source of time.
    """

    __slots__ = (
        "is_cut_off",
        "_clock",
        "_unreached",
        "_doubted_since_s",
        "_peer_answer_s",
    )

    def __init__(self, *, clock: clocks.Clock) -> None:
        self.is_cut_off = False
        self._clock = clock
        # Keys of the targets that could not be reached since one was.
        self._unreached: set[int] = set()
        # Monotonic time of the first of these failures, in seconds.
        self._doubted_since_s = float("-inf")
        # Monotonic time of the last answer at another front, in seconds.
        self._peer_answer_s = float("-inf")

    @property
    def unreached(self) -> int:
        """Number of targets that could not be reached since one was."""
        return len(self._unreached)

    def record_reached(self, connected_s: float) -> bool:
        """Records that a target was reached.

        A connection that was opened before the doubt shows nothing: it may
        live on while new ones fail.

        Args:
            connected_s: Monotonic time at which the connection was opened,
                in seconds.

        Returns:
            Whether the front was cut off until now.
        """
        if connected_s < self._doubted_since_s:
            return False
        was_cut_off = self.is_cut_off
        self.is_cut_off = False
        self._unreached.clear()
        self._doubted_since_s = float("-inf")
        return was_cut_off

    def record_unreached(self, target_key: int, *, known: int) -> bool:
        """Records that a target could not be reached.

        Args:
            target_key: Key of the target.
            known: Number of targets that could be reached.

        Returns:
            Whether the front has turned out to be cut off.
        """
        now_s = self._clock.now()
        if not self._unreached:
            self._doubted_since_s = now_s
        self._unreached.add(target_key)
        age_s = now_s - self._peer_answer_s
        if (
            self.is_cut_off
            or len(self._unreached) < min(MIN_UNREACHED, known)
            or age_s > PEER_ANSWER_S
        ):
            return False
        self.is_cut_off = True
        return True

    def record_peer_answer(self) -> None:
        """Records that a target has answered another front."""
        self._peer_answer_s = self._clock.now()
