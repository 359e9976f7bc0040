"""End of a process's right to run new keys."""

from __future__ import annotations

import asyncio


class LedgerSeal:
    """Says whether new keys may still be run here.

    Once sealed it never opens again: a successor may hold the ledger even
    if its acknowledgement was lost.
    """

    def __init__(self) -> None:
        self._successor: asyncio.Future[str] | None = None

    @property
    def is_sealed(self) -> bool:
        """Whether no new key may be run."""
        return self._successor is not None

    @property
    def successor(self) -> asyncio.Future[str]:
        """Member that took the ledger over; empty if none is known to.

        Done at the end of the hand-over.
        """
        if self._successor is None:
            raise RuntimeError("the ledger is not sealed")
        return self._successor

    def seal(self) -> None:
        """Seals the ledger."""
        if self._successor is None:
            self._successor = asyncio.get_running_loop().create_future()

    def set_successor(self, successor: str) -> None:
        """Tells those who wait where new keys are run from now on."""
        if not self.successor.done():
            self.successor.set_result(successor)
