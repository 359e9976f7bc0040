"""Evidence against one target."""

from __future__ import annotations


class Score:
    """The strongest evidence against a target.

    Args:
        value: Sum of log-likelihood ratios.
        reason: ``latency`` or ``errors``.
        kind: Request kind, or ALL_KINDS.
    """

    __slots__ = ("value", "reason", "kind")

    def __init__(self, *, value: float, reason: str, kind: str) -> None:
        self.value = value
        self.reason = reason
        self.kind = kind
