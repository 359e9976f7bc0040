"""Membership and configuration of one process of the fleet.

Kept apart from the programs so that tests and benches can run it on
in-memory adapters and virtual time.
"""

from __future__ import annotations

import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import config_agent
from fuchsiacourse import config_table
from fuchsiacourse import datagram as datagrams
from fuchsiacourse import gossip
from fuchsiacourse import identity
from fuchsiacourse import in_force
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import peers as peer_ports
from fuchsiacourse import settings as settings_files
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services


class Node:
    """Membership, gossip and configuration, common to entry and dispatch.

    Args:
        settings: Settings of the program.
        role: ``entry`` or ``dispatch``.
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of randomness.
        datagram: Endpoint on the gossip network.
        store: Object API of the platform.
        peers: RPC client to other processes.
        log: Logger.
        metrics: Metrics of the process; None to record nothing.
        on_broken: Called for each broken invariant; None for no callback.
    """

    def __init__(
        self,
        *,
        settings: settings_files.NodeSettings,
        role: str,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        datagram: datagrams.DatagramEndpoint,
        store: stores.Store,
        peers: peer_ports.Peers,
        log: typing.Any,
        metrics: metric_tables.Metrics | None = None,
        on_broken: invariant_checks.OnBroken | None = None,
    ) -> None:
        self.members = member_tables.Members(
            self_row=_own_row(settings, role, clock, rng)
        )
        self.invariants = invariant_checks.Invariants(
            log=log, on_broken=on_broken
        )
        self.config = config_table.ConfigTable(invariants=self.invariants)
        self.gossip = gossip.Gossip(
            clock=clock,
            timers=timers,
            rng=rng,
            members=self.members,
            datagram=datagram,
            store=store,
            seeds=settings.seeds,
            deployment_key=settings.deployment_key,
            log=log,
            metrics=metrics,
        )
        self.config_agent = config_agent.ConfigAgent(
            clock=clock,
            timers=timers,
            rng=rng,
            members=self.members,
            config=self.config,
            store=store,
            peers=peers,
            gossip=self.gossip,
            log=log,
        )
        self._reporter = in_force.InForceReporter(
            clock=clock,
            timers=timers,
            rng=rng,
            members=self.members,
            store=store,
            log=log,
        )
        self._announced_state = member_rows.State.ALIVE
        self.members.subscribe(self._announce_own_state)
        self.gossip.on_config_number(self.config_agent.on_number)

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and no shutdown has begun."""
        state = self.members.self.state
        return self.config.number > 0 and state is member_rows.State.ALIVE

    def start(self) -> None:
        """Starts gossip and the tasks of configuration and reports."""
        self.gossip.start()
        self.config_agent.start()
        self._reporter.start()

    def set_state(self, state: member_rows.State) -> None:
        """Changes the state of this process and notifies subscribers.

        LEAVING and LEFT are also announced to the fleet by gossip.
        """
        row = self.members.self
        row.state = state
        row.sequence += 1
        self.members.notify(row)

    def close(self) -> None:
        """Stops all activity without announcing a state to the fleet."""
        self._reporter.close()
        self.config_agent.close()
        self.gossip.close()

    def _announce_own_state(self, row: member_rows.Member) -> None:
        if row is not self.members.self or row.state is self._announced_state:
            return
        if row.state in (
            member_rows.State.LEAVING,
            member_rows.State.LEFT,
        ):
            self._announced_state = row.state
            self.gossip.announce(row.state, row.successor)


def _own_row(
    settings: settings_files.NodeSettings,
    role: str,
    clock: clocks.Clock,
    rng: random.Random,
) -> member_rows.Member:
    return member_rows.Member(
        id=identity.new_incarnation(rng=rng, wall_s=clock.wall()),
        role=role,
        host=settings.host,
        availability_zone=settings.availability_zone,
        region=settings.region,
        gossip_address=settings.gossip_address,
        rpc_address=settings.rpc_address,
        http_address=getattr(settings, "http_address", ""),
    )
