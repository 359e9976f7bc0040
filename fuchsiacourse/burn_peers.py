"""Interface of the calls to collectors of service-level counters."""

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
        """Sends service-level counters to a collector.

        Args:
            address: RPC address of the collector.
            report: Cumulative rows of this process.
            timeout_s: Seconds to wait for the acknowledgement.

        Raises:
            PeerError: No reply arrived; the report may have been received.
        """
