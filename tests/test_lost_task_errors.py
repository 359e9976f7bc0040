"""Tests of the plugin that notices lost exceptions of tasks."""

import asyncio
import types
import unittest

from nose2 import result

from bench import lost_task_errors


class LostTaskErrorsTest(unittest.TestCase):
    """Guards against a green run in which a task fails unnoticed."""

    def setUp(self) -> None:
        self.plugin = lost_task_errors.LostTaskErrors()
        self.event = types.SimpleNamespace(
            outcome=result.PASS, exc_info=None, expected=True
        )

    def tearDown(self) -> None:
        # The plugin of this run has seen the same report.
        for handler in list(lost_task_errors.asyncio_log().handlers):
            if isinstance(handler, lost_task_errors.LostErrorHandler):
                handler.take()
        lost_task_errors.asyncio_log().removeHandler(self.plugin.handler)

    def run_task(self, is_awaited: bool) -> None:
        async def fail():
            raise ValueError("lost")

        async def main():
            task = asyncio.ensure_future(fail())
            await asyncio.wait((task,))
            if is_awaited:
                task.exception()

        asyncio.run(main())

    def test_lost_exception_fails_the_test(self):
        self.run_task(is_awaited=False)
        self.plugin.setTestOutcome(self.event)
        self.assertEqual(result.FAIL, self.event.outcome)
        self.assertFalse(self.event.expected)
        self.assertIn("never retrieved", str(self.event.exc_info[1]))

    def test_retrieved_exception_is_no_failure(self):
        self.run_task(is_awaited=True)
        self.plugin.setTestOutcome(self.event)
        self.assertEqual(result.PASS, self.event.outcome)

    def test_failure_of_the_test_itself_is_kept(self):
        """Guards against a report that hides why the test has failed."""
        self.event.outcome = result.ERROR
        self.run_task(is_awaited=False)
        self.plugin.setTestOutcome(self.event)
        self.assertEqual(result.ERROR, self.event.outcome)
