"""A cold start of a whole fleet and the return of a lost zone, simulated by `lab/fleet`."""

import tempfile
import time
from functools import partial
from pathlib import Path

from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale
from reelusher.lab.fleet import model
from reelusher.lab.fleet.plan import read

PLANS = Path(model.__file__).parent / "plans"
PLAN_NODES = 6  # nodes of a plan at scale 1
SHORTENED_RUNS = {"cold.toml": "[run]\nseconds = 6\n", "zone-lost.toml": "[run]\nseconds = 16\n"}


def measure_plan(plan: str, size: int) -> Figures:
    """Simulate a plan with a number of nodes.

    Raises RuntimeError if an invariant was violated, and TypeError if a node was never listed.
    """
    began = time.process_time()
    with tempfile.TemporaryDirectory() as name:
        override = Path(name) / "shorter.toml"
        override.write_text(SHORTENED_RUNS[plan])
        account = model.play(read([PLANS / "base.toml", PLANS / plan, override], size / PLAN_NODES))
    figures = account.figures()
    if account.violations:
        raise RuntimeError(f"an invariant was violated: {account.violations[0]}")
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
        measure=partial(measure_plan, "cold.toml"),
        notes=(
            "the model of lab/fleet: the real core and decisions; interpreters take 0.4 s each",
            "most_reports: in 100 ms; served_worth: part of the worth asked for",
        ),
    ),
    _OF(
        "start-zone",
        "a zone of three is lost for 5 s and comes back cold, 16 s of load",
        measure=partial(measure_plan, "zone-lost.toml"),
    ),
]
