"""Streams the rest of a long body from one connection to another."""

from __future__ import annotations

import asyncio
import collections
import math
import typing

from fuchsiacourse import errors

# Bodies of up to this many bytes are buffered whole before they are forwarded,
# so that a request can be retried and a truncated answer is never started.
MAX_BUFFERED_BYTES = 262_144
# The sender is paused above the high water mark of buffered bytes and resumed
# below a quarter of it. Together with the kernel's buffers, the high water
# mark keeps a link of 1 Gbit/s busy for 2 ms.
HIGH_WATER_BYTES = 262_144
# Parts are joined while they are kept up to the first and when they are read
# up to the second of these lengths, because a part costs far more than a byte.
JOINED_BYTES = 4_096
READ_BYTES = 65_536

FlowCallback = typing.Callable[[bool], None]
HighWater = typing.Callable[[], int]
CloseCallback = typing.Callable[[], None]
EndCallback = typing.Callable[[Exception | None], None]


class BodyStream:
    """Bounded buffer between a reading and a writing connection.

    Args:
        on_flow: Called with True to pause the sender, with False to resume
            it.
        on_close: Called when the reader closes the stream before its end.
        high_water: Returns the high water mark in bytes, None for
            ``HIGH_WATER_BYTES``.
    """

    __slots__ = (
        "has_been_read",
        "deadline_s",
        "on_end",
        "_on_flow",
        "_on_close",
        "_high_water",
        "_parts",
        "_buffered_bytes",
        "_is_paused",
        "_is_ended",
        "_is_closed",
        "_error",
        "_arrived",
    )

    def __init__(
        self,
        *,
        on_flow: FlowCallback,
        on_close: CloseCallback,
        high_water: HighWater | None = None,
    ) -> None:
        # Whether reading has started; the body can't be read a second time.
        self.has_been_read = False
        # Monotonic time after which an incomplete body can't be read any more,
        # in seconds.
        self.deadline_s = float("inf")
        # Called once at the end: with None after a complete body, with the
        # reason after a truncated one.
        self.on_end: EndCallback | None = None
        self._on_flow = on_flow
        self._on_close = on_close
        self._high_water = high_water
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_paused = False
        self._is_ended = False
        self._is_closed = False
        self._error: Exception | None = None
        self._arrived = asyncio.Event()

    @property
    def is_ended(self) -> bool:
        """Whether the body is complete or has failed."""
        return self._is_ended

    @property
    def has_failed(self) -> bool:
        """Whether the body has ended before it was complete."""
        return self._error is not None

    def feed(self, data: bytes) -> None:
        """Adds bytes; drops them if the stream is closed or has ended."""
        if self._is_closed or self._is_ended:
            return
        append_part(self._parts, data)
        self._buffered_bytes += len(data)
        if not self._is_paused and self._buffered_bytes > self._max_bytes():
            self._is_paused = True
            self._on_flow(True)
        self._arrived.set()

    def end(self) -> None:
        """Marks the body as complete."""
        self._finish(None)

    def fail(self, error: Exception) -> None:
        """Marks the body as truncated.

        Args:
            error: Reason; ``read`` raises it as ``BodyTruncated`` after the
                buffered bytes.
        """
        self._finish(error)

    def discard(self) -> None:
        """Drops buffered and further bytes and resumes the sender."""
        self._is_closed = True
        self._parts.clear()
        self._buffered_bytes = 0
        self._arrived.set()
        self._resume()

    def close(self) -> None:
        """Stops reading and calls ``on_close`` if the body has not ended."""
        if self._is_closed:
            return
        error = errors.BodyTruncated("reader closed the stream")
        was_ended = self._is_ended
        # Resuming the sender may bring the end of the body, which would make
        # the dropped bytes look like a complete body.
        self._finish(error)
        if self._parts:
            self._error = error
        self.discard()
        if not was_ended:
            self._on_close()

    async def read(self) -> bytes:
        """Returns the next bytes, or no bytes at the end of the body.

        Several short parts are returned joined.

        Raises:
            BodyTruncated: The body is truncated, or the deadline has passed.
        """
        self.has_been_read = True
        now_s = asyncio.get_running_loop().time()
        if now_s > self.deadline_s and not self._is_ended:
            self.close()
            raise errors.BodyTruncated("deadline passed")
        while not self._parts:
            if self._error is not None:
                raise errors.BodyTruncated(str(self._error)) from self._error
            if self._is_ended:
                return b""
            self._arrived.clear()
            await self.wait_for(self._arrived)
        part = self._take()
        self._buffered_bytes -= len(part)
        if self._is_paused and self._buffered_bytes < self._max_bytes() // 4:
            self._resume()
        return part

    async def wait_for(self, event: asyncio.Event) -> None:
        """Waits for an event until the deadline.

        Args:
            event: Event to wait for.

        Raises:
            BodyTruncated: The deadline has passed.
        """
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(
                event.wait(), None if math.isinf(left_s) else left_s
            )
        except TimeoutError as error:
            self.close()
            raise errors.BodyTruncated("deadline passed") from error

    def _take(self) -> bytes:
        parts = self._parts
        first = parts.popleft()
        size = len(first)
        if not parts or size + len(parts[0]) > READ_BYTES:
            return first
        taken = [first]
        while parts and size + len(parts[0]) <= READ_BYTES:
            size += len(parts[0])
            taken.append(parts.popleft())
        return b"".join(taken)

    def _max_bytes(self) -> int:
        if self._high_water is None:
            return HIGH_WATER_BYTES
        return self._high_water()

    def _resume(self) -> None:
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


def append_part(
    parts: collections.deque[bytes] | list[bytes], data: bytes
) -> None:
    """Adds bytes to the parts of a body; joins them to a short last part.

    Args:
        parts: Parts of the body.
        data: Bytes that follow them.
    """
    if parts and len(parts[-1]) + len(data) <= JOINED_BYTES:
        parts[-1] += data
    else:
        parts.append(data)


def chunk(part: bytes) -> bytes:
    """Returns bytes as one chunk of the chunked transfer coding.

    Args:
        part: Bytes of the body; no bytes give the last chunk.
    """
    if not part:
        return b"0\r\n\r\n"
    return b"%x\r\n%s\r\n" % (len(part), part)
