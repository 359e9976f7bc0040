"""Digest that shows that a body arrived whole."""

from __future__ import annotations

import hashlib


def digest(body: bytes) -> str:
    """Returns the SHA-256 of a body in hexadecimal digits."""
    return hashlib.sha256(body).hexdigest()
