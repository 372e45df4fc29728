"""Fault injection into real processes: tenants change while nodes are killed, paused and cut off.

    python -m reelusher.lab.capacity.live --nodes 24 --kills 200 --json FILE
    python -m reelusher.lab.capacity.live fill --rows 260000

Loopback only. Exit status: 0, or 1 if an invariant was violated. Ctrl-C ends every process by its id.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from reelusher.lab.capacity import fill
from reelusher.lab.capacity.fault_run import FaultRun
from reelusher.lab.capacity.fault_run_plan import FaultRunPlan


def run_plan(plan: FaultRunPlan, folder: Path | None = None) -> FaultRun:
    """Run a plan. Logs and configurations of nodes go to `folder`, by default a temporary one.

    Raises SystemExit after SIGTERM, once all node processes have ended.
    """

    async def run_in(run_folder: Path) -> FaultRun:
        run, task = FaultRun(plan, run_folder), asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await run.execute()
        return run

    with contextlib.ExitStack() as stack:
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        run_folder.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(run_in(run_folder))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None


def main(argv: list[str] | None = None) -> int:
    """Run a plan and print its figures; return 0, or 1 if an invariant was violated."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["fill"]:
        return fill.main(arguments[1:])
    defaults = FaultRunPlan()
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.live", description="On loopback only.")
    parser.add_argument("--nodes", type=int, default=defaults.nodes)
    parser.add_argument("--kills", type=int, default=defaults.kills)
    parser.add_argument("--hollow", type=int, default=defaults.simulated_members, help="simulated members")
    parser.add_argument(
        "--hollow-parts",
        type=int,
        default=defaults.member_process_count,
        help="processes that run the simulated members",
    )
    parser.add_argument("--tenants", type=int, default=defaults.tenants)
    parser.add_argument(
        "--rate", type=float, default=defaults.requests_per_s, help="requests a second in all"
    )
    parser.add_argument(
        "--changes", type=float, default=defaults.changes_per_s, help="changes a second in all"
    )
    parser.add_argument("--away", type=int, default=defaults.max_away, help="nodes that are down at once")
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--alone", action="store_true", help="one node with a journal, not replicated")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--json", type=Path, help="write the figures there")
    args = parser.parse_args(arguments)
    nodes = 1 if args.alone else args.nodes
    began_s = time.monotonic()
    run = run_plan(
        FaultRunPlan(
            nodes,
            args.kills,
            args.hollow,
            args.hollow_parts,
            args.tenants,
            args.rate,
            args.changes,
            args.away,
            not args.alone,
            args.seed,
        ),
        args.logs,
    )
    figures = {**run.figures, "took_s": round(time.monotonic() - began_s, 1)}
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"{name.ljust(width)}  {value}")
    for line in run.checker.violations[:40]:
        print(f"broken: {line}")
    if args.json:
        args.json.write_text(
            json.dumps({"figures": figures, "broken": run.checker.violations}, indent=1) + "\n"
        )
    return 1 if run.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
