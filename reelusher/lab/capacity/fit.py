"""Fixed cost and slope of a series by ordinary least squares, and goodness of fit. Free of I/O."""

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from math import inf, log2
from typing import Any

MIN_SIZES = 4  # a line through fewer fits almost any figures
MIN_R2 = 0.98  # below this a shape does not fit
MAX_RESIDUAL = 0.1  # fraction of the largest measured figure; above this a shape does not fit
CLEARLY_BETTER = 4.0  # another shape goes first if its sum of squares is less than the line's by this factor
EVEN_RANGE = 0.15  # fraction of the mean: a series whose range is within this does not grow
GOOD_LINE_RESIDUAL = (
    0.01  # fraction of the largest figure: a line this close is not replaced by a better shape
)

SHAPES: dict[str, Callable[[float], float]] = {
    "n": lambda size: size,
    "n log n": lambda size: size * log2(max(2.0, size)),
    "n^2": lambda size: size * size,
}


@dataclass(slots=True, frozen=True)
class Fit:
    """A shape fitted to a series: `fixed + slope * shape(size)`."""

    shape: str  # `n`, `n log n`, `n^2`, `even` (it does not grow), or `none` (none of these fits)
    fixed: float
    slope: float
    r2: float
    worst: float  # the largest residual as a fraction of the largest figure
    worst_at: float  # the size with the largest residual
    line_r2: float  # of the straight line, whichever shape was chosen, as `line_worst` is
    line_worst: float

    def predict(self, size: float) -> float | None:
        """Return the figure that the fit predicts for a size; None if no shape fits."""
        if self.shape == "none":
            return None
        return self.fixed + (self.slope * SHAPES[self.shape](size) if self.shape in SHAPES else 0.0)

    def to_json(self) -> dict[str, Any]:
        """Return the fields as they are kept in JSON, with seven significant digits."""
        return {
            key: value if isinstance(value, str) else float(f"{value:.7g}")
            for key, value in asdict(self).items()
        }


@dataclass(slots=True, frozen=True)
class _Line:
    """The least-squares line through a series whose sizes are transformed by one shape."""

    fixed: float
    slope: float
    sum_of_squares: float  # of the residuals
    r2: float
    worst: float
    worst_at: float

    @property
    def fits(self) -> bool:
        return self.r2 >= MIN_R2 and self.worst <= MAX_RESIDUAL


def _fit_shape(shape: str, sizes: Sequence[float], figures: Sequence[float]) -> _Line:
    transformed = [SHAPES[shape](size) for size in sizes]
    count = len(transformed)
    mean_x, mean_y = sum(transformed) / count, sum(figures) / count
    variation_x = sum((x - mean_x) ** 2 for x in transformed)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(transformed, figures, strict=True)) / variation_x
    fixed = mean_y - slope * mean_x
    residuals = [y - fixed - slope * x for x, y in zip(transformed, figures, strict=True)]
    sum_of_squares, total_sum = sum(one * one for one in residuals), sum((y - mean_y) ** 2 for y in figures)
    largest = max(map(abs, figures)) or 1.0
    worst = max(range(count), key=lambda index: abs(residuals[index]))
    return _Line(
        fixed,
        slope,
        sum_of_squares,
        1 - sum_of_squares / total_sum if total_sum else 1.0,
        abs(residuals[worst]) / largest,
        sizes[worst],
    )


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Fit a series. Raises ValueError unless there are four different sizes or more, with a figure for each.

    The shape is `even` if the range of the figures is at most `EVEN_RANGE` of their mean. Otherwise a
    straight line is chosen if it fits and no other shape is clearly better, else the best shape, or `none` if
    that does not fit either.
    """
    if len(set(sizes)) < MIN_SIZES or len(sizes) != len(figures):
        raise ValueError(f"a figure for each of {MIN_SIZES} sizes or more is needed")
    lines = {shape: _fit_shape(shape, sizes, figures) for shape in SHAPES}
    line, mean = lines["n"], sum(figures) / len(figures)
    if max(figures) - min(figures) <= EVEN_RANGE * abs(mean):
        residuals = [abs(figure - mean) for figure in figures]
        return Fit(
            "even",
            mean,
            0.0,
            line.r2,
            max(residuals) / (max(map(abs, figures)) or 1.0),
            sizes[residuals.index(max(residuals))],
            line.r2,
            line.worst,
        )
    best = min(lines, key=lambda shape: lines[shape].sum_of_squares)
    clearly_better = (
        lines[best].sum_of_squares * CLEARLY_BETTER < line.sum_of_squares and line.worst > GOOD_LINE_RESIDUAL
    )
    chosen_shape = "n" if line.fits and not clearly_better else best
    chosen = lines[chosen_shape]
    return Fit(
        chosen_shape if chosen.fits else "none",
        chosen.fixed,
        chosen.slope,
        chosen.r2,
        chosen.worst,
        chosen.worst_at,
        line.r2,
        line.worst,
    )


def median(values: Sequence[float]) -> float:
    """Return the median, of an even number of values the lower one in the middle; infinity for none."""
    return sorted(values)[(len(values) - 1) // 2] if values else inf
