"""Format of the idempotency keys that entries issue."""

from __future__ import annotations

import re

PREFIX = "fc1-"
_PATTERN = re.compile(r"fc1-([0-9a-f]{16})-(0|[1-9]\d{0,8})-(0|[1-9]\d{0,8})")


class IdempotencyKey:
    """An issued key, ``fc1-<incarnation>-<block>-<n>``.

    Args:
        incarnation: Incarnation of the entry that issued the key.
        block: Number of the block within the incarnation, from 0.
        number: Number of the key within the block, from 0.
    """

    __slots__ = ("incarnation", "block", "number")

    def __init__(self, *, incarnation: str, block: int, number: int) -> None:
        self.incarnation = incarnation
        self.block = block
        self.number = number

    def __str__(self) -> str:
        """Returns the key as it stands in the header."""
        return f"{block_prefix(self.incarnation, self.block)}-{self.number}"


def block_prefix(incarnation: str, block: int) -> str:
    """Returns the common prefix of all keys of a block."""
    return f"{PREFIX}{incarnation}-{block}"


def is_issued_form(text: str) -> bool:
    """Whether a key has the prefix of issued keys."""
    return text.startswith(PREFIX)


def parse(text: str) -> IdempotencyKey | None:
    """Parses an issued key.

    Each key has exactly one spelling, so that its text can be the name of
    its ledger record.

    Args:
        text: Value of the Idempotency-Key header without quotes.

    Returns:
        The key, or None if the text is malformed.
    """
    found = _PATTERN.fullmatch(text)
    if found is None:
        return None
    return IdempotencyKey(
        incarnation=found[1], block=int(found[2]), number=int(found[3])
    )
