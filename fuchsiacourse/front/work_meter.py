"""Decides how fast one connection may go on, from the work it causes.

Covers messages in tiny parts (chunks of a few bytes, header lines without
end), which cost far more processor time and memory than their bytes.
"""

from __future__ import annotations

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import work_share

# Bytes of content that pay for one part: parsing a larger part costs less than
# copying its bytes.
BYTES_PER_PART = 512
# Unpaid parts that a connection may cause without a pause, at once and per
# second.
FREE_PARTS = 1_000.0
FREE_PARTS_PER_S = 200.0
# Most unpaid parts of one message. An upload of 1 MB in chunks of 10 bytes has
# half of them.
MAX_MESSAGE_PARTS = 200_000


class WorkMeter:
    """Counts the parts that one connection's messages consist of.

    Args:
        clock: Source of time.
        share: Share of the front's work that all connections divide.
    """

    __slots__ = (
        "_clock",
        "_share",
        "_free_parts",
        "_counted_at_s",
        "message_parts",
        "parts",
        "content_bytes",
    )

    def __init__(
        self, *, clock: clocks.Clock, share: work_share.WorkShare
    ) -> None:
        self._clock = clock
        self._share = share
        self._free_parts = FREE_PARTS
        self._counted_at_s = clock.now()
        # Unpaid parts of the current message.
        self.message_parts = 0.0
        # Parts and bytes of content of the connection, for the logs.
        self.parts = 0
        self.content_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the current message has too many parts to go on."""
        return self.message_parts > MAX_MESSAGE_PARTS

    def begin_message(self) -> None:
        """Records that a new message begins."""
        self.message_parts = 0.0

    def charge(self, parts: int, content_bytes: int) -> float:
        """Counts parsed parts.

        Args:
            parts: Number of body parts, header lines, trailers and heads.
            content_bytes: Bytes of the bodies among them.

        Returns:
            Time for which the connection must not be read, in seconds.
        """
        self.parts += parts
        self.content_bytes += content_bytes
        unpaid = parts - content_bytes / BYTES_PER_PART
        self.message_parts = max(0.0, self.message_parts + unpaid)
        if unpaid <= 0.0:
            return 0.0
        now_s = self._clock.now()
        earned = (now_s - self._counted_at_s) * FREE_PARTS_PER_S
        self._counted_at_s = now_s
        free = min(FREE_PARTS, self._free_parts + earned)
        self._free_parts = max(0.0, free - unpaid)
        if unpaid <= free:
            return 0.0
        return self._share.charge(unpaid - free)
