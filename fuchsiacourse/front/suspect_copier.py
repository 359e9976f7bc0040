"""Copies suspected requests from peers when a front starts.

A front that starts has seen no crash, and would let a request that the other
fronts block crash more targets.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import crash_suspects
from fuchsiacourse.front import peer_table
from fuchsiacourse.front import suspect_exchange
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

# Times after the start at which a peer is asked, in seconds. The first peers
# are known after some tenths of a second, and a peer may have started anew as
# well.
ASK_AT_S = (0.3, 0.8, 1.6, 2.5)


class SuspectCopier:
    """Asks some peers after the start which requests they suspect.

    Args:
        timers: Timer service.
        rng: Source of randomness.
        peers: The other fronts.
        source: Fetches what they know.
        suspects: Requests that this front suspects.
        log: Logger.
    """

    __slots__ = ("_timers", "_rng", "_peers", "_source", "_suspects", "_log")

    def __init__(
        self,
        *,
        timers: timer_services.Timers,
        rng: random.Random,
        peers: peer_table.PeerTable,
        source: suspect_exchange.SuspectSource,
        suspects: crash_suspects.CrashSuspects,
        log: typing.Any,
    ) -> None:
        self._timers = timers
        self._rng = rng
        self._peers = peers
        self._source = source
        self._suspects = suspects
        self._log = log

    def start(self) -> None:
        """Begins to ask peers."""
        asked: set[str] = set()
        for delay_s in ASK_AT_S:
            self._timers.after(delay_s, lambda: self._ask(asked))

    def _ask(self, asked: set[str]) -> None:
        """Asks a peer that was not asked before.

        A peer of the zone is asked first, because it is the nearest.
        """
        live = [peer for peer in self._peers.live() if peer.ip not in asked]
        near = [peer for peer in live if peer.zone == self._peers.zone]
        if not live:
            return
        chosen = self._rng.choice(near if near and not asked else live)
        asked.add(chosen.ip)
        self._timers.spawn(self._copy_from(chosen.ip))

    async def _copy_from(self, ip: str) -> None:
        try:
            found = await self._source.fetch(ip)
        except errors.PeerError as error:
            logs.warning(
                self._log, "suspects_not_given", front=ip, error=str(error)
            )
            return
        blocked = self._suspects.merge(found)
        logs.event(
            self._log,
            "suspects_taken",
            front=ip,
            requests=len(found),
            newly_blocked=blocked,
        )
