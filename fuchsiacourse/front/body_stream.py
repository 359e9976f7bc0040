"""Rest of a long body that is passed on while it arrives."""

from __future__ import annotations

import asyncio
import collections
import math
import typing

from fuchsiacourse import errors

# Bodies up to this many bytes are read whole before anything is passed on, so
# that a request can be sent again and a cut answer is never begun.
MAX_BUFFERED_BYTES = 262_144
# The sender is paused above the first of these counts of bytes that wait, and
# goes on below the second; together with the buffers of the kernel the first
# fills a link of 1 Gbit/s for 2 ms.
HIGH_WATER_BYTES = 262_144
LOW_WATER_BYTES = 65_536

Flow = typing.Callable[[bool], None]
Notice = typing.Callable[[], None]
EndNotice = typing.Callable[[Exception | None], None]


class BodyStream:
    """Bytes between the connection that reads them and the one that writes.

    Args:
        on_flow: Called with True when the sender must pause, with False when
            it may go on.
        on_close: Called when the reader gives up.
    """

    __slots__ = (
        "has_been_read",
        "deadline_s",
        "on_end",
        "_on_flow",
        "_on_close",
        "_parts",
        "_bytes",
        "_is_paused",
        "_is_ended",
        "_is_closed",
        "_error",
        "_arrived",
    )

    def __init__(self, *, on_flow: Flow, on_close: Notice) -> None:
        # Whether part of it has been read; it can't be read again.
        self.has_been_read = False
        # Monotonic time at which the reader gives up, in seconds.
        self.deadline_s = float("inf")
        # Called once at the end, with the reason of an early one.
        self.on_end: EndNotice | None = None
        self._on_flow = on_flow
        self._on_close = on_close
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._is_paused = False
        self._is_ended = False
        self._is_closed = False
        self._error: Exception | None = None
        self._arrived = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        """Whether no more bytes arrive."""
        return self._is_ended

    @property
    def has_failed(self) -> bool:
        """Whether the body has ended early."""
        return self._error is not None

    def feed(self, data: bytes) -> None:
        """Adds bytes; those that come after the reader gave up are lost."""
        if self._is_closed or self._is_ended:
            return
        self._parts.append(data)
        self._bytes += len(data)
        if self._bytes > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._on_flow(True)
        self._arrived.set()

    def end(self) -> None:
        """Notes that the body is whole."""
        self._finish(None)

    def fail(self, error: Exception) -> None:
        """Notes that the body has ended early."""
        self._finish(error)

    def discard(self) -> None:
        """Drops what has come and what follows; the sender goes on."""
        self._is_closed = True
        self._parts.clear()
        self._bytes = 0
        self._arrived.set()
        self._go_on()

    def close(self) -> None:
        """Gives up reading, and tells the sender."""
        if self._is_closed:
            return
        self.discard()
        if not self._is_ended:
            self._on_close()
            self._finish(errors.BodyTruncated("the reader has given up"))

    async def read(self) -> bytes:
        """Returns the next bytes, none at the end.

        Raises:
            BodyCutOff: The body has ended early, or the time is over.
        """
        self.has_been_read = True
        now_s = asyncio.get_running_loop().time()
        if now_s > self.deadline_s and not self._is_ended:
            self.close()
            raise errors.BodyTruncated("the time is over")
        while not self._parts:
            if self._error is not None:
                raise errors.BodyTruncated(str(self._error)) from self._error
            if self._is_ended:
                return b""
            self._arrived.clear()
            await self.wait_for(self._arrived)
        part = self._parts.popleft()
        self._bytes -= len(part)
        if self._bytes < LOW_WATER_BYTES:
            self._go_on()
        return part

    async def wait_for(self, event: asyncio.Event) -> None:
        """Waits for an event until the reader gives up.

        Raises:
            BodyCutOff: The time is over.
        """
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(
                event.wait(), None if math.isinf(left_s) else left_s
            )
        except TimeoutError as error:
            self.close()
            raise errors.BodyTruncated("the time is over") from error

    def _go_on(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._on_flow(False)

    def _finish(self, error: Exception | None) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._error = error
        self._arrived.set()
        if self.on_end is not None:
            self.on_end(error)


def chunk(part: bytes) -> bytes:
    """Returns bytes in chunked coding; no bytes give the last chunk."""
    if not part:
        return b"0\r\n\r\n"
    return b"%x\r\n%s\r\n" % (len(part), part)
