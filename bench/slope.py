"""Linear model of a cost as a function of a size."""

from __future__ import annotations

import collections.abc

import numpy


class Slope:
    """Least-squares line through measured points.

    Args:
        name: Name of the cost.
        unit: Unit of the cost.
        per: Unit of the size, such as member.
        points: Pairs of a size and the cost measured at it.
    """

    __slots__ = ("name", "unit", "per", "points", "slope", "intercept")

    def __init__(
        self,
        *,
        name: str,
        unit: str,
        per: str,
        points: collections.abc.Sequence[tuple[float, float]],
    ) -> None:
        self.name = name
        self.unit = unit
        self.per = per
        self.points = points
        sizes, costs = zip(*points, strict=True)
        slope, intercept = numpy.polyfit(sizes, costs, 1)
        self.slope = float(slope)
        self.intercept = float(intercept)

    @property
    def fit(self) -> float:
        """Coefficient of determination; 1 if all points lie on the line."""
        costs = numpy.array([cost for _, cost in self.points])
        expected = numpy.array([self.at(size) for size, _ in self.points])
        spread = float(((costs - costs.mean()) ** 2).sum())
        if spread == 0.0:
            return 1.0
        return 1.0 - float(((costs - expected) ** 2).sum()) / spread

    def at(self, size: float) -> float:
        """Returns the cost that the line predicts for a size."""
        return self.intercept + self.slope * size

    def line(self) -> str:
        """Returns the slope as a line of key=value pairs."""
        measured = ",".join(
            f"{size:g}:{cost:.4g}" for size, cost in self.points
        )
        return (
            f"slope={self.name} value={self.slope:.5g}"
            f" unit={self.unit}/{self.per} intercept={self.intercept:.5g}"
            f" fit={self.fit:.4f} points={measured}"
        )
