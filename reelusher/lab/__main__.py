"""Plays a load plan and prints a report: python -m reelusher.lab PLAN.toml [--json FILE]."""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import ConfigError
from reelusher.lab.load import Tally, play
from reelusher.lab.plan import Plan, read
from reelusher.tenancy.rate_limit import jain

COLUMNS = (
    "caller",
    "asked",
    "tries",
    "served",
    "refused",
    "failed",
    "lost",
    "in_time",
    "p50_ms",
    "p90_ms",
    "p99_ms",
    "max_ms",
)


def report(plan: Plan, tallies: dict[str, Tally], runs: int) -> dict[str, Any]:
    """Return the report of a run: counts, fractions of 1, and latencies of served requests in ms."""
    rows = []
    for caller in plan.callers:
        tally = tallies[caller.name]
        counts, latency = tally.counts, tally.latency
        percentiles = {
            f"p{percentile}_ms": latency.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 90, 99)
        }
        rows.append(
            {
                "caller": caller.name,
                **{name: counts[name] for name in ("asked", "tries", "served", "refused", "failed", "lost")},
                "in_time": round(counts["in_time"] / max(1, counts["asked"]), 4),
                **percentiles,
                "max_ms": latency.get_max_value() / 1000,
            }
        )
    shares = [row["served"] / caller.weight for row, caller in zip(rows, plan.callers, strict=True)]
    capacity_per_s = sum(
        worker.slots * 1000 / worker.service_ms for worker in plan.workers if worker.service_ms
    )
    return {
        "seconds": plan.seconds,
        "warm_up_s": plan.warm_up_s,
        "seed": plan.seed,
        "callers": rows,
        "jain": round(jain(shares), 4),
        "runs": runs,
        "capacity_used": round(runs / (capacity_per_s * plan.seconds), 4) if capacity_per_s else None,
    }


def table(figures: dict[str, Any]) -> str:
    """Return a report as a text table."""
    rows = [COLUMNS, *([str(row[name]) for name in COLUMNS] for row in figures["callers"])]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    summary = f"jain {figures['jain']}  runs {figures['runs']}  of capacity {figures['capacity_used']}"
    return "\n".join([*lines, summary])


def main(argv: list[str] | None = None) -> int:
    """Play a plan; return 0, or 2 if the plan is invalid."""
    parser = argparse.ArgumentParser(prog="reelusher.lab", description="Load over AJP, on loopback only.")
    parser.add_argument("plan", type=Path, help="a TOML file, see docs/lab.md")
    parser.add_argument("--json", type=Path, help="write the report there too")
    args = parser.parse_args(argv)
    try:
        plan = read(args.plan)
    except ConfigError as error:
        print(f"plan: {error}", file=sys.stderr)
        return 2
    figures = report(plan, *asyncio.run(play(plan)))
    print(table(figures))
    if args.json:
        args.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
