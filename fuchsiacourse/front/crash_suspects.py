"""Finds requests that crash the targets that run them.

Guards against a request that crashes each target that runs it, while its
caller retries it at one front after another.
"""

from __future__ import annotations

import collections
import hashlib

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import http_request
from fuchsiacourse.front import suspect_request

# Number of targets whose connection must be lost while they run a request
# before the request is blocked.
MIN_LOST_TARGETS = 3
# Time within which these losses must occur, in seconds.
WINDOW_S = 60.0
# Time for which a request stays blocked, in seconds.
BLOCK_S = 600.0
# Limit of requests with losses; those with the oldest losses are dropped.
MAX_TRACKED_REQUESTS = 4096
# Limit of the requests that another front is told of; the blocked ones and
# those with the latest losses come first.
MAX_EXPORTED_REQUESTS = 1000
_DIGEST_BYTES = 8


class CrashSuspects:
    """Counts lost connections by request and blocks crashing requests.

    An answer clears the losses of a request, because the targets must have
    failed for another reason.

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
        """Records that the connection of a request to a target was lost.

        Args:
            fingerprint: Fingerprint of the request.
            target_key: Key of the target's incarnation.

        Returns:
            Whether this loss blocks the request.
        """
        return self._add_lost(fingerprint, target_key, self._clock.now())

    def _add_lost(
        self, fingerprint: int, target_key: int, lost_s: float
    ) -> bool:
        now_s = self._clock.now()
        lost = self._lost_by_fingerprint.setdefault(fingerprint, {})
        self._lost_by_fingerprint.move_to_end(fingerprint)
        lost[target_key] = max(lost_s, lost.get(target_key, lost_s))
        for key, at_s in list(lost.items()):
            if now_s - at_s > WINDOW_S:
                del lost[key]
        while len(self._lost_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._lost_by_fingerprint.popitem(last=False)
        if len(lost) < MIN_LOST_TARGETS or self.is_blocked(fingerprint):
            return False
        self._blocked_until_s[fingerprint] = now_s + BLOCK_S
        return True

    def export(self) -> list[suspect_request.SuspectRequest]:
        """Returns what another front must know of the suspected requests."""
        now_s = self._clock.now()
        blocked = [
            fingerprint
            for fingerprint, until_s in self._blocked_until_s.items()
            if until_s > now_s
        ]
        latest = reversed(self._lost_by_fingerprint)
        chosen = list(dict.fromkeys((*blocked, *latest)))
        return [
            suspect_request.SuspectRequest(
                fingerprint=item,
                blocked_for_s=max(
                    0.0, self._blocked_until_s.get(item, now_s) - now_s
                ),
                lost_age_s_by_target={
                    key: now_s - at_s
                    for key, at_s in self._lost_by_fingerprint.get(
                        item, {}
                    ).items()
                },
            )
            for item in chosen[:MAX_EXPORTED_REQUESTS]
        ]

    def merge(self, found: list[suspect_request.SuspectRequest]) -> int:
        """Adds what another front knows.

        Args:
            found: Suspected requests of the other front.

        Returns:
            The number of requests that this newly blocks.
        """
        now_s = self._clock.now()
        newly_blocked = 0
        for item in reversed(found):
            was_blocked = self.is_blocked(item.fingerprint)
            if item.blocked_for_s:
                until_s = now_s + min(BLOCK_S, item.blocked_for_s)
                known_s = self._blocked_until_s.get(item.fingerprint, until_s)
                self._blocked_until_s[item.fingerprint] = max(known_s, until_s)
            for key, age_s in item.lost_age_s_by_target.items():
                self._add_lost(item.fingerprint, key, now_s - age_s)
            is_blocked = self.is_blocked(item.fingerprint)
            newly_blocked += is_blocked and not was_blocked
        return newly_blocked

    def clear(self, fingerprint: int) -> None:
        """Clears the losses of a request that a target has answered."""
        self._lost_by_fingerprint.pop(fingerprint, None)

    def is_blocked(self, fingerprint: int) -> bool:
        """Returns whether a request is blocked and must be refused."""
        until_s = self._blocked_until_s.get(fingerprint)
        if until_s is None:
            return False
        if self._clock.now() < until_s:
            return True
        del self._blocked_until_s[fingerprint]
        return False


def fingerprint_of(request: http_request.HttpRequest) -> int:
    """Returns a hash of a request's method, host, target and buffered body."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.host.encode(), request.target):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "little")
