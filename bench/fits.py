"""Linear regression of measurements."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """Least-squares line through the values of one quantity.

    :param role: role of the instance that was measured.
    :param quantity: measured quantity, with its unit.
    :param per: unit of the sizes.
    :param residual: largest absolute residual, relative to the largest value.
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
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(
    role: str,
    quantity: str,
    per: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Fit:
    """Fit a line to values by size.

    :raises ValueError: with fewer than three sizes, which cannot show non-linearity.
    """
    if len(sizes) < 3:
        raise ValueError("a linear fit needs at least three sizes")
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
