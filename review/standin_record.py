"""Record of a case: what was sent, answered and run."""

from __future__ import annotations

import collections
import pathlib
import time


class Record:
    """Writes a line an event to a file and keeps what the checks need.

    Args:
        path: File that the lines are written to.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        # Times of the runs at upstreams, by request id.
        self.runs_by_id: dict[str, list[float]] = collections.defaultdict(list)
        # Status of the answer by request id; 0 for none.
        self.status_by_id: dict[str, int] = {}

    def now_s(self) -> float:
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._start_s

    def note(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def sent(self, id: str, front: str, what: str) -> None:
        """Records that a client has sent a request."""
        self.note(f"sent      {id} to {front}: {what}")

    def answered(self, id: str, status: int, detail: str = "") -> None:
        """Records the answer of a client attempt, 0 for none."""
        self.status_by_id[id] = status
        self.note(f"answered  {id} {status} {detail}".rstrip())

    def ran(self, id: str, upstream: str) -> None:
        """Records that an upstream has begun to run a request."""
        self.runs_by_id[id].append(self.now_s())
        self.note(f"run       {id} at {upstream}")
