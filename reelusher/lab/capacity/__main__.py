"""Runs scale tests: python -m reelusher.lab.capacity [NAME ...] [--sizes N,N] [--quick] [--page]."""

import argparse
import sys
from pathlib import Path
from typing import Any

from reelusher.lab.capacity import (
    callers,
    copy,
    keys,
    membership,
    page,
    reports,
    request,
    starts,
    state,
    tenants,
    workers,
)
from reelusher.lab.capacity.harness import FOLDER, Scale, fit_of, run_scale_test, write

SUBJECTS = (tenants, copy, workers, request, callers, keys, membership, reports, starts, state)
SCALES: dict[str, Scale] = {scale.name: scale for subject in SUBJECTS for scale in subject.SCALES}


def sizes_of(text: str) -> tuple[int, ...]:
    """Parse sizes that are separated by commas. Raises ValueError."""
    return tuple(int(word) for word in text.split(","))


def describe_fits(report: dict[str, Any]) -> str:
    """Return the fits in the report of a scale test, one a line."""
    return "\n".join(
        f"{report['name']}.{figure}: {page.describe_fit(report, figure)}"
        for figure in report["figures"]
        if fit_of(report, figure)
    )


def main(argv: list[str] | None = None) -> int:
    """Run scale tests or write the page; return 0, 1 if a test failed, or 2 if a name is unknown."""
    parser = argparse.ArgumentParser(
        prog="reelusher.lab.capacity", description="Scale tests, on loopback only; docs/CAPACITY.md."
    )
    parser.add_argument("name", nargs="*", help="`list`, or names of scale tests; all of them by default")
    parser.add_argument(
        "--sizes", type=sizes_of, default=(), help="sizes in place of the test's own, separated by commas"
    )
    parser.add_argument("--repeats", type=int, default=0, help="number of runs of each size")
    parser.add_argument("--quick", action="store_true", help="run small sizes once and keep nothing")
    parser.add_argument("--folder", type=Path, default=FOLDER, help="folder of the JSON files")
    parser.add_argument("--page", action="store_true", help="update the page's tables and run nothing")
    options = parser.parse_args(argv)
    if options.page:
        page.rewrite(page.PAGE, options.folder)
        return 0
    if options.name == ["list"]:
        for scale in SCALES.values():
            print(f"{scale.name:18} {scale.title} ({', '.join(map(str, scale.sizes))} {scale.size_unit})")
        return 0
    unknown = [name for name in options.name if name not in SCALES]
    if unknown:
        print(f"no scale test is named {unknown[0]!r}; `list` names them", file=sys.stderr)
        return 2
    failed = 0
    for name in options.name or SCALES:
        scale = SCALES[name]
        sizes = options.sizes or (scale.quick if options.quick else scale.sizes)
        try:
            report = run_scale_test(scale, sizes, options.repeats or int(options.quick), print)
        except (OSError, RuntimeError, AssertionError) as error:
            print(f"{name}: failed: {error!r}", file=sys.stderr)
            failed = 1
            continue
        print(describe_fits(report))
        if not options.quick:
            options.folder.mkdir(parents=True, exist_ok=True)
            write(report, options.folder)
    return failed


if __name__ == "__main__":
    sys.exit(main())
