"""Prometheus metrics of the dispatch program."""

from __future__ import annotations

import collections.abc

from fuchsiacourse import config_table
from fuchsiacourse import fleet_pb2
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import shard_runner

_UNKNOWN = "unknown"


class DispatchMetrics:
    """Counts replies and sets the load gauges of the shards.

    Args:
        metrics: Metrics of the process; None to record nothing.
        config: Configuration in force. Only its services become labels,
            which bounds the number of series.
    """

    def __init__(
        self,
        *,
        metrics: metric_tables.Metrics | None,
        config: config_table.ConfigTable,
    ) -> None:
        self._metrics = metrics
        self._config = config

    def count(self, service: str, reply: fleet_pb2.ExecuteReply) -> None:
        """Counts a reply to an Execute call by service and outcome."""
        if self._metrics is None:
            return
        is_known = service in self._config.services_by_name
        self._metrics.count(
            "dispatch_replies_total",
            "Replies to Execute calls.",
            service=service if is_known else _UNKNOWN,
            outcome=reply.refusal or "answered",
        )

    def update_load_gauges(
        self, runners: collections.abc.Iterable[shard_runner.ShardRunner]
    ) -> None:
        """Sets the gauges of queue length and slots in use by service."""
        if self._metrics is None:
            return
        for runner in runners:
            service = runner.shard.service.service
            self._metrics.gauge(
                "dispatch_queued",
                "Requests in the queue of a shard.",
                len(runner.queue),
                service=service,
            )
            self._metrics.gauge(
                "dispatch_slots_in_use",
                "Slots in use at the targets of a shard.",
                runner.targets.in_flight,
                service=service,
            )
