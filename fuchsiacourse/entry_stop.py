"""Graceful shutdown of an entry process."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import hand_over as hand_overs
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import ledger_seal
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import settings as setting_models

# Callers may use an address list until it expires, and their last requests
# arrive a little later.
LIST_MARGIN_S = 1.0
# Time for gossip to announce the successor before the process exits.
LINGER_S = 2.0
# Minimum time for the hand-over, even if the requests in flight used up the
# time of the drain.
HAND_OVER_MIN_S = 10.0
# Interval at which the numbers of runs and requests are polled.
IDLE_POLL_S = 0.02

GetCount = typing.Callable[[], int]


class EntryStop:
    """Leaves the fleet without interrupting a request.

    Args:
        settings: Settings of the entry program.
        clock: Source of time.
        members: Member table; its own row announces the shutdown.
        sender: Sends the ledger to a successor.
        seal: Seal of the ledger, which is set before the hand-over.
        runs: Returns the number of runs in progress in the ledger.
        in_flight: Returns the number of requests in progress.
        invariants: Checks that no request is interrupted.
        log: Logger.

    Attributes:
        is_closed: Whether all further requests are refused.
    """

    def __init__(
        self,
        *,
        settings: setting_models.EntrySettings,
        clock: clocks.Clock,
        members: member_tables.Members,
        sender: hand_overs.HandOverSender,
        seal: ledger_seal.LedgerSeal,
        runs: GetCount,
        in_flight: GetCount,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._members = members
        self._sender = sender
        self._seal = seal
        self._runs = runs
        self._in_flight = in_flight
        self._invariants = invariants
        self._log = log
        self._task: asyncio.Future[None] | None = None
        self.is_closed = False

    async def run(self) -> None:
        """Runs the shutdown once; later calls wait for its end."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())
        await asyncio.shield(self._task)

    async def _run(self) -> None:
        until = self._clock.now() + self._settings.drain_max_s
        self._announce(member_rows.State.LEAVING)
        await self._clock.sleep(
            self._settings.address_list_ttl_s + LIST_MARGIN_S
        )
        self._seal.seal()
        await self._wait_while(self._runs, until)
        successor = await self._sender.send(
            until=max(until, self._clock.now() + HAND_OVER_MIN_S)
        )
        self._members.self.successor = successor
        self._announce(member_rows.State.LEFT)
        self._seal.set_successor(successor)
        await self._clock.sleep(LINGER_S)
        # Refuse requests that still arrive, so that the number in flight
        # reaches zero.
        self.is_closed = True
        await self._wait_while(self._in_flight, until)
        self._invariants.check(
            invariant_checks.InvariantId.GRACEFUL_STOP,
            self._in_flight() == 0,
            in_flight=self._in_flight(),
        )
        logs.event(self._log, "entry_drained", successor=successor)

    async def _wait_while(self, get_count: GetCount, until: float) -> None:
        while get_count() and self._clock.now() < until:
            await self._clock.sleep(IDLE_POLL_S)

    def _announce(self, state: member_rows.State) -> None:
        row = self._members.self
        row.state = state
        row.sequence += 1
        self._members.notify(row)
