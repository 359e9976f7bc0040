"""nose2 plugin that skips known failing tests and counts outcomes."""

from __future__ import annotations

import pathlib
import typing
import unittest

from nose2 import events
from nose2 import result

KNOWN_FAILURES_PATH = pathlib.Path("KNOWN-RED.txt")
_TEST_MARK = "test: "


def listed_tests(path: pathlib.Path = KNOWN_FAILURES_PATH) -> list[str]:
    """Returns the ids of the tests that the list names as known to fail."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_TEST_MARK).strip()
        for line in lines
        if line.startswith(_TEST_MARK)
    ]


class TestSelection(events.Plugin):
    """Removes tests listed in KNOWN-RED.txt and counts the others' outcomes.

    Prints the removed tests and listed tests that don't exist.
    """

    alwaysOn = True

    def __init__(self) -> None:
        self.skipped: list[str] = []
        self.passed = 0
        self.failed = 0

    def startTestRun(self, event: typing.Any) -> None:
        """Removes the listed tests from the suite and prints them."""
        listed = set(listed_tests())
        event.suite = self._without(event.suite, listed)
        for test_id in self.skipped:
            print(f"known red, not run: {test_id}")
        for test_id in sorted(listed - set(self.skipped)):
            print(f"known red, but there is no such test: {test_id}")

    def testOutcome(self, event: typing.Any) -> None:
        """Counts the outcome of a test, a subtest or a failed import."""
        if event.outcome == result.PASS and event.expected:
            self.passed += 1
        elif event.outcome == result.SUBTEST:
            # Counts only failed subtests; their test reports no outcome.
            self.failed += event.exc_info is not None
        elif event.outcome != result.SKIP:
            self.failed += 1

    def _without(
        self, suite: unittest.TestSuite, listed: set[str]
    ) -> unittest.TestSuite:
        kept = unittest.TestSuite()
        for item in suite:
            if isinstance(item, unittest.TestSuite):
                kept.addTest(self._without(item, listed))
            elif item.id() in listed:
                self.skipped.append(item.id())
            else:
                kept.addTest(item)
        return kept
