"""Plays a plan of many nodes: python -m reelusher.lab.fleet PLAN.toml [--json F] [--picture F.png]."""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import ConfigError
from reelusher.lab.fleet import model
from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.plan import read
from reelusher.lab.fleet.rig import play

MAX_PRINTED_VIOLATIONS = 20


def table(figures: dict[str, Any]) -> str:
    """Return the figures as a table, one per line."""
    width = max(map(len, figures))
    return "\n".join(f"{name.ljust(width)}  {value}" for name, value in figures.items())


def draw(history: RunHistory, path: Path) -> None:
    """Draw the series of a run over time, with its faults marked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    series = history.series()
    groups = {
        "a second": ("served", "refused", "failed", "calls"),
        "most in hand below": tuple(name for name in series if name.startswith("held")),
        "reports a second": ("reports",),
    }
    figure, axes = pyplot.subplots(len(groups), 1, sharex=True, figsize=(10, 8), layout="constrained")
    for axis, (title, names) in zip(axes, groups.items(), strict=True):
        for name in names:
            axis.step(range(len(series[name])), series[name], where="post", label=name)
        for at_s, text in history.events:
            axis.axvline(at_s, color="grey", linestyle=":", linewidth=1)
            if axis is axes[0]:
                axis.annotate(text, (at_s, 1), xycoords=("data", "axes fraction"), rotation=60, fontsize=7)
        axis.set_ylim(bottom=0)
        axis.set_ylabel(title)
        if names:  # a plan without calls has no series of downstream calls
            axis.legend(fontsize=7)
    axes[-1].set_xlabel("seconds of load")
    figure.savefig(path, dpi=110)


def main(argv: list[str] | None = None) -> int:
    """Play a plan; return 0, 1 if the run has violations, or 2 if the plan is invalid."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.fleet", description="Many nodes, on loopback only.")
    parser.add_argument("plan", type=Path, nargs="+", help="TOML files, see docs/fleet-rig.md")
    parser.add_argument("--scale", type=float, default=1.0, help="times the size of the plan")
    parser.add_argument("--json", type=Path, help="write the figures and series there")
    parser.add_argument("--picture", type=Path, help="draw the run there (PNG or SVG)")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--model", action="store_true", help="on a virtual clock, without processes")
    args = parser.parse_args(argv)
    try:
        plan = read(args.plan, args.scale)
        history = model.play(plan) if args.model else play(plan, args.logs)
    except ConfigError as error:
        print(f"plan: {error}", file=sys.stderr)
        return 2
    figures = history.figures()
    print(table(figures))
    for line in history.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"broken: {line}")
    if args.json:
        output = {
            "figures": figures,
            "series": history.series(),
            "marks": history.events,
            "broken": history.violations,
        }
        args.json.write_text(json.dumps(output, indent=1) + "\n")
    if args.picture:
        draw(history, args.picture)
    return 1 if history.violations else 0


if __name__ == "__main__":
    sys.exit(main())
