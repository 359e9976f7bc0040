"""Requests that crash the targets that run them.

Load answered here: a request that its caller sends again and again at any
front, each time taking a target down.
"""

from __future__ import annotations

import collections
import hashlib

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import http_request

# Targets that must have gone down under a request before it is refused.
CRASHES = 3
# Time within which they must have gone down, in seconds.
WINDOW_S = 60.0
# Time for which the request stays refused, in seconds.
BLOCK_S = 600.0
# Requests that are remembered; the oldest are dropped.
MAX_REMEMBERED = 4096
_DIGEST_BYTES = 8


class CrashSuspects:
    """Lost connections by the fingerprint of their request.

    An answer clears a fingerprint: the targets went down for another
    reason.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_lost_by_fingerprint", "_blocked_until_s")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lost_by_fingerprint: collections.OrderedDict[
            int, dict[int, float]
        ] = collections.OrderedDict()
        self._blocked_until_s: dict[int, float] = {}

    def record_lost(self, fingerprint: int, target_key: int) -> bool:
        """Notes that a target's connection was lost under a request.

        Returns:
            Whether the request is refused from now on.
        """
        now_s = self._clock.now()
        lost = self._lost_by_fingerprint.setdefault(fingerprint, {})
        self._lost_by_fingerprint.move_to_end(fingerprint)
        lost[target_key] = now_s
        for key, at_s in list(lost.items()):
            if now_s - at_s > WINDOW_S:
                del lost[key]
        while len(self._lost_by_fingerprint) > MAX_REMEMBERED:
            self._lost_by_fingerprint.popitem(last=False)
        if len(lost) < CRASHES or self.is_blocked(fingerprint):
            return False
        self._blocked_until_s[fingerprint] = now_s + BLOCK_S
        return True

    def clear(self, fingerprint: int) -> None:
        """Clears a request that a target has answered."""
        self._lost_by_fingerprint.pop(fingerprint, None)

    def is_blocked(self, fingerprint: int) -> bool:
        """Whether a request must not run."""
        until_s = self._blocked_until_s.get(fingerprint)
        if until_s is None:
            return False
        if self._clock.now() < until_s:
            return True
        del self._blocked_until_s[fingerprint]
        return False


def fingerprint_of(request: http_request.HttpRequest) -> int:
    """Returns a number that is the same for each copy of a request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.host.encode(), request.target):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "little")
