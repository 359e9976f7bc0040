"""Limits the work for answers of targets, of the store and of peers."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import answer_budget
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share
from fuchsiacourse import logs

# Bytes that are read from a connection at a time. They may have to wait until
# they are parsed.
READ_BYTES = 65_536


class AnswerLimits:
    """What all connections on which a front gets answers have in common.

    Args:
        clock: Source of time.
        work: Share of the front's work that all connections divide.
        metrics: Metrics of the front.
        log: Logger.
    """

    __slots__ = (
        "budget",
        "read_buffer",
        "_clock",
        "_work",
        "_metrics",
        "_log",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        work: work_share.WorkShare,
        metrics: front_metrics.FrontMetrics,
        log: typing.Any,
    ) -> None:
        # Memory for long answers.
        self.budget = answer_budget.AnswerBudget()
        # Buffer into which each connection reads; it is emptied at once.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._clock = clock
        self._work = work
        self._metrics = metrics
        self._log = log

    def meter(self) -> work_meter.WorkMeter:
        """Returns the meter of a new connection."""
        return work_meter.WorkMeter(clock=self._clock, share=self._work)

    def record_dropped(
        self,
        source: str,
        error: errors.AnswerLimitExceeded,
        *,
        read_bytes: int,
        parts: int,
    ) -> None:
        """Logs and counts an answer that is dropped for its cost.

        Args:
            source: Target, store or peer that sent it.
            error: The limit that it exceeds.
            read_bytes: Bytes that were read from the connection.
            parts: Body parts, header lines, trailers and heads among them.
        """
        self._metrics.count("front_answers_dropped_total", limit=error.limit)
        logs.warning(
            self._log,
            "answer_dropped",
            target=source,
            limit=error.limit,
            value=error.value,
            bytes=read_bytes,
            parts=parts,
        )
