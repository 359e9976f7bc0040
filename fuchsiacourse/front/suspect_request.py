"""What a front knows of a request that may crash targets."""

from __future__ import annotations


class SuspectRequest:
    """A request with lost connections, independent of any front's clock.

    Args:
        fingerprint: Fingerprint of the request, 64 bits wide.
        blocked_for_s: Time for which it stays blocked, in seconds; 0 if it
            is not blocked.
        lost_age_s_by_target: Time since the connection to a target was lost,
            in seconds, by key of the target's incarnation.
    """

    __slots__ = ("fingerprint", "blocked_for_s", "lost_age_s_by_target")

    def __init__(
        self,
        *,
        fingerprint: int,
        blocked_for_s: float,
        lost_age_s_by_target: dict[int, float],
    ) -> None:
        self.fingerprint = fingerprint
        self.blocked_for_s = blocked_for_s
        self.lost_age_s_by_target = lost_age_s_by_target
