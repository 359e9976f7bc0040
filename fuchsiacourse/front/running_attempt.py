"""An attempt of a request that is in progress."""

from __future__ import annotations

import asyncio

from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender


class RunningAttempt:
    """An attempt in progress and the data needed to record its end.

    Args:
        target: Target to which the request was sent.
        task: Task that returns the result of the attempt.
        started_s: Monotonic time of the start in seconds.
        kind: How the attempt counts against the retry budget.
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
        # Whether it has run unusually long, see request_run.LATE_FACTOR.
        self.is_late = False
