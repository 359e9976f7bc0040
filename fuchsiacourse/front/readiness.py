"""Decides whether a front tells callers to use it."""

from __future__ import annotations

import typing


class Readiness:
    """State of this front on which its readiness depends.

    Args:
        has_config: Whether a configuration is in force.
        has_targets: Whether the targets are known.
        is_cut_off: Whether this front reaches no target while others do.
        is_stopping: Whether a shutdown has begun.
        has_failed_follower: Whether a fault of this front's own keeps it from
            following the store.
        has_ready_peer: Returns whether another front serves callers.
    """

    __slots__ = (
        "has_config",
        "has_targets",
        "is_cut_off",
        "is_stopping",
        "has_failed_follower",
        "has_ready_peer",
    )

    def __init__(
        self,
        *,
        has_config: bool,
        has_targets: bool,
        is_cut_off: bool,
        is_stopping: bool,
        has_failed_follower: bool,
        has_ready_peer: typing.Callable[[], bool],
    ) -> None:
        self.has_config = has_config
        self.has_targets = has_targets
        self.is_cut_off = is_cut_off
        self.is_stopping = is_stopping
        self.has_failed_follower = has_failed_follower
        self.has_ready_peer = has_ready_peer

    @property
    def is_ready(self) -> bool:
        """Whether callers are to use this front.

        A front that no longer follows the store works with an old state, so
        another one is the better choice. If a fault hits all fronts alike,
        an old state is better than none, and they stay ready.
        """
        if not self.has_config or not self.has_targets:
            return False
        if self.is_cut_off or self.is_stopping:
            return False
        return not self.has_failed_follower or not self.has_ready_peer()
