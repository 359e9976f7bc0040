"""Tests of the plugin that selects and counts tests."""

import contextlib
import io
import pathlib
import tempfile
import types
import unittest

from nose2 import result

from bench import test_selection


def outcome(kind: str, *, error=None, expected=True):
    """Returns an outcome event as the test runner sends it."""
    return types.SimpleNamespace(
        outcome=kind, exc_info=error, expected=expected
    )


def sample(name: str) -> unittest.TestCase:
    """Returns a test that can be selected but is never run."""
    return unittest.FunctionTestCase(lambda: None, description=name)


class SelectionTest(unittest.TestCase):
    """A wrong count would hide failures from CI."""

    def test_counts(self):
        """Guards against failures and failed subtests that aren't counted."""
        plugin = test_selection.TestSelection()
        for event in (
            outcome(result.PASS),
            outcome(result.SUBTEST),
            outcome(result.SUBTEST, error=(ValueError, None, None)),
            outcome(result.FAIL, expected=False),
            outcome(result.PASS, expected=False),
            outcome(result.SKIP),
        ):
            plugin.testOutcome(event)
        self.assertEqual((1, 3), (plugin.passed, plugin.failed))

    def test_known_failure_is_removed_by_its_exact_name(self):
        """Guards against removing tests that are not listed."""
        plugin = test_selection.TestSelection()
        tests = [sample("one"), sample("two")]
        tests[0].id = lambda: "tests.one"
        tests[1].id = lambda: "tests.one_more"
        kept = plugin._without(unittest.TestSuite(tests), {"tests.one"})
        self.assertEqual(["tests.one_more"], [test.id() for test in kept])

    def test_unknown_name_is_printed(self):
        """Guards against a listed test that no longer exists unnoticed."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "KNOWN-RED.txt")
            path.write_text("# comment\ntest: tests.gone\nsaw: x\n")
            self.assertEqual(["tests.gone"], test_selection.listed_tests(path))
        plugin = test_selection.TestSelection()
        event = types.SimpleNamespace(suite=unittest.TestSuite())
        output = io.StringIO()
        original = test_selection.listed_tests
        test_selection.listed_tests = lambda: ["tests.gone"]
        self.addCleanup(setattr, test_selection, "listed_tests", original)
        with contextlib.redirect_stdout(output):
            plugin.startTestRun(event)
        self.assertIn("there is no such test: tests.gone", output.getvalue())
