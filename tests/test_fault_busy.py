"""Tests of the busy processes of the fault soak."""

import os
import unittest

from bench import fault_busy


class BusyProcessesTest(unittest.TestCase):
    """Guards against busy processes that outlast a run."""

    def test_processes_run_until_they_are_stopped(self):
        """Guards against a process that is not started or not ended."""
        busy = fault_busy.BusyProcesses(count=2)
        busy.start()
        ids = [process.pid for process in busy._processes]
        for id in ids:
            os.kill(id, 0)
        busy.stop()
        for id in ids:
            with self.assertRaises(ProcessLookupError):
                os.kill(id, 0)
        busy.stop()
