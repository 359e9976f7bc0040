"""Output of the logs that is bounded and never blocks."""

from __future__ import annotations

import os
import typing

from fuchsiacourse import token_bucket

# Lines a second that a front writes for long, and at once. A request takes
# some four lines.
LINES_PER_S = 400.0
BURST_LINES = 1000.0
# Bytes that wait while the reader of the output is slow.
MAX_WAITING_BYTES = 65_536


class LogSink:
    """File-like output of lines to a descriptor.

    Lines above the rate, and lines for which a slow reader has no room, are
    dropped and counted; the next line that is written tells the count.

    Args:
        descriptor: Open descriptor; it is made non-blocking.
        now_s: Returns monotonic time in seconds.
    """

    # The logging library keeps a weak reference to its output.
    __slots__ = (
        "dropped",
        "_descriptor",
        "_now_s",
        "_bucket",
        "_waiting",
        "__weakref__",
    )

    def __init__(
        self, *, descriptor: int, now_s: typing.Callable[[], float]
    ) -> None:
        os.set_blocking(descriptor, False)
        # Lines that were not written.
        self.dropped = 0
        self._descriptor = descriptor
        self._now_s = now_s
        self._bucket = token_bucket.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES, now_s=now_s()
        )
        self._waiting = b""

    def write(self, text: str) -> None:
        """Writes lines or drops them."""
        if not self._bucket.take(1.0, now_s=self._now_s()):
            self.dropped += 1
            return
        data = text.encode("utf-8", "replace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            data = b"event='lines_dropped' total=%d\n" % self.dropped + data
        self._waiting += data
        self.flush()

    def flush(self) -> None:
        """Writes what waits, as far as the descriptor takes it."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            # The reader is slow; the rest waits for the next line.
            return
        except OSError:
            # There is no reader any more.
            self.dropped += 1
            self._waiting = b""
            return
        self._waiting = self._waiting[written:]
