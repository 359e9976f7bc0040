"""Signals that a caller has disconnected.

The handler of a request needs this signal without the connection itself.
"""

from __future__ import annotations

import asyncio


class CallerPresence:
    """Whether the caller of a request is still connected."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def disconnected(self) -> asyncio.Future[None]:
        """Future that is done once the caller has disconnected."""
        return self._left

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._left.done()

    def mark_disconnected(self) -> None:
        """Completes the future; further calls have no effect."""
        if not self._left.done():
            self._left.set_result(None)
