"""Conditions of the links between fake processes."""

from __future__ import annotations

import random

from bench import process_gate


class Link:
    """Condition of the way from one process to another.

    Args:
        loss: Probability that a message is lost.
        delay_s: Time of transit in seconds.
        spread_s: Largest random addition to it, which reorders messages.
        duplication: Probability that a message arrives twice.
        is_cut: Whether nothing passes.
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
    """Links and processes of a fake network, by IP number.

    Each fake process has an IP number of its own.

    Args:
        rng: Source of randomness.
        default: Condition of links that are not set.
    """

    def __init__(
        self, *, rng: random.Random, default: Link | None = None
    ) -> None:
        self.rng = rng
        self.default = default or Link()
        self.links_by_pair: dict[tuple[str, str], Link] = {}
        self._gates_by_ip: dict[str, process_gate.ProcessGate] = {}

    def gate(self, ip: str) -> process_gate.ProcessGate:
        """Returns the running state of the process with an IP number."""
        return self._gates_by_ip.setdefault(ip, process_gate.ProcessGate())

    def end_run(self) -> None:
        """Lets the event loop close, whatever processes wait for."""
        for gate in self._gates_by_ip.values():
            gate.end_run()

    def link(self, source: str, destination: str) -> Link:
        """Returns the condition of the way between two IP numbers."""
        return self.links_by_pair.get((source, destination), self.default)

    def cut(self, source: str, destination: str) -> None:
        """Lets nothing pass in one direction."""
        self.links_by_pair[source, destination] = Link(is_cut=True)

    def restore(self, source: str, destination: str) -> None:
        """Returns a way to the default condition."""
        self.links_by_pair.pop((source, destination), None)

    def delivery_delays(self, source: str, destination: str) -> list[float]:
        """Returns the delay of each copy of a message that arrives."""
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
    """Returns the IP number of an address."""
    return address.partition(":")[0]
