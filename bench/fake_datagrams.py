"""In-memory datagram network."""

from __future__ import annotations

import asyncio
import functools

from bench import fake_links
from fuchsiacourse import datagram


class FakeDatagramNetwork:
    """Network that carries datagrams between its endpoints.

    Attributes:
        largest_by_source: Length of the longest datagram sent, in bytes, by
            the sender's address.

    Args:
        links: Conditions of the links.
    """

    def __init__(self, *, links: fake_links.FakeLinks) -> None:
        self.links = links
        self.largest_by_source: dict[str, int] = {}
        self._endpoints_by_address: dict[str, FakeDatagramEndpoint] = {}

    def endpoint(self, address: str) -> FakeDatagramEndpoint:
        """Returns a new endpoint, which replaces one with this address."""
        endpoint = FakeDatagramEndpoint(address=address, network=self)
        self._endpoints_by_address[address] = endpoint
        return endpoint

    def transmit(self, source: str, destination: str, payload: bytes) -> None:
        """Delivers a datagram subject to the condition of the link."""
        largest = self.largest_by_source.get(source, 0)
        self.largest_by_source[source] = max(largest, len(payload))
        delays = self.links.delivery_delays(
            fake_links.ip_of(source), fake_links.ip_of(destination)
        )
        arrive = functools.partial(self._arrive, source, destination, payload)
        for delay_s in delays:
            asyncio.get_running_loop().call_later(delay_s, arrive)

    def _arrive(self, source: str, destination: str, payload: bytes) -> None:
        endpoint = self._endpoints_by_address.get(destination)
        if endpoint is not None:
            gate = self.links.gate(fake_links.ip_of(destination))
            receive = functools.partial(endpoint.receive, source, payload)
            gate.deliver(receive, is_datagram=True)


class FakeDatagramEndpoint(datagram.DatagramEndpoint):
    """Endpoint of a fake network.

    Args:
        address: Address of this endpoint as ``ip:port``.
        network: Network that carries the datagrams.
    """

    def __init__(self, *, address: str, network: FakeDatagramNetwork) -> None:
        self._address = address
        self._network = network
        self._receiver: datagram.Receiver | None = None

    @property
    def address(self) -> str:
        """Address of this endpoint as ``ip:port``."""
        return self._address

    def send(self, address: str, payload: bytes) -> None:
        """Sends a datagram; never raises for a network failure."""
        self._network.transmit(self._address, address, payload)

    def set_receiver(self, receiver: datagram.Receiver) -> None:
        """Sets the function called with a sender's address and a payload."""
        self._receiver = receiver

    def receive(self, source: str, payload: bytes) -> None:
        """Passes a received datagram to the receiver."""
        if self._receiver is not None:
            self._receiver(source, payload)
