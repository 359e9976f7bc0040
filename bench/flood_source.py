"""Sends blocks of bytes until a time or a number of bytes is reached."""

from __future__ import annotations

import asyncio

# Most bytes of a flood, over all its connections.
MAX_BYTES = 8_000_000_000


class FloodSource:
    """Bounds what the connections of a stand-in send together.

    Args:
        block: Bytes that are repeated.
        seconds: Time from the creation to the end of the flood.
        max_bytes: Most bytes over all connections.
    """

    __slots__ = ("connections", "sent_bytes", "_block", "_end_s", "_max_bytes")

    def __init__(
        self, *, block: bytes, seconds: float, max_bytes: int = MAX_BYTES
    ) -> None:
        # Number of connections that have sent a block.
        self.connections = 0
        self.sent_bytes = 0
        self._block = block
        self._end_s = asyncio.get_running_loop().time() + seconds
        self._max_bytes = max_bytes

    @property
    def left_s(self) -> float:
        """Time to the end of the flood in seconds, 0 after it."""
        return max(0.0, self._end_s - asyncio.get_running_loop().time())

    @property
    def has_ended(self) -> bool:
        """Whether the time or the number of bytes is reached."""
        return not self.left_s or self.sent_bytes >= self._max_bytes

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Sends blocks on a connection until the flood ends.

        Raises:
            OSError: The peer has closed the connection.
            TimeoutError: The flood ended while the peer read nothing.
        """
        self.connections += 1
        async with asyncio.timeout(self.left_s):
            while not self.has_ended:
                writer.write(self._block)
                self.sent_bytes += len(self._block)
                await writer.drain()
                # drain doesn't yield while the peer reads fast enough.
                await asyncio.sleep(0.0)
