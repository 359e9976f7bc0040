"""Port to the datagram network."""

from __future__ import annotations

import abc
import typing

Receiver = typing.Callable[[str, bytes], None]


class DatagramEndpoint(abc.ABC):
    """Sends and receives datagrams; any of them may be lost."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Own address as ``ip:port``."""

    @abc.abstractmethod
    def send(self, address: str, payload: bytes) -> None:
        """Sends a datagram; never raises for a network failure."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Sets the function called with sender address and payload."""
