"""Prometheus metrics with a bounded number of series."""

from __future__ import annotations

import aioprometheus

from fuchsiacourse import invariants as invariant_checks


class Metrics:
    """Registry of the counters and gauges of one process.

    Labels such as service and outcome have few values. Targets, callers and
    keys must not be labels: the number of series would grow without bound.

    Args:
        program: Value of the label ``program`` of every series.
    """

    def __init__(self, *, program: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {"program": program}
        # Amounts not yet added to their counters, by name and labels. They
        # are added when the registry is read, because the library encodes
        # the labels as JSON at each call, which is too slow to do for every
        # request.
        self._pending: dict[tuple[str, tuple[tuple[str, str], ...]], float] = (
            {}
        )
        self._counters_by_name: dict[str, aioprometheus.Counter] = {}
        self._gauges_by_name: dict[str, aioprometheus.Gauge] = {}

    @property
    def registry(self) -> aioprometheus.Registry:
        """Registry with the current values; flushes the pending amounts."""
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
        """Adds a non-negative amount to a counter."""
        if name not in self._counters_by_name:
            self._counters_by_name[name] = aioprometheus.Counter(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        key = name, tuple(labels.items())
        self._pending[key] = self._pending.get(key, 0) + amount

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Sets a gauge, which the first call creates."""
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
        """Sets the gauges of checked and broken invariants."""
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
