"""Plays scale tests: python -m reelusher.lab.capacity [NAME ...] [--sizes N,N] [--quick] [--page]."""

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
    """Read sizes from the command line."""
    return tuple(int(word) for word in text.split(","))


def told(made: dict[str, Any]) -> str:
    """Return the fits of a play as lines."""
    return "\n".join(
        f"{made['name']}.{figure}: {page.fit_told(made, figure)}"
        for figure in made["figures"]
        if fit_of(made, figure)
    )


def main(argv: list[str] | None = None) -> int:
    """Play scale tests; 0, 1 where one failed, 2 where a name is unknown or the page differs."""
    parser = argparse.ArgumentParser(
        prog="reelusher.lab.capacity", description="Scale tests, on loopback only; docs/CAPACITY.md."
    )
    parser.add_argument("name", nargs="*", help="`list`, or scale tests; none: all of them")
    parser.add_argument("--sizes", type=sizes_of, default=(), help="others than the test's own, by commas")
    parser.add_argument("--repeats", type=int, default=0, help="of each size")
    parser.add_argument("--quick", action="store_true", help="small sizes, once, nothing is kept")
    parser.add_argument("--folder", type=Path, default=FOLDER, help="keeps the JSON")
    parser.add_argument("--page", action="store_true", help="write the page's tables anew, play nothing")
    given = parser.parse_args(argv)
    if given.page:
        page.rewrite(page.PAGE, given.folder)
        return 0
    if given.name == ["list"]:
        for scale in SCALES.values():
            print(f"{scale.name:18} {scale.title} ({', '.join(map(str, scale.sizes))} {scale.size_unit})")
        return 0
    unknown = [name for name in given.name if name not in SCALES]
    if unknown:
        print(f"no scale test is named {unknown[0]!r}; `list` names them", file=sys.stderr)
        return 2
    failed = 0
    for name in given.name or SCALES:
        scale = SCALES[name]
        sizes = given.sizes or (scale.quick if given.quick else scale.sizes)
        try:
            made = run_scale_test(scale, sizes, given.repeats or int(given.quick), print)
        except (OSError, RuntimeError, AssertionError) as error:
            print(f"{name}: failed: {error!r}", file=sys.stderr)
            failed = 1
            continue
        print(told(made))
        if not given.quick:
            given.folder.mkdir(parents=True, exist_ok=True)
            write(made, given.folder)
    return failed


if __name__ == "__main__":
    sys.exit(main())
