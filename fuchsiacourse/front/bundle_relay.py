"""Gathers what the fronts of a zone report, and passes it on in bundles."""

from __future__ import annotations

import functools
import typing

from fuchsiacourse.front import packet_bundle
from fuchsiacourse import timers as timer_services

# Time for which reports are gathered, in seconds. It bounds the packets that a
# front receives, and delays evidence by half of it on average, and by twice
# as much from other zones.
GATHER_REPORTS_S = 0.06
# The same if a report tells of a failure or of a start at a target with a rate
# limit, in seconds: until the others know of it, they send requests to the
# same target.
GATHER_URGENT_S = 0.01
# The same if there are only packets with the states of fronts, in seconds.
GATHER_PACKETS_S = 0.12

SendInZone = typing.Callable[[bytes], None]
SendToZones = typing.Callable[[list[bytes]], None]


class BundleRelay:
    """Queues reports and packets, and sends them in bundles.

    Args:
        timers: Timer service.
        send_in_zone: Sends a datagram to all fronts of the zone.
        send_to_zones: Sends datagrams to a hub of each other zone of the
            region.
    """

    __slots__ = (
        "_timers",
        "_send_in_zone",
        "_send_to_zones",
        "_zone_reports",
        "_zone_packets",
        "_region_reports",
        "_region_packets",
        "_due",
    )

    def __init__(
        self,
        *,
        timers: timer_services.Timers,
        send_in_zone: SendInZone,
        send_to_zones: SendToZones,
    ) -> None:
        self._timers = timers
        self._send_in_zone = send_in_zone
        self._send_to_zones = send_to_zones
        self._zone_reports = bytearray()
        self._zone_packets: list[packet_bundle.SequencedPacket] = []
        self._region_reports = bytearray()
        self._region_packets: list[packet_bundle.SequencedPacket] = []
        # Delays of the flushes that are due, in seconds.
        self._due: set[float] = set()

    def pass_on(self, bundle: packet_bundle.PacketBundle) -> None:
        """Queues the content of a bundle as far as its flags ask for it."""
        if not (bundle.relay_in_zone or bundle.relay_in_region):
            return
        self._zone_reports += bundle.reports
        self._zone_packets.extend(bundle.packets)
        if bundle.relay_in_region:
            self._region_reports += bundle.reports
            self._region_packets.extend(bundle.packets)
        self._set_due(_gather_s(bundle))

    def _set_due(self, delay_s: float) -> None:
        if delay_s not in self._due:
            self._due.add(delay_s)
            self._timers.after(
                delay_s, functools.partial(self._flush_due, delay_s)
            )

    def _flush_due(self, delay_s: float) -> None:
        self._due.discard(delay_s)
        self.flush()

    def flush(self) -> None:
        """Sends what is queued."""
        zone = packet_bundle.PacketBundle(
            reports=bytes(self._zone_reports), packets=self._zone_packets
        )
        region = packet_bundle.PacketBundle(
            relay_in_zone=True,
            reports=bytes(self._region_reports),
            packets=self._region_packets,
        )
        self._zone_reports = bytearray()
        self._zone_packets = []
        self._region_reports = bytearray()
        self._region_packets = []
        for data in zone.encode():
            self._send_in_zone(data)
        if region.reports or region.packets:
            self._send_to_zones(region.encode())


def _gather_s(bundle: packet_bundle.PacketBundle) -> float:
    if packet_bundle.is_urgent(bundle.reports):
        return GATHER_URGENT_S
    return GATHER_REPORTS_S if bundle.reports else GATHER_PACKETS_S
