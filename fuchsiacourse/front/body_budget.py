"""Limits the memory for the bodies of requests in progress."""

from __future__ import annotations

# A host has 200 MB or more, and a body is in memory about twice while it is
# forwarded.
MAX_BYTES = 64_000_000


class BodyBudget:
    """Budget of bytes that all bodies of a process share.

    Args:
        max_bytes: Most bytes that may be reserved at a time.
    """

    __slots__ = ("_left",)

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._left = max_bytes

    def reserve(self, count: int) -> bool:
        """Reserves bytes if enough are left.

        Args:
            count: Number of bytes.

        Returns:
            Whether the bytes were reserved.
        """
        if count > self._left:
            return False
        self._left -= count
        return True

    def release(self, count: int) -> None:
        """Returns reserved bytes to the budget."""
        self._left += count
