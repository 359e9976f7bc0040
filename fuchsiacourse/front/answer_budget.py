"""Limits the memory for the long answers that a front receives."""

from __future__ import annotations

from fuchsiacourse.front import body_stream

# Bytes that all long answers in progress may buffer together. Each of them is
# in memory up to four times: parsed, streamed, unparsed and written.
MAX_BYTES = 4_000_000
# Bytes that an answer may buffer however many there are; longer answers count
# as long.
MIN_SHARE_BYTES = 32_768


class AnswerBudget:
    """Divides the memory evenly among the long answers in progress."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers = 0

    @property
    def share_bytes(self) -> int:
        """Bytes that each long answer may buffer now."""
        share = MAX_BYTES // max(1, self._answers)
        return min(body_stream.HIGH_WATER_BYTES, max(MIN_SHARE_BYTES, share))

    def add(self) -> None:
        """Records that an answer has become long."""
        self._answers += 1

    def remove(self) -> None:
        """Records that a long answer has ended."""
        self._answers -= 1
