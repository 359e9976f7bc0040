"""Reads JSON of which parts can't be read."""

from __future__ import annotations

import json
import re
import typing

# Nesting from which a value is replaced by null. The platform's objects are
# nested less than ten levels deep, in lists with three levels more.
MAX_DEPTH = 64
# Digits of a whole number from which it is replaced by null; 64 bits need 20.
MAX_DIGITS = 20

# Exceptions that reading values of a malformed content raises.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_STRUCTURE = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def loads(data: bytes) -> typing.Any:
    """Returns the value of a JSON text.

    If it can't be read as a whole, values that are nested too deeply and
    numbers that are too long are read as null, and bytes that are no UTF-8 as
    replacement characters.

    Raises:
        ValueError: The text is malformed.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = _without_deep_values(data.decode("utf-8", "replace"))
        return json.loads(text, parse_int=_int_or_none)


def _int_or_none(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_DIGITS else None


def _without_deep_values(text: str) -> str:
    parts = []
    depth = kept_until = 0
    for match in _STRUCTURE.finditer(text):
        token = match.group()
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[kept_until : match.start()])
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                parts.append("null")
                kept_until = match.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("a value is nested too deeply and has no end")
    parts.append(text[kept_until:])
    return "".join(parts)
