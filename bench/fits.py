"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """Least-squares line through points of one quantity.

    :param quantity: what was measured, with its unit.
    :param per: what one step of the size is.
    :param residual: greatest distance of a point from the line, as a share of the
        greatest value.
    """

    role: str
    quantity: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def predict(self, size: float) -> float:
        """Value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(
    role: str,
    quantity: str,
    per: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Fit:
    """Fit a line.

    :raises ValueError: with fewer than three sizes, which cannot show a curve.
    """
    if len(sizes) < 3:
        raise ValueError("a slope needs at least three sizes")
    slope, intercept = statistics.linear_regression(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    distances = [
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Fit(
        role=role,
        quantity=quantity,
        per=per,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=slope,
        intercept=intercept,
        residual=max(distances) / largest,
    )
