"""A measured figure with its bound."""

from __future__ import annotations

import collections.abc


class Figure:
    """One line of a measurement.

    Args:
        name: Name of the figure.
        value: Measured value.
        unit: Unit of the value.
        bound: Stated bound.
        higher_is_better: Whether the bound is a lower one.
        baselines: Names and values of the baselines.
    """

    __slots__ = (
        "name",
        "value",
        "unit",
        "bound",
        "higher_is_better",
        "baselines",
    )

    def __init__(
        self,
        *,
        name: str,
        value: float,
        unit: str,
        bound: float,
        higher_is_better: bool = False,
        baselines: collections.abc.Sequence[tuple[str, float]] = (),
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.bound = bound
        self.higher_is_better = higher_is_better
        self.baselines = tuple(baselines)

    @property
    def is_met(self) -> bool:
        """Whether the value keeps to the bound."""
        if self.higher_is_better:
            return self.value >= self.bound
        return self.value <= self.bound

    def line(self) -> str:
        """Returns the line of the measurement's output."""
        parts = [
            f"figure={self.name}",
            f"value={self.value:.4g}",
            f"unit={self.unit}",
            f"bound={self.bound:.4g}",
        ]
        parts += [
            f"baseline={name}:{value:.4g}" for name, value in self.baselines
        ]
        return " ".join(parts)
