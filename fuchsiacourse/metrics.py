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
        self._registry = aioprometheus.Registry()
        self._labels = {"program": program}
        # Amounts not yet added to their counters. The library encodes the
        # labels as JSON at each call, which is too slow for every request.
        self._pending: dict[tuple[str, tuple[tuple[str, str], ...]], float] = (
            {}
        )
        self._counters_by_name: dict[str, aioprometheus.Counter] = {}
        self._gauges_by_name: dict[str, aioprometheus.Gauge] = {}

    @property
    def registry(self) -> aioprometheus.Registry:
        """Registry with the present values of all metrics."""
        for (name, labels), amount in self._pending.items():
            self._counters_by_name[name].add(dict(labels), amount)
        self._pending.clear()
        return self._registry

    def count(self, name: str, doc: str, **labels: str) -> None:
        """Adds one to a counter.

        Args:
            name: Name of the counter.
            doc: Help text, used at the first call.
            **labels: Labels with few values each.
        """
        self.add(name, doc, 1, **labels)

    def add(self, name: str, doc: str, amount: float, **labels: str) -> None:
        """Adds an amount, which is not negative, to a counter."""
        if name not in self._counters_by_name:
            self._counters_by_name[name] = aioprometheus.Counter(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        key = name, tuple(labels.items())
        self._pending[key] = self._pending.get(key, 0) + amount

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                name, doc, const_labels=self._labels, registry=self._registry
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
