"""Conditions of the links between processes of a fake network."""

from __future__ import annotations

import random

from bench import process_gate


class Link:
    """Condition of the link from one process to another.

    Args:
        loss: Probability that a message is lost.
        delay_s: Least delay of a message in seconds.
        spread_s: Largest random addition to the delay in seconds; it
            reorders messages.
        duplication: Probability that a message arrives twice.
        is_cut: Whether the link loses every message.
    """

    __slots__ = ("loss", "delay_s", "spread_s", "duplication", "is_cut")

    def __init__(
        self,
        *,
        loss: float = 0.0,
        delay_s: float = 0.001,
        spread_s: float = 0.0,
        duplication: float = 0.0,
        is_cut: bool = False,
    ) -> None:
        self.loss = loss
        self.delay_s = delay_s
        self.spread_s = spread_s
        self.duplication = duplication
        self.is_cut = is_cut


class FakeLinks:
    """Links and processes of a fake network, by IP address.

    Each fake process has its own IP address.

    Args:
        rng: Random number generator for delays and losses.
        default: Condition of the links without one of their own.
    """

    def __init__(
        self, *, rng: random.Random, default: Link | None = None
    ) -> None:
        self.rng = rng
        self.default = default or Link()
        self.links_by_pair: dict[tuple[str, str], Link] = {}
        self._gates_by_ip: dict[str, process_gate.ProcessGate] = {}

    def gate(self, ip: str) -> process_gate.ProcessGate:
        """Returns the gate that pauses or kills the process at an IP."""
        return self._gates_by_ip.setdefault(ip, process_gate.ProcessGate())

    def allow_cancellation(self) -> None:
        """Releases all gates, so that the event loop can close."""
        for gate in self._gates_by_ip.values():
            gate.allow_cancellation()

    def link(self, source: str, destination: str) -> Link:
        """Returns the condition of the link between two IP addresses."""
        return self.links_by_pair.get((source, destination), self.default)

    def cut(self, source: str, destination: str) -> None:
        """Cuts the link in one direction."""
        self.links_by_pair[source, destination] = Link(is_cut=True)

    def restore(self, source: str, destination: str) -> None:
        """Restores the default condition of a link in one direction."""
        self.links_by_pair.pop((source, destination), None)

    def delivery_delays(self, source: str, destination: str) -> list[float]:
        """Returns the delay in seconds of each copy that arrives.

        The result is empty if the message is lost.
        """
        link = self.link(source, destination)
        if link.is_cut or self.gate(source).is_killed:
            return []
        if self.rng.random() < link.loss:
            return []
        copies = 2 if self.rng.random() < link.duplication else 1
        return [
            link.delay_s + self.rng.random() * link.spread_s
            for _ in range(copies)
        ]


def ip_of(address: str) -> str:
    """Returns the IP address of an ``ip:port`` address."""
    return address.partition(":")[0]
