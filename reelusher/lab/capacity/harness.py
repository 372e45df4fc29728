"""Runs scale tests and stores their results: sizes, repeats, figures, the machine's load and fits."""

import json
import os
import platform
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from reelusher.lab.capacity.fit import Fit, fit, median

FOLDER = Path(__file__).parents[3] / "docs" / "capacity"
Figures = dict[str, float]
T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Scale:
    """One scale test: the function that measures one size, the sizes, and how the result is described."""

    name: str
    title: str  # what is measured
    size_unit: str  # what the sizes count
    sizes: tuple[int, ...]
    quick: tuple[int, ...]  # sizes of a short run that only checks that the test works
    units: dict[str, str]  # by name of the figures that `measure` returns
    measure: Callable[[int], Figures]
    repeats: int = 3
    target: float = 0.0  # size that the operators expect; 0: none
    cheap: bool = True  # starts no node and takes seconds, so that CI can run it
    notes: tuple[str, ...] = field(default=())  # remarks on the figures


def load_average() -> float:
    """Return the machine's load average over the last minute."""
    return round(os.getloadavg()[0], 2)


def machine() -> dict[str, Any]:
    """Return the number of cores, the version of Python, and whether assertions are off."""
    return {"cores": os.cpu_count() or 0, "python": platform.python_version(), "optimised": not __debug__}


def run_scale_test(
    scale: Scale,
    sizes: Sequence[int] = (),
    repeats: int = 0,
    log_line: Callable[[str], None] = lambda line: None,
) -> dict[str, Any]:
    """Run a scale test and return its result as it is stored.

    Each repeat is a round over all sizes, so that a minute in which the machine is busy with something else
    affects all sizes and not only one. `log_line` gets a line about each measurement.
    """
    sizes = tuple(sizes) or scale.sizes
    repeats = repeats or scale.repeats
    measured: dict[int, list[Figures]] = {size: [] for size in sizes}
    loads: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            began_s = time.monotonic()
            loads[size].append(load_average())
            measured[size].append(scale.measure(size))
            log_line(
                f"{scale.name} {size}: {_format_figures(measured[size][-1], scale.units)} "
                f"({time.monotonic() - began_s:.1f} s, load {loads[size][-1]})"
            )
    figures: dict[str, dict[str, Any]] = {}
    for name, unit in scale.units.items():
        series = [[figures_of_size[name] for figures_of_size in measured[size]] for size in sizes]
        medians = [_rounded(median(values)) for values in series]
        figures[name] = {
            "unit": unit,
            "median": medians,
            "least": [_rounded(min(samples)) for samples in series],
            "most": [_rounded(max(samples)) for samples in series],
        }
        if len(sizes) >= 4:
            figures[name]["fit"] = fit(sizes, medians).to_json()
    other_sizes = "" if sizes == scale.sizes else f" --sizes {','.join(map(str, sizes))}"
    command = f"python -O -m reelusher.lab.capacity {scale.name}{other_sizes}"
    return {
        "name": scale.name,
        "what": scale.title,
        "of": scale.size_unit,
        "command": command,
        "machine": machine(),
        "sizes": list(sizes),
        "repeats": repeats,
        "target": scale.target,
        "load_average": [loads[size] for size in sizes],
        "figures": figures,
        "notes": list(scale.notes),
    }


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")


def _format_figures(figures: Figures, units: dict[str, str]) -> str:
    return ", ".join(f"{name} {value:.4g} {units[name]}".strip() for name, value in figures.items())


def fit_of(result: dict[str, Any], figure: str) -> Fit | None:
    """Return the stored fit of a figure; None if there were too few sizes for one."""
    fit_fields = result["figures"][figure].get("fit")
    return Fit(**fit_fields) if fit_fields else None


def write(result: dict[str, Any], folder: Path = FOLDER) -> Path:
    """Store a result as a JSON file named after its test; return the path."""
    path = folder / f"{result['name']}.json"
    path.write_text(json.dumps(result, indent=1) + "\n")
    return path


def read_all(folder: Path = FOLDER) -> dict[str, dict[str, Any]]:
    """Return the stored results by name."""
    results = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return {result["name"]: result for result in results}


def require(value: T | None, message: str = "the measured value is missing") -> T:
    """Return a value that must be truthy; raise RuntimeError if it is not, even with assertions off."""
    if not value:
        raise RuntimeError(message)
    return value


def cpu_us_per_call(function: Callable[[], object], min_total_s: float = 0.03) -> float:
    """Return the processor time of one call in microseconds.

    The call is repeated until all repeats together take `min_total_s`, which the clock can measure.
    """
    count, total_s = 1, 0.0
    while True:
        began_s = time.process_time()
        for _ in range(count):
            function()
        total_s = time.process_time() - began_s
        if total_s >= min_total_s:
            return total_s / count * 1e6
        count = max(count + 1, min(count * 10, int(count * min_total_s * 1.2 / max(total_s, 1e-6))))
