"""Feeds a connection's bytes to its parser at the pace its work allows."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse.front import work_meter

# Bytes that are parsed before the work is counted. The smallest slice has at
# most some 800 parts, which take about a millisecond; a slice of few parts is
# followed by one of twice its size.
MIN_SLICE_BYTES = 4_096
MAX_SLICE_BYTES = 65_536
# Parts of a slice up to which the next one is larger.
FEW_PARTS = 16

Consume = typing.Callable[[bytes], None]
FlowCallback = typing.Callable[[], None]


class PacedInput:
    """Received bytes that wait until their connection may be parsed on.

    Args:
        meter: Counts the work of the connection. ``consume`` charges it
            through ``charge``.
        consume: Parses bytes and handles what they complete. It may close
            the input.
        on_flow: Called when ``is_paused`` changes; a paused connection must
            not be read.
    """

    __slots__ = (
        "is_paused",
        "_meter",
        "_consume",
        "_on_flow",
        "waiting",
        "_slice_bytes",
        "_slice_parts",
        "_pause_s",
        "_timer",
        "_is_closed",
        "is_consuming",
        "_is_held",
    )

    def __init__(
        self,
        *,
        meter: work_meter.WorkMeter,
        consume: Consume,
        on_flow: FlowCallback,
    ) -> None:
        # Whether bytes wait or the connection pays for its work.
        self.is_paused = False
        self._meter = meter
        self._consume = consume
        self._on_flow = on_flow
        # Received bytes that have not been parsed yet.
        self.waiting = b""
        self._slice_bytes = MIN_SLICE_BYTES
        self._slice_parts = 0
        self._pause_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        # Whether bytes are being parsed.
        self.is_consuming = False
        self._is_held = False

    def add(self, data: bytes) -> None:
        """Parses bytes, or keeps them while the connection is paused."""
        if self._is_closed:
            return
        self.waiting = self.waiting + data if self.waiting else data
        if not self.is_paused and not self.is_consuming:
            self._run()

    def charge(self, parts: int, content_bytes: int) -> None:
        """Counts the work of the slice that is being parsed.

        Args:
            parts: Number of body parts, header lines, trailers and heads.
            content_bytes: Bytes of the bodies among them.
        """
        self._slice_parts += parts
        self._pause_s = max(
            self._pause_s, self._meter.charge(parts, content_bytes)
        )

    def hold(self, is_held: bool) -> None:
        """Holds up the parsing, or goes on with it.

        It is independent of the pace. A held connection must not be read.

        Args:
            is_held: Whether received bytes must wait.
        """
        self._is_held = is_held
        if self.waiting and not (self.is_paused or self.is_consuming):
            self._run()

    def close(self) -> None:
        """Drops the bytes that wait and all further ones."""
        self._is_closed = True
        self.waiting = b""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self.is_consuming = True
        try:
            while self.waiting and not (self.is_paused or self._is_held):
                self._consume_slice()
        finally:
            self.is_consuming = False

    def _consume_slice(self) -> None:
        size = self._slice_bytes
        piece, self.waiting = self.waiting[:size], self.waiting[size:]
        self._slice_parts = 0
        self._pause_s = 0.0
        self._consume(piece)
        self._slice_bytes = MIN_SLICE_BYTES
        if self._slice_parts <= FEW_PARTS:
            self._slice_bytes = min(2 * size, MAX_SLICE_BYTES)
        if self._pause_s > 0.0 and not self._is_closed:
            self.is_paused = True
            self._timer = asyncio.get_running_loop().call_later(
                self._pause_s, self._resume
            )
            self._on_flow()

    def _resume(self) -> None:
        self._timer = None
        self.is_paused = False
        self._run()
        if not self.is_paused and not self._is_closed:
            self._on_flow()
