"""Row of the member table: one process of the fleet as a peer knows it."""

from __future__ import annotations

import enum


class State(enum.Enum):
    """State of a member in gossip."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


class Member:
    """Row of the member table.

    Args:
        id: Incarnation of the process, unique for each process start.
        role: ``entry`` or ``dispatch``.
        host: IP address of the host.
        availability_zone: Zone of the host.
        region: Region of the host.
        gossip_address: Address for gossip packets.
        rpc_address: Address for calls between processes.
        http_address: Address for callers; empty for dispatch.
        state: Last known state.
        sequence: Version of the state; raised only by the member itself.
        config_number: Number of the configuration in force there.
        successor: Identifier of the member that took over its ledger;
            empty if none.
    """

    __slots__ = (
        "id",
        "role",
        "host",
        "availability_zone",
        "region",
        "gossip_address",
        "rpc_address",
        "http_address",
        "state",
        "sequence",
        "config_number",
        "successor",
        "state_since",
    )

    def __init__(
        self,
        *,
        id: str,
        role: str,
        host: str,
        availability_zone: str,
        region: str,
        gossip_address: str,
        rpc_address: str,
        http_address: str = "",
        state: State = State.ALIVE,
        sequence: int = 0,
        config_number: int = 0,
        successor: str = "",
    ) -> None:
        self.id = id
        self.role = role
        self.host = host
        self.availability_zone = availability_zone
        self.region = region
        self.gossip_address = gossip_address
        self.rpc_address = rpc_address
        self.http_address = http_address
        self.state = state
        self.sequence = sequence
        self.config_number = config_number
        self.successor = successor
        # Monotonic time of the last change of state, in seconds.
        self.state_since = 0.0

    @property
    def is_gone(self) -> bool:
        """Whether the process has left or is considered dead."""
        return self.state in (State.LEFT, State.DEAD)
