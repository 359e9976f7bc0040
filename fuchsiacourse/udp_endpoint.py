"""UDP endpoint for datagrams."""

from __future__ import annotations

import asyncio
import functools
import ipaddress

from fuchsiacourse import datagram

_MAX_PORT = 65535
# Entries of the cache of parsed addresses. Members are probed in turn, so
# each address is used again.
_MAX_CACHED_ADDRESSES = 4096


class UdpEndpoint(datagram.DatagramEndpoint, asyncio.DatagramProtocol):
    """UDP socket on the running event loop.

    Args:
        address: Address to bind, as ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None
        self._receiver: datagram.Receiver | None = None
        self.errors = 0

    @property
    def address(self) -> str:
        """Address of this endpoint as ``ip:port``."""
        return self._address

    async def open(self) -> None:
        """Binds the socket.

        If the port is 0, the system assigns one and ``address`` then
        contains it.

        Raises:
            ValueError: The address is malformed.
            OSError: The address cannot be bound.
        """
        pair = _split(self._address)
        if pair is None:
            raise ValueError(f"{self._address} is not an address ip:port")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=pair
        )
        self._transport = transport
        self._address = _joined(transport.get_extra_info("sockname"))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: str, payload: bytes) -> None:
        """Sends a datagram; never raises for a network failure."""
        pair = _split(address)
        if self._transport is None or pair is None:
            self.errors += 1
            return
        self._transport.sendto(payload, pair)

    def set_receiver(self, receiver: datagram.Receiver) -> None:
        """Sets the function called with a sender's address and a payload."""
        self._receiver = receiver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a received datagram to the receiver."""
        if self._receiver is not None:
            self._receiver(_joined(addr), data)

    def error_received(self, exc: Exception) -> None:
        """Counts an error that the socket reported."""
        self.errors += 1


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _split(address: str) -> tuple[str, int] | None:
    """Returns IP address and port, None if the socket cannot send there.

    asyncio closes the endpoint on an error other than OSError, and a host
    name would block the event loop while it is resolved.
    """
    host, _, port = address.rpartition(":")
    try:
        pair = str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        return None
    return pair if 0 <= pair[1] <= _MAX_PORT else None


def _joined(pair: tuple[str, int]) -> str:
    return f"{pair[0]}:{pair[1]}"
