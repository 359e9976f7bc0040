"""A measured figure with its bound and baseline values."""

from __future__ import annotations

import typing


class Figure:
    """A measured value, printed as one line by ``bench.measure``.

    Args:
        name: Name of the figure.
        value: Measured value.
        unit: Unit of the value.
        bound: Maximum of the value, or minimum with ``at_least``.
        at_least: Whether the bound is a minimum instead of a maximum.
        baselines: Values of the baselines by name.
        must_beat: Whether the value must be better than every baseline.
        note: How the figure was measured.
    """

    __slots__ = (
        "name",
        "value",
        "unit",
        "bound",
        "at_least",
        "baselines",
        "must_beat",
        "note",
    )

    def __init__(
        self,
        *,
        name: str,
        value: float,
        unit: str,
        bound: float | None = None,
        at_least: bool = False,
        baselines: typing.Mapping[str, float] | None = None,
        must_beat: bool = False,
        note: str = "",
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.bound = bound
        self.at_least = at_least
        self.baselines = dict(baselines or {})
        self.must_beat = must_beat
        self.note = note

    @property
    def is_met(self) -> bool:
        """Whether the bound is met and, with ``must_beat``, all baselines."""
        if self.bound is not None and not self._reaches(self.bound):
            return False
        if not self.must_beat:
            return True
        return all(
            self.value != other and self._reaches(other)
            for other in self.baselines.values()
        )

    def line(self) -> str:
        """Returns the figure as a line of key=value pairs."""
        bound = "none" if self.bound is None else f"{self.bound:g}"
        parts = [
            f"figure={self.name}",
            f"value={self.value:.6g}",
            f"unit={self.unit}",
            f"bound={bound}",
        ]
        parts += [
            f"baseline={name}:{value:.6g}"
            for name, value in self.baselines.items()
        ]
        if self.note:
            parts.append(f'note="{self.note}"')
        if not self.is_met:
            parts.append("missed=yes")
        return " ".join(parts)

    def _reaches(self, limit: float) -> bool:
        # Comparisons with NaN are false, so an unmeasured value misses.
        if self.at_least:
            return self.value >= limit
        return self.value <= limit
