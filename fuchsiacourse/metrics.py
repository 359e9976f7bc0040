"""Metrics with a bounded number of series."""

from __future__ import annotations

import aioprometheus

from fuchsiacourse import invariants as invariant_checks


class Metrics:
    """Metrics of one process.

    Series are labelled by service and outcome only; targets, callers and
    keys would make their number grow without bound.

    Args:
        program: Constant label of every series.
    """

    def __init__(self, *, program: str) -> None:
        self.registry = aioprometheus.Registry()
        self._labels = {"program": program}
        self._counters_by_name: dict[str, aioprometheus.Counter] = {}
        self._gauges_by_name: dict[str, aioprometheus.Gauge] = {}

    def count(self, name: str, doc: str, **labels: str) -> None:
        """Adds one to a counter.

        Args:
            name: Name of the counter.
            doc: Help text, used at the first call.
            **labels: Labels with few values each.
        """
        self.add(name, doc, 1, **labels)

    def add(self, name: str, doc: str, amount: float, **labels: str) -> None:
        """Adds an amount to a counter."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = aioprometheus.Counter(
                name, doc, const_labels=self._labels, registry=self.registry
            )
            self._counters_by_name[name] = counter
        counter.add(labels, amount)

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                name, doc, const_labels=self._labels, registry=self.registry
            )
            self._gauges_by_name[name] = gauge
        gauge.set(labels, value)

    def count_invariants(
        self, invariants: invariant_checks.Invariants
    ) -> None:
        """Copies the counts of the invariant checks into gauges."""
        for invariant_id in invariant_checks.InvariantId:
            label = invariant_id.value
            self.gauge(
                "invariants_checked",
                "Checks of an invariant.",
                invariants.checked_by_id[invariant_id],
                invariant=label,
            )
            self.gauge(
                "invariants_broken",
                "Failed checks of an invariant.",
                invariants.broken_by_id[invariant_id],
                invariant=label,
            )
