"""nose2 plugin that fails a test whose tasks lose an exception.

asyncio reports an exception that nobody has retrieved only in its log, when
the task is collected.
"""

from __future__ import annotations

import gc
import logging
import sys
import typing

from nose2 import events
from nose2 import result

_LOST_MARK = "exception was never retrieved"


def asyncio_log() -> logging.Logger:
    """Returns the log to which asyncio reports lost exceptions."""
    return logging.getLogger("asyncio")


class LostErrorHandler(logging.Handler):
    """Keeps the reports of lost exceptions."""

    def __init__(self) -> None:
        super().__init__(level=logging.ERROR)
        self.reports: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line of asyncio's log if it reports a lost exception."""
        text = record.getMessage()
        if _LOST_MARK in text:
            self.reports.append(text)

    def take(self) -> list[str]:
        """Collects unreachable tasks and returns the reports so far."""
        gc.collect()
        reports, self.reports = self.reports, []
        return reports


class LostTaskErrors(events.Plugin):
    """Turns the success of a test into a failure if an exception was lost.

    A task that the test case itself holds is collected during a later test,
    which fails in its place; the report names the coroutine.
    """

    alwaysOn = True

    def __init__(self) -> None:
        self.handler = LostErrorHandler()
        asyncio_log().addHandler(self.handler)

    def startTestRun(self, event: typing.Any) -> None:
        """Excludes the imported modules from the collections."""
        gc.freeze()

    def setTestOutcome(self, event: typing.Any) -> None:
        """Changes the outcome of a test that has lost an exception."""
        if event.outcome == result.SUBTEST:
            # The outcome of its test follows.
            return
        reports = self.handler.take()
        if not reports or event.outcome != result.PASS:
            return
        event.outcome = result.FAIL
        event.expected = False
        try:
            raise AssertionError("\n".join(reports))
        except AssertionError:
            event.exc_info = sys.exc_info()
