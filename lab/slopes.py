"""Fits lines through saved points and formats figures for tables."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from .figures import DIRECTORY, Figures, load_figures

UNKNOWN = "not measured"


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A line through measured points, by weighted least squares.

    `error` is the largest deviation of a point from the line, relative to the point.

    >>> line = fit_line({1: 3.0, 2: 5.0, 4: 9.0})
    >>> round(line.slope, 9), round(line.intercept, 9), round(line.error, 9)
    (2.0, 1.0, 0.0)
    >>> round(line.compute(10), 9)
    21.0
    """

    points: dict[int, float]
    slope: float
    intercept: float
    error: float

    def compute(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: dict[int, float]) -> Slope:
    """Fit a line to two points or more, minimizing relative deviations.

    Absolute deviations would let the largest point dominate, with large errors at the
    small sizes that most messages have.
    """
    weights = {x: 1 / y**2 for x, y in points.items()}
    total = sum(weights.values())
    mean_x = sum(weights[x] * x for x in points) / total
    mean_y = sum(weights[x] * y for x, y in points.items()) / total
    sum_squares = sum(weights[x] * (x - mean_x) ** 2 for x in points)
    sum_products = sum(
        weights[x] * (x - mean_x) * (y - mean_y) for x, y in points.items()
    )
    slope = sum_products / sum_squares
    intercept = mean_y - slope * mean_x
    error = max(abs(intercept + slope * x - y) / y for x, y in points.items())
    return Slope(points=points, slope=slope, intercept=intercept, error=error)


class FigureStore:
    """The saved figures of all measures that were run, by measure."""

    def __init__(self, *, directory: Path = DIRECTORY) -> None:
        self.runs: dict[str, Figures] = {
            path.stem: load_figures(path.stem, directory=directory)
            for path in sorted(directory.glob("*.json"))
        }

    def get(self, measure: str, name: str) -> float | None:
        """Return one figure, or None if it was not measured."""
        run = self.runs.get(measure)
        return run.figures.get(name) if run else None

    def get_points(self, measure: str, name: str) -> dict[int, float]:
        """Return the points of a part by x; they are saved as `name_at_X`."""
        run = self.runs.get(measure)
        figures = run.figures if run else {}
        prefix = f"{name}_at_"
        return {
            int(key.removeprefix(prefix)): value
            for key, value in figures.items()
            if key.startswith(prefix)
        }

    def get_slope(self, measure: str, name: str) -> Slope | None:
        """Return the line through a part's points, or None for fewer than two."""
        points = self.get_points(measure, name)
        return fit_line(points) if len(points) > 1 else None

    def compute(self, measure: str, name: str, x: float) -> float | None:
        """Return the value of a part's line at `x`, or None if it was not measured."""
        slope = self.get_slope(measure, name)
        return slope.compute(x) if slope else None


def add(*values: float | None) -> float | None:
    """Return the sum, or None if a term was not measured.

    >>> add(1.0, 2.0), add(1.0, None)
    (3.0, None)
    """
    total = 0.0
    for value in values:
        if value is None:
            return None
        total += value
    return total


def multiply(*values: float | None) -> float | None:
    """Return the product, or None if a factor was not measured."""
    product = 1.0
    for value in values:
        if value is None:
            return None
        product *= value
    return product


def show(value: float | None, unit: str = "") -> str:
    """Format a figure with three significant digits and thousands separators.

    >>> show(17000.0, "us"), show(0.03456), show(None)
    ('17,000 us', '0.0346', 'not measured')
    """
    if value is None:
        return UNKNOWN
    text = f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
    return f"{text} {unit}".rstrip()


def make_table(*headers: str, rows: Iterator[tuple[str, ...]]) -> str:
    """Return a table in Markdown."""
    lines = [headers, tuple("---" for _ in headers), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
