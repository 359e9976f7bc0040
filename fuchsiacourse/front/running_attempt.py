"""A sending of a request that is under way."""

from __future__ import annotations

import asyncio

from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender


class RunningAttempt:
    """A sending and what is needed at its end.

    Args:
        target: Where the request was sent.
        task: Ends with the result.
        started_s: Monotonic time of the start in seconds.
        kind: How the sending counts.
    """

    __slots__ = ("target", "task", "started_s", "kind", "is_late")

    def __init__(
        self,
        *,
        target: targets.Target,
        task: asyncio.Task[target_sender.AttemptResult],
        started_s: float,
        kind: evidences.AttemptKind,
    ) -> None:
        self.target = target
        self.task = task
        self.started_s = started_s
        self.kind = kind
        # Whether it has taken unusually long.
        self.is_late = False
