"""A cold start of all and the return of a zone, by the model of `lab/fleet` on its virtual clock."""

import tempfile
import time
from functools import partial
from pathlib import Path

from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale
from reelusher.lab.fleet import model
from reelusher.lab.fleet.plan import read

PLANS = Path(model.__file__).parent / "plans"
NODES = 6  # of the plan as it is
SHORTER = {"cold.toml": "[run]\nseconds = 6\n", "zone-lost.toml": "[run]\nseconds = 16\n"}


def started(plan: str, size: int) -> Figures:
    """Play a plan at a size, and tell what came of it; raise where a rule was broken or not all came back."""
    began = time.process_time()
    with tempfile.TemporaryDirectory() as name:
        shorter = Path(name) / "shorter.toml"
        shorter.write_text(SHORTER[plan])
        account = model.play(read([PLANS / "base.toml", PLANS / plan, shorter], size / NODES))
    figures = account.figures()
    if account.violations:
        raise RuntimeError(f"a rule was broken: {account.violations[0]}")
    return {
        "listed_s": float(figures["all_listed_s"]),
        "most_reports": float(figures["reports_most_in_100ms"]),
        "most_over_mean": figures["reports_most_in_100ms"] / figures["reports_mean_in_100ms"],
        "served_worth": float(figures["served_worth"]),
        "played_s": time.process_time() - began,
    }


_OF = partial(
    Scale,
    size_unit="nodes",
    target=expected("nodes"),
    sizes=(60, 240, 960, 2880),
    quick=(6,),
    cheap=False,
    repeats=1,
    units={"listed_s": "s", "most_reports": "", "most_over_mean": "", "served_worth": "", "played_s": "s"},
)
SCALES = [
    _OF(
        "start-all",
        "all nodes start cold within 0.2 s, with the load at the door, 6 s of it",
        measure=partial(started, "cold.toml"),
        notes=(
            "the model of lab/fleet: the real core and decisions; interpreters take 0.4 s each",
            "most_reports: in 100 ms; served_worth: part of the worth asked for",
        ),
    ),
    _OF(
        "start-zone",
        "a zone of three is lost for 5 s and comes back cold, 16 s of load",
        measure=partial(started, "zone-lost.toml"),
    ),
]
