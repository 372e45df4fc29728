"""Fixed cost and slope of a series by ordinary least squares, and how well that fits. Free of I/O."""

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from math import inf, log2
from typing import Any

LEAST_SIZES = 4  # a line through fewer fits whatever they are
LEAST_R2 = 0.98  # below it a shape does not fit
MOST_RESIDUAL = 0.1  # of the largest figure that was measured; past it a shape does not fit
CLEARLY = 4.0  # times by which another shape's squares must be less than the line's to go before it
EVEN = 0.15  # of the mean: a series that stays within it, from least to most, does not grow
LEAST_OFF = 0.01  # of the largest figure: where the line is off by less, no other shape goes before it

SHAPES: dict[str, Callable[[float], float]] = {
    "n": lambda size: size,
    "n log n": lambda size: size * log2(max(2.0, size)),
    "n^2": lambda size: size * size,
}


@dataclass(slots=True, frozen=True)
class Fit:
    """One shape through a series: `fixed + slope * shape(size)`."""

    shape: str  # `n`, `n log n`, `n^2`, `even` (it does not grow), or `none` (nothing of these fits)
    fixed: float
    slope: float
    r2: float
    worst: float  # the largest residual as a part of the largest figure
    worst_at: float  # the size that has it
    line_r2: float  # of the straight line, whichever shape was taken
    line_worst: float

    def at(self, size: float) -> float | None:
        """Return what the shape says for a size; None where none fits."""
        if self.shape == "none":
            return None
        return self.fixed + (self.slope * SHAPES[self.shape](size) if self.shape in SHAPES else 0.0)

    def to_json(self) -> dict[str, Any]:
        """Return it as it is kept, with seven digits."""
        return {
            key: value if isinstance(value, str) else float(f"{value:.7g}")
            for key, value in asdict(self).items()
        }


@dataclass(slots=True, frozen=True)
class _Line:
    """Least squares through points of one shape."""

    fixed: float
    slope: float
    squares: float
    r2: float
    worst: float
    worst_at: float

    @property
    def fits(self) -> bool:
        return self.r2 >= LEAST_R2 and self.worst <= MOST_RESIDUAL


def _through(shape: str, sizes: Sequence[float], figures: Sequence[float]) -> _Line:
    places = [SHAPES[shape](size) for size in sizes]
    count = len(places)
    mean_x, mean_y = sum(places) / count, sum(figures) / count
    spread = sum((x - mean_x) ** 2 for x in places)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(places, figures, strict=True)) / spread
    fixed = mean_y - slope * mean_x
    off = [y - fixed - slope * x for x, y in zip(places, figures, strict=True)]
    squares, whole = sum(one * one for one in off), sum((y - mean_y) ** 2 for y in figures)
    largest = max(map(abs, figures)) or 1.0
    number = max(range(count), key=lambda place: abs(off[place]))
    return _Line(
        fixed,
        slope,
        squares,
        1 - squares / whole if whole else 1.0,
        abs(off[number]) / largest,
        sizes[number],
    )


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Fit a series; raises ValueError where there are fewer than four sizes.

    A line is taken where it fits and no other shape is clearly nearer; where none fits that is what is told.
    """
    if len(set(sizes)) < LEAST_SIZES or len(sizes) != len(figures):
        raise ValueError(f"a figure for each of {LEAST_SIZES} sizes or more is wanted")
    lines = {shape: _through(shape, sizes, figures) for shape in SHAPES}
    line, mean = lines["n"], sum(figures) / len(figures)
    if max(figures) - min(figures) <= EVEN * abs(mean):
        off = [abs(figure - mean) for figure in figures]
        return Fit(
            "even",
            mean,
            0.0,
            line.r2,
            max(off) / (max(map(abs, figures)) or 1.0),
            sizes[off.index(max(off))],
            line.r2,
            line.worst,
        )
    best = min(lines, key=lambda shape: lines[shape].squares)
    clear = lines[best].squares * CLEARLY < line.squares and line.worst > LEAST_OFF
    taken = "n" if line.fits and not clear else best
    made = lines[taken]
    return Fit(
        taken if made.fits else "none",
        made.fixed,
        made.slope,
        made.r2,
        made.worst,
        made.worst_at,
        line.r2,
        line.worst,
    )


def median(values: Sequence[float]) -> float:
    """Return the middle of some figures; of an even number the lower of the two in the middle."""
    return sorted(values)[(len(values) - 1) // 2] if values else inf
