"""Generation of incarnations, the identifiers of process starts."""

from __future__ import annotations

import random

_RANDOM_BITS = 24
_MILLISECONDS_PER_SECOND = 1000


def new_incarnation(*, rng: random.Random, wall_s: float) -> str:
    """Returns a new identifier for a process start.

    The leading digits encode the start time, so that later starts on a host
    sort after earlier ones. The random part distinguishes processes that
    start in the same millisecond.

    Args:
        rng: Source of randomness.
        wall_s: Unix time in seconds.

    Returns:
        Sixteen hexadecimal digits.
    """
    # The digits hold 40 bits of milliseconds, which wrap around after 34.8
    # years, next in September 2039.
    milliseconds = int(wall_s * _MILLISECONDS_PER_SECOND) & (2**40 - 1)
    random_part = rng.getrandbits(_RANDOM_BITS)
    return f"{(milliseconds << _RANDOM_BITS) | random_part:016x}"
