"""Tests of bench.virtual_loop."""

import asyncio
import unittest

from bench import virtual_loop


class VirtualLoopTest(unittest.TestCase):
    """A run must not leave pending tasks behind."""

    def test_task_that_starts_at_the_end_is_not_left_pending(self):
        """Guards against a pending task that a cancelled task has started."""
        started: list[asyncio.Task] = []

        async def restart():
            try:
                await asyncio.sleep(9.0)
            finally:
                started.append(asyncio.ensure_future(asyncio.sleep(9.0)))

        async def main():
            started.append(asyncio.ensure_future(restart()))
            await asyncio.sleep(0.25)

        virtual_loop.run(main())
        self.assertEqual([True, True], [task.done() for task in started])
