"""Defines the score of one target."""

from __future__ import annotations


class Score:
    """Holds the strongest evidence against a target.

    Args:
        value: Sum of log-likelihood ratios.
        reason: ``latency`` or ``errors``; empty without evidence.
        kind: Name of the request kind, or ``detector.ALL_KINDS``.
    """

    __slots__ = ("value", "reason", "kind")

    def __init__(self, *, value: float, reason: str, kind: str) -> None:
        self.value = value
        self.reason = reason
        self.kind = kind
