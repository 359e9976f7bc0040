"""Seal that stops a process from running new idempotency keys.

Separate from the ledger because the request path, the shutdown and the
hand-over share it.
"""

from __future__ import annotations

import asyncio


class LedgerSeal:
    """Tells whether this process may run new keys.

    A seal is permanent: a successor may hold the ledger even if its
    acknowledgement was lost.
    """

    def __init__(self) -> None:
        self._successor: asyncio.Future[str] | None = None

    @property
    def is_sealed(self) -> bool:
        """Whether new keys must not be run here."""
        return self._successor is not None

    @property
    def successor(self) -> asyncio.Future[str]:
        """Future with the id of the member that took the ledger over.

        It resolves at the end of the hand-over; the id is empty if no
        member acknowledged the whole ledger.

        Raises:
            RuntimeError: The ledger is not sealed.
        """
        if self._successor is None:
            raise RuntimeError("the ledger is not sealed")
        return self._successor

    def seal(self) -> None:
        """Seals the ledger; later calls have no effect."""
        if self._successor is None:
            self._successor = asyncio.get_running_loop().create_future()

    def set_successor(self, successor: str) -> None:
        """Resolves the future of the successor.

        Args:
            successor: Member id that runs new keys from now on; empty if
                there is none.
        """
        if not self.successor.done():
            self.successor.set_result(successor)
