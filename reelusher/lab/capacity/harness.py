"""Plays a scale test and keeps what came of it: sizes, repeats, figures, the machine's load, fits."""

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
    """One scale test: what it measures at one size, and at which sizes it is played."""

    name: str
    title: str
    size_unit: str  # what the sizes count
    sizes: tuple[int, ...]
    quick: tuple[int, ...]  # sizes of a play that only shows that it works
    units: dict[str, str]  # of each figure that `measure` returns
    measure: Callable[[int], Figures]
    repeats: int = 3
    target: float = 0.0  # the operators' size; 0: there is none
    cheap: bool = True  # it starts no process and is over in seconds, so that CI plays it
    notes: tuple[str, ...] = field(default=())  # what its figures leave out


def load_average() -> float:
    """Return the mean number of processes that ran or wanted to in the last minute, the whole machine's."""
    return round(os.getloadavg()[0], 2)


def machine() -> dict[str, Any]:
    """Return the machine in general terms."""
    return {"cores": os.cpu_count() or 0, "python": platform.python_version(), "optimised": not __debug__}


def play(
    scale: Scale, sizes: Sequence[int] = (), repeats: int = 0, tell: Callable[[str], None] = lambda line: None
) -> dict[str, Any]:
    """Play a scale test and return what is kept of it. Repeats are rounds over all sizes.

    So a minute in which the machine has something else to do falls on all sizes and not on one.
    """
    sizes = tuple(sizes) or scale.sizes
    repeats = repeats or scale.repeats
    came: dict[int, list[Figures]] = {size: [] for size in sizes}
    loads: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            began = time.monotonic()
            loads[size].append(load_average())
            came[size].append(scale.measure(size))
            tell(
                f"{scale.name} {size}: {_told(came[size][-1], scale.units)} "
                f"({time.monotonic() - began:.1f} s, load {loads[size][-1]})"
            )
    figures: dict[str, dict[str, Any]] = {}
    for name, unit in scale.units.items():
        series = [[one[name] for one in came[size]] for size in sizes]
        middle = [_short(median(values)) for values in series]
        figures[name] = {
            "unit": unit,
            "median": middle,
            "least": [_short(min(one)) for one in series],
            "most": [_short(max(one)) for one in series],
        }
        if len(sizes) >= 4:
            figures[name]["fit"] = fit(sizes, middle).to_json()
    others = "" if sizes == scale.sizes else f" --sizes {','.join(map(str, sizes))}"
    command = f"python -O -m reelusher.lab.capacity {scale.name}{others}"
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


def _short(value: float) -> float:
    return float(f"{value:.4g}")


def _told(figures: Figures, units: dict[str, str]) -> str:
    return ", ".join(f"{name} {value:.4g} {units[name]}".strip() for name, value in figures.items())


def fit_of(made: dict[str, Any], figure: str) -> Fit | None:
    """Return the fit that is kept of a figure; None where there were too few sizes."""
    kept = made["figures"][figure].get("fit")
    return Fit(**kept) if kept else None


def write(made: dict[str, Any], folder: Path = FOLDER) -> Path:
    """Keep what came of a play."""
    path = folder / f"{made['name']}.json"
    path.write_text(json.dumps(made, indent=1) + "\n")
    return path


def read_all(folder: Path = FOLDER) -> dict[str, dict[str, Any]]:
    """Return what is kept, by name."""
    found = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return {made["name"]: made for made in found}


def require(value: T | None, what: str = "what is measured is not there") -> T:
    """Return what must be there; raise RuntimeError where it is not, also where assertions are off."""
    if not value:
        raise RuntimeError(what)
    return value


def cpu_us_per_call(work: Callable[[], object], least_s: float = 0.03) -> float:
    """Return the microseconds of processor time that something takes, done again until it counts."""
    count, took = 1, 0.0
    while True:
        began = time.process_time()
        for _ in range(count):
            work()
        took = time.process_time() - began
        if took >= least_s:
            return took / count * 1e6
        count = max(count + 1, min(count * 10, int(count * least_s * 1.2 / max(took, 1e-6))))
