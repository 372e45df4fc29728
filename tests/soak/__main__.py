"""Plays the runs of a range of seeds, and prints the violations of each."""

import argparse
import sys
import tempfile
from pathlib import Path

from soak.plan import draw
from soak.rig import play

MAX_PRINTED = 10  # violations of one run


def main() -> int:
    """Play all seeds; return 1 if a run has violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="how many runs are played")
    parser.add_argument("--first", type=int, default=1, help="seed of the first run")
    parser.add_argument("--seconds", type=float, default=12.0, help="duration of the load of each run")
    parser.add_argument("--logs", type=Path, help="folder for logs and configurations of all runs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            run_folder = options.logs / str(seed) if options.logs else Path(folder)
            history = play(draw(seed, options.seconds), run_folder)
        violations = history.violations
        failed += bool(violations)
        print(f"seed {seed}: {len(violations)} violations, {dict(history.counts)}", flush=True)
        for violation in violations[:MAX_PRINTED]:
            print(f"  {violation}", flush=True)
    print(f"{failed} of {options.seeds} runs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
