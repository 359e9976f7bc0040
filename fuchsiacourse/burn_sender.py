"""Reports an entry's service-level counters to its zone's collectors.

Traffic: every REPORT_INTERVAL_S a report holds the rows that changed since
the collector's last acknowledgement, about 60 bytes each.

Possible losses: the last REPORT_INTERVAL_S of counts of an entry that is
killed, and counts not yet written to the platform if the entry and both
collectors of its zone are killed.
"""

from __future__ import annotations

import typing

from fuchsiacourse import burn_collectors
from fuchsiacourse import burn_counters
from fuchsiacourse import burn_peers
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import members as member_tables
from fuchsiacourse import timers as timer_services

REPORT_INTERVAL_S = 10.0
_JITTER = 0.2
_TIMEOUT_S = 2.0


class BurnSender:
    """Sends changed counters at an interval and at a graceful shutdown.

    Args:
        counters: Counters of this process.
        members: Member table.
        peers: Calls to the collectors.
        timers: Timer service of the process.
        log: Logger.
    """

    def __init__(
        self,
        *,
        counters: burn_counters.BurnCounters,
        members: member_tables.Members,
        peers: burn_peers.BurnPeers,
        timers: timer_services.Timers,
        log: typing.Any,
    ) -> None:
        self._counters = counters
        self._members = members
        self._peers = peers
        self._timers = timers
        self._log = log
        # Totals of the rows that each collector has acknowledged.
        self._acked_by_member: dict[str, dict[tuple[str, ...], int]] = {}

    def start(self) -> None:
        """Starts to report every REPORT_INTERVAL_S."""
        self._timers.every(REPORT_INTERVAL_S, self.send, jitter=_JITTER)

    async def send(self) -> None:
        """Sends each collector the rows that it has not acknowledged."""
        collectors = burn_collectors.choose(self._members)
        collector_ids = {row.id for row in collectors}
        for member_id in set(self._acked_by_member) - collector_ids:
            del self._acked_by_member[member_id]
        for row in collectors:
            await self._send_to(row.id, row.rpc_address)

    async def _send_to(self, member_id: str, address: str) -> None:
        acked = self._acked_by_member.setdefault(member_id, {})
        report = fleet_pb2.BurnReport(incarnation=self._members.self.id)
        totals = {}
        for counter in self._counters.snapshot():
            key = (counter.service, counter.kind, counter.month)
            if acked.get(key) == counter.total:
                continue
            totals[key] = counter.total
            report.rows.append(_wire_row(counter))
        if not totals:
            return
        try:
            ack = await self._peers.report_burn(
                address, report, timeout_s=_TIMEOUT_S
            )
        except errors.PeerError as error:
            logs.event(
                self._log,
                "burn_report_failed",
                member=member_id,
                reason=str(error),
            )
            return
        if ack.accepted:
            acked.update(totals)


def _wire_row(counter: burn_counters.BurnCounter) -> fleet_pb2.BurnRow:
    return fleet_pb2.BurnRow(
        service=counter.service,
        kind=counter.kind,
        month=counter.month,
        total=counter.total,
        good=counter.good,
        worth=counter.worth,
        worth_served=counter.worth_served,
    )
