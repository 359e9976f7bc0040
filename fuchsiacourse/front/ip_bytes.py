"""Converts IP addresses between text and bytes, with a cache.

Fronts exchange each address many times a second.
"""

from __future__ import annotations

import functools
import ipaddress

_MAX_CACHED = 16_384


@functools.lru_cache(maxsize=_MAX_CACHED)
def to_bytes(ip: str) -> bytes:
    """Returns the four bytes of an IPv4 address.

    Raises:
        ValueError: The text is not an IPv4 address.
    """
    return ipaddress.IPv4Address(ip).packed


@functools.lru_cache(maxsize=_MAX_CACHED)
def to_text(data: bytes) -> str:
    """Returns the text of an IPv4 address.

    Raises:
        ValueError: It doesn't have four bytes.
    """
    return str(ipaddress.IPv4Address(data))
