"""Signals that a caller has disconnected.

The handler of a request gets this signal in place of the connection.
"""

from __future__ import annotations

import asyncio


class CallerPresence:
    """Whether the caller of a request is still connected."""

    __slots__ = ("_disconnected",)

    def __init__(self) -> None:
        self._disconnected: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def disconnected(self) -> asyncio.Future[None]:
        """Future that is done once the caller has disconnected."""
        return self._disconnected

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._disconnected.done()

    def mark_disconnected(self) -> None:
        """Completes the future; further calls have no effect."""
        if not self._disconnected.done():
            self._disconnected.set_result(None)
