"""Non-blocking, rate-limited output for log lines."""

from __future__ import annotations

import os
import typing

from fuchsiacourse import token_bucket

# Sustained rate of log lines per second, and the largest burst. A request
# writes about four lines.
LINES_PER_S = 400.0
BURST_LINES = 1000.0
# Most bytes that are buffered while the reader of the output is slow.
MAX_BUFFERED_BYTES = 65_536


class LogSink:
    """Writes lines to a file descriptor without ever blocking.

    Lines above the rate limit, and lines that don't fit into the buffer
    because the reader is slow, are dropped and counted. Each line written
    after a drop is preceded by a line with the total count.

    Args:
        descriptor: Open file descriptor; it is made non-blocking.
        now_s: Returns monotonic time in seconds.
    """

    # The logging library keeps a weak reference to its output stream.
    __slots__ = (
        "dropped",
        "_descriptor",
        "_now_s",
        "_bucket",
        "_buffer",
        "__weakref__",
    )

    def __init__(
        self, *, descriptor: int, now_s: typing.Callable[[], float]
    ) -> None:
        os.set_blocking(descriptor, False)
        # Number of lines that were not written.
        self.dropped = 0
        self._descriptor = descriptor
        self._now_s = now_s
        self._bucket = token_bucket.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES, now_s=now_s()
        )
        self._buffer = b""

    def write(self, text: str) -> None:
        """Writes a line, or drops and counts it."""
        if not self._bucket.take(1.0, now_s=self._now_s()):
            self.dropped += 1
            return
        data = text.encode("utf-8", "replace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            data = b"event='lines_dropped' total=%d\n" % self.dropped + data
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Writes buffered bytes, as many as the descriptor accepts."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            # The reader is slow; the next call tries again.
            return
        except OSError:
            # The reader has closed the other end.
            self.dropped += 1
            self._buffer = b""
            return
        self._buffer = self._buffer[written:]
