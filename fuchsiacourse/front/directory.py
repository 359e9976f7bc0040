"""Resolves the addresses of the fronts that a caller should use."""

from __future__ import annotations

import typing

from fuchsiacourse.front import front_settings
from fuchsiacourse.front import peer_table

# Time for which callers may keep an answer, in seconds. It bounds how long
# they use a front that is shutting down or down; some callers keep an answer
# KEEP_FACTOR times as long, which must end while such a front still serves.
ADDRESS_TTL_S = 0.9
KEEP_FACTOR = 3.0
MAX_ADDRESSES = 64
# If the caller's zone has fewer addresses, those of other zones are added.
MIN_ADDRESSES = 2


class AddressAnswer:
    """Addresses for a caller.

    Args:
        addresses: IP address and port of fronts, nearest first.
        ttl_s: Time for which the caller may keep them, in seconds.
    """

    __slots__ = ("addresses", "ttl_s")

    def __init__(
        self, *, addresses: list[front_settings.Address], ttl_s: float
    ) -> None:
        self.addresses = addresses
        self.ttl_s = ttl_s


class Directory:
    """Selects fronts for callers from the membership of the fronts.

    Args:
        settings: Address and availability zone of this front, and the
            region of each zone.
        peers: The other fronts.
        is_serving: Returns whether this front serves callers.
    """

    def __init__(
        self,
        *,
        settings: front_settings.FrontSettings,
        peers: peer_table.PeerTable,
        is_serving: typing.Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._is_serving = is_serving

    def resolve(self, *, availability_zone: str, region: str) -> AddressAnswer:
        """Returns the nearest fronts that serve callers.

        Args:
            availability_zone: Availability zone of the caller.
            region: Region of the caller.
        """
        found: list[str] = []
        for zone in self._zones_by_distance(availability_zone, region):
            found.extend(self._serving_in(zone))
            if len(found) >= MIN_ADDRESSES:
                break
        port = self._settings.front_address[1]
        return AddressAnswer(
            addresses=[(ip, port) for ip in found[:MAX_ADDRESSES]],
            ttl_s=min(ADDRESS_TTL_S, self._settings.bounds.max_address_ttl_s),
        )

    def _zones_by_distance(
        self, availability_zone: str, region: str
    ) -> list[str]:
        own = self._settings
        regions = own.regions_by_zone
        return sorted(
            regions,
            key=lambda zone: (
                zone != availability_zone,
                regions[zone] != region,
                zone != own.availability_zone,
                regions[zone] != own.region,
                zone,
            ),
        )

    def _serving_in(self, zone: str) -> list[str]:
        index = self._peers.zone_index(zone)
        found = self._peers.serving(index) if index is not None else []
        is_own = zone == self._settings.availability_zone
        if is_own and self._is_serving():
            found.append(self._settings.ip)
        return found
