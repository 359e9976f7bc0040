"""Memory for the bodies of requests that are being read or answered."""

from __future__ import annotations

# Bytes that the bodies of a process take together; a host has 200 MB or
# more, and a body is held about twice while it is passed on.
MAX_BYTES = 64_000_000


class BodyBudget:
    """Bytes in use and their bound.

    Args:
        max_bytes: Most bytes in use.
    """

    __slots__ = ("_left",)

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._left = max_bytes

    def reserve(self, count: int) -> bool:
        """Takes bytes if there are enough; returns whether there were."""
        if count > self._left:
            return False
        self._left -= count
        return True

    def release(self, count: int) -> None:
        """Gives bytes back."""
        self._left += count
