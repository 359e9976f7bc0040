"""Port to the collectors of service-level counters."""

from __future__ import annotations

import abc

from fuchsiacourse import fleet_pb2


class BurnPeers(abc.ABC):
    """Calls collectors by their RPC address (``ip:port``)."""

    __slots__ = ()

    @abc.abstractmethod
    async def report_burn(
        self,
        address: str,
        report: fleet_pb2.BurnReport,
        *,
        timeout_s: float,
    ) -> fleet_pb2.BurnAck:
        """Sends counters of service levels to a collector.

        Raises:
            PeerError: No reply came; the report may have arrived.
        """
