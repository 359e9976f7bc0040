"""Idempotency keys that entries issue."""

from __future__ import annotations

import re

PREFIX = "fc1-"
_PATTERN = re.compile(r"fc1-([0-9a-f]{16})-(0|[1-9]\d{0,8})-(0|[1-9]\d{0,8})")


class IdempotencyKey:
    """A key ``fc1-<incarnation>-<block>-<n>``.

    Args:
        incarnation: Process start that issued the key.
        block: Number of the block within the incarnation.
        number: Number of the key within the block, from 0.
    """

    __slots__ = ("incarnation", "block", "number")

    def __init__(self, *, incarnation: str, block: int, number: int) -> None:
        self.incarnation = incarnation
        self.block = block
        self.number = number

    def __str__(self) -> str:
        """Returns the text of the key."""
        return f"{block_prefix(self.incarnation, self.block)}-{self.number}"


def block_prefix(incarnation: str, block: int) -> str:
    """Returns the part that all keys of a block share."""
    return f"{PREFIX}{incarnation}-{block}"


def is_issued_form(text: str) -> bool:
    """Whether a key claims to have been issued by an entry."""
    return text.startswith(PREFIX)


def parse(text: str) -> IdempotencyKey | None:
    """Reads an issued key.

    Each key has one spelling only, so that its text can serve as the name
    of its ledger record.

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
