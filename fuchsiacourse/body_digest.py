"""Digest that detects truncated or altered bodies."""

from __future__ import annotations

import hashlib


def digest(body: bytes) -> str:
    """Returns the SHA-256 of a body in hex."""
    return hashlib.sha256(body).hexdigest()
