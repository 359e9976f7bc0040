"""Projects the costs at the planned fleet size from measured slopes.

Each row is one line: name, value, unit, limit, and whether it is met.
"""

from __future__ import annotations

from bench import slope

NODES = 5_700
PROCESSES_PER_NODE = 2
REGIONS = 6
ZONES = 15
SERVICES = 1_900
SHARDS_PER_SERVICE = 2
TARGETS = 82_000
ACCOUNTS = 290_000
ENTRIES_PER_ACCOUNT = 3
CHANGES_PER_S = 3_500 / 86_400
# 6,000 replacements and 89 failures a day, each a leave and a join of the
# node's two processes.
EVENTS_PER_S = (6_000 + 89) * 2 * PROCESSES_PER_NODE / 86_400

CPU_LIMIT_US = 29_000.0
MEMORY_LIMIT_MB = 64.0
BYTES_LIMIT = 3_000.0
WRITES_LIMIT = 300.0
READS_LIMIT = 2_000.0

_MB = 1e6


class CapacityRow:
    """One cost at the planned fleet size.

    Args:
        name: Name of the cost.
        value: Cost.
        unit: Unit of the cost.
        limit: Maximum of the cost; None for a part of a sum.
    """

    __slots__ = ("name", "value", "unit", "limit")

    def __init__(
        self, *, name: str, value: float, unit: str, limit: float | None = None
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.limit = limit

    def line(self) -> str:
        """Returns the row as a line of key=value pairs."""
        limit = "none" if self.limit is None else f"{self.limit:g}"
        met = self.limit is None or self.value <= self.limit
        return (
            f"row={self.name} value={self.value:.4g} unit={self.unit}"
            f" limit={limit} met={'yes' if met else 'no'}"
        )


def rows(slopes_by_name: dict[str, slope.Slope]) -> list[CapacityRow]:
    """Returns the costs of one node and the platform's call rates."""
    members = NODES * PROCESSES_PER_NODE
    in_region = members / REGIONS
    return [
        *_gossip(slopes_by_name, "all", members, EVENTS_PER_S),
        *_gossip(slopes_by_name, "region", in_region, EVENTS_PER_S / REGIONS),
        *_memory(slopes_by_name, members),
        *_processor(slopes_by_name, members),
        *_platform(),
    ]


def _gossip(
    slopes_by_name: dict[str, slope.Slope],
    scope: str,
    members: float,
    events_per_s: float,
) -> list[CapacityRow]:
    steady = slopes_by_name["gossip_bytes_per_s"].at(members)
    churn = slopes_by_name["gossip_bytes_per_event"].at(members)
    return [
        CapacityRow(
            name=f"gossip_bytes_node_{scope}",
            value=PROCESSES_PER_NODE * (steady + churn * events_per_s),
            unit="B/s",
            limit=BYTES_LIMIT,
        )
    ]


def _memory(
    slopes_by_name: dict[str, slope.Slope], members: float
) -> list[CapacityRow]:
    accounts = ACCOUNTS * ENTRIES_PER_ACCOUNT / NODES
    parts = {
        "members": PROCESSES_PER_NODE
        * slopes_by_name["member_row"].at(members),
        "config": PROCESSES_PER_NODE
        * slopes_by_name["config_memory"].at(SERVICES),
        "targets": slopes_by_name["target_memory"].at(TARGETS / NODES),
        "accounts": slopes_by_name["account_memory"].slope * accounts,
    }
    found = [
        CapacityRow(name=f"memory_{name}", value=value / _MB, unit="MB")
        for name, value in parts.items()
    ]
    total = CapacityRow(
        name="memory_control_node",
        value=sum(parts.values()) / _MB,
        unit="MB",
        limit=MEMORY_LIMIT_MB,
    )
    return [*found, total]


def _processor(
    slopes_by_name: dict[str, slope.Slope], members: float
) -> list[CapacityRow]:
    change_us = slopes_by_name["config_change"].at(SERVICES)
    owned = TARGETS / NODES
    parts = {
        "gossip": PROCESSES_PER_NODE
        * slopes_by_name["gossip_cpu_per_s"].at(members),
        "config": PROCESSES_PER_NODE
        * CHANGES_PER_S
        * (change_us + slopes_by_name["config_parse"].slope),
        "rest_and_probes": slopes_by_name["entry_cpu_at_rest"].at(0)
        + slopes_by_name["dispatch_cpu_at_rest"].at(owned),
    }
    found = [
        CapacityRow(name=f"cpu_{name}", value=value, unit="us/s")
        for name, value in parts.items()
    ]
    total = CapacityRow(
        name="cpu_control_node",
        value=sum(parts.values()),
        unit="us/s",
        limit=CPU_LIMIT_US,
    )
    return [*found, total]


def _platform() -> list[CapacityRow]:
    """Returns the platform's calls per second of the whole deployment.

    The formulas follow the modules that make the calls: config_agent,
    ejection_agent, quarantine, shard_maintenance, in_force, burn_collector.
    """
    shards = SERVICES * SHARDS_PER_SERVICE
    reads = {
        "config": REGIONS * 3 * (1 / 10 + 1 / 30 + CHANGES_PER_S * 2),
        "status": shards / 60 + 0.05 * shards / 2,
        "quarantine": min(shards / 5, 200.0),
        "hosts": min(NODES / 2, 200.0),
        "burn": ZONES * 2 / 30,
    }
    writes = {
        "config": CHANGES_PER_S * 2,
        "in_force": ZONES * 1.0,
        "burn": ZONES * 2 / 30,
    }
    return [
        *_calls("reads", reads, READS_LIMIT),
        *_calls("writes", writes, WRITES_LIMIT),
    ]


def _calls(
    name: str, parts: dict[str, float], limit: float
) -> list[CapacityRow]:
    found = [
        CapacityRow(name=f"{name}_{part}", value=value, unit="calls/s")
        for part, value in parts.items()
    ]
    total = CapacityRow(
        name=f"{name}_platform",
        value=sum(parts.values()),
        unit="calls/s",
        limit=limit,
    )
    return [*found, total]
