"""Whether the caller of a request still waits."""

from __future__ import annotations

import asyncio


class CallerPresence:
    """Tells when a caller has closed its connection."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def disconnected(self) -> asyncio.Future[None]:
        """Done when the caller has left."""
        return self._left

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has left."""
        return self._left.done()

    def mark_disconnected(self) -> None:
        """Notes that the caller has left."""
        if not self._left.done():
            self._left.set_result(None)
