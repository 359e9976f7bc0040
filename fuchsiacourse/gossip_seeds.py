"""Discovery of members that are unknown or recorded as dead."""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

# Seconds between attempts to join, and addresses contacted in each.
JOIN_INTERVAL_S = 1.0
JOIN_FANOUT = 3

# Seconds between a member's reads of the host list. The deployment's reads
# per second are its number of members divided by this.
HOSTS_INTERVAL_S = 300.0
HOSTS_JITTER = 0.3

# Seconds between reads of the host list while no live peer is known.
HOSTS_ALONE_INTERVAL_S = 5.0

# Share of the contacts that repair a network partition that go to seeds and
# hosts instead of members known to be dead.
SEED_SHARE = 0.25


class GossipSeeds:
    """Contacts members found in the settings and the platform's host list.

    Args:
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of randomness.
        members: Table of members.
        store: Source of the host list; may be unavailable.
        seeds: Gossip addresses from the settings.
        contact: Asks the member at an address for its table.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        store: stores.Store,
        seeds: collections.abc.Sequence[str],
        contact: typing.Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._members = members
        self._store = store
        self._seeds = tuple(seeds)
        self._contact = contact
        self._host_addresses: tuple[str, ...] = ()

    def start(self) -> list[timer_services.TimerHandle]:
        """Starts joining and reading the host list; returns the timers."""
        return [
            self._timers.spawn(self._join()),
            self._timers.spawn(self._poll_host_list()),
        ]

    def choose_dead_member(self) -> member_rows.Member | None:
        """Returns a random dead member to probe, or None.

        For SEED_SHARE of the calls, and if no member is dead, contacts a
        seed or host without a known member instead, if there is one, and
        returns None.
        """
        dead = [
            row
            for row in self._members.by_id.values()
            if row.state is member_rows.State.DEAD
        ]
        unknown = self._unknown_addresses()
        if unknown and (not dead or self._rng.random() < SEED_SHARE):
            self._contact(self._rng.choice(unknown))
            return None
        return self._rng.choice(dead) if dead else None

    async def _join(self) -> None:
        while self._is_alone:
            unknown = self._unknown_addresses()
            count = min(JOIN_FANOUT, len(unknown))
            for address in self._rng.sample(unknown, count):
                self._contact(address)
            await self._clock.sleep(JOIN_INTERVAL_S)

    async def _poll_host_list(self) -> None:
        while True:
            try:
                hosts = await self._store.hosts()
            except errors.StoreError:
                hosts = None
            if hosts is not None:
                self._host_addresses = tuple(
                    item.address
                    for item in hosts
                    if item.address and not item.leaving
                )
            spread = HOSTS_JITTER * (2.0 * self._rng.random() - 1.0)
            interval_s = HOSTS_INTERVAL_S * (1.0 + spread)
            if self._is_alone:
                interval_s = HOSTS_ALONE_INTERVAL_S
            await self._clock.sleep(interval_s)

    @property
    def _is_alone(self) -> bool:
        return not any(
            row is not self._members.self and not row.is_gone
            for row in self._members.by_id.values()
        )

    def _unknown_addresses(self) -> list[str]:
        known = {
            row.gossip_address
            for row in self._members.by_id.values()
            if not row.is_gone
        }
        found = dict.fromkeys((*self._seeds, *self._host_addresses))
        return [address for address in found if address not in known]
