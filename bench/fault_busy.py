"""Busy processes that compete with the fault soak for the processors."""

from __future__ import annotations

import os
import subprocess
import sys

# A loop that ends with the process that started it.
_LOOP = "import os\nwhile os.getppid() == {parent}:\n    sum(range(10_000))"


class BusyProcesses:
    """Starts and ends processes that use a processor each.

    Args:
        count: Number of processes.
    """

    def __init__(self, *, count: int) -> None:
        self._count = count
        self._processes: list[subprocess.Popen] = []

    def start(self) -> None:
        """Starts the processes."""
        loop = _LOOP.format(parent=os.getpid())
        self._processes = [
            subprocess.Popen([sys.executable, "-c", loop])
            for _ in range(self._count)
        ]

    def stop(self) -> None:
        """Ends the processes, by their ids."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._processes = []
