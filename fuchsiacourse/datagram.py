"""Interface to the datagram network.

Tests replace the UDP endpoint by one on an in-memory network.
"""

from __future__ import annotations

import abc
import typing

Receiver = typing.Callable[[str, bytes], None]


class DatagramEndpoint(abc.ABC):
    """Sends and receives datagrams; any datagram may be lost."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Address of this endpoint as ``ip:port``."""

    @abc.abstractmethod
    def send(self, address: str, payload: bytes) -> None:
        """Sends a datagram; never raises for a network failure."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Sets the function called with a sender's address and a payload."""
