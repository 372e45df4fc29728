"""The tables of docs/CAPACITY.md, written from the kept reports of scale tests and simulations."""

import json
import re
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

from reelusher.lab.capacity.budgets import DERIVED, EXPECTED
from reelusher.lab.capacity.fit import Fit
from reelusher.lab.capacity.harness import FOLDER, fit_of, read_all
from reelusher.lab.capacity.roles import DESIGN_TARGETS, ROLES, Row, missing_mechanisms

PAGE = FOLDER.parent / "CAPACITY.md"
BEFORE = "before"  # folder of reports from before a mechanism was built, for comparison
TABLE = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end of table -->)", re.DOTALL)
REFERENCE = re.compile(r"\[\[([\w./-]+?)(?:@([\w.]+)(?:([/-])([\w.]+)|~(least|most))?)?\]\]")
OMITTED_FIGURES = re.compile(  # left out of the table of simulations; the JSON files have them
    r"(datagrams?_|header_|exchanges?_|virtual_|driver_|process_|wall_|membership_core|replica_core|sealing_core"
    r"|failed_pulls|turned_away|peak_|sent_bytes_a_second_99)"
)
Reports = dict[str, dict[str, Any]]  # by name


class UnknownFigureError(Exception):
    """The page refers to an unknown table or figure, or a figure has no linear fit where one is needed."""


def format_number(value: float) -> str:
    """Return a number with three significant digits and commas between thousands."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value))))
        return f"{round(value, 3 - digits):,.0f}"
    text = f"{value:.3g}"
    return f"{value:.2e}" if "e" in text else text


def with_unit(value: float, unit: str) -> str:
    """Return a formatted number with its unit."""
    return f"{format_number(value)} {unit}".strip()


def describe_fit(report: dict[str, Any], figure: str) -> str:
    """Return the fixed cost, slope and goodness of fit of a figure as text, which says if no line fits."""
    fitted, unit = fit_of(report, figure), report["figures"][figure]["unit"]
    if fitted is None:
        return "too few sizes"
    quality = f"R² {fitted.r2:.4f}, worst {fitted.worst:.1%} at {format_number(fitted.worst_at)}"
    if fitted.shape == "even":
        return f"does not grow: {with_unit(fitted.fixed, unit)}; worst {fitted.worst:.1%}"
    if fitted.shape == "none":
        return f"nothing fits (line: R² {fitted.line_r2:.4f}, worst {fitted.line_worst:.1%})"
    line = (
        "" if fitted.shape == "n" else f"no line (R² {fitted.line_r2:.4f}, worst {fitted.line_worst:.1%}): "
    )
    return (
        f"{line}{with_unit(fitted.fixed, unit)} + {with_unit(fitted.slope, unit)} · {fitted.shape}; {quality}"
    )


def figure_at(report: dict[str, Any], figure: str, size: float) -> tuple[float | None, float]:
    """Return a figure at a size, and the ratio of the size to the largest measured one.

    The figure is the measured median, or the value of the fit at another size, None if no shape fits. The
    ratio is 1 for each measured size.
    """
    series, sizes = report["figures"][figure], report["sizes"]
    if size in sizes:
        return series["median"][sizes.index(size)], 1.0
    fitted: Fit | None = fit_of(report, figure)
    return (fitted.predict(size) if fitted else None), size / max(sizes)


def describe_figure_at(report: dict[str, Any], figure: str, size: float) -> str:
    """Return a figure at a size as text, which says if it is extrapolated or interpolated by the fit."""
    value, ratio = figure_at(report, figure, size)
    if value is None:
        return "not to be told: nothing fits"
    text = with_unit(value, report["figures"][figure]["unit"])
    if size in report["sizes"]:
        return text
    beyond = f"{format_number(ratio)} times beyond what was played" if ratio > 1 else "within what was played"
    return f"{text} (reckoned, {beyond})"


def compare_sizes(report: dict[str, Any], figure: str, size: float, operator: str, other_size: float) -> str:
    """Return as text the ratio (`/`) or difference (`-`) of a figure at two sizes, if both were measured."""
    value, other = (figure_at(report, figure, played_size) for played_size in (size, other_size))
    if value[0] is None or other[0] is None or not {size, other_size} <= set(report["sizes"]):
        return "not played at both sizes"
    unit = report["figures"][figure]["unit"]
    return (
        f"{format_number(value[0] / other[0])} times"
        if operator == "/"
        else with_unit(value[0] - other[0], unit)
    )


def _resolve_without_size(match: re.Match[str], reports: Reports) -> str | None:
    """Return a figure of a simulation, a derived or an expected one; None if it belongs to a scale test."""
    name = match.group(1)
    simulation, _, path = name.partition(".")
    if simulation in reports and "told" in reports[simulation]:
        if path not in reports[simulation]["told"]:
            raise UnknownFigureError(match.group(0))
        return _format_value(reports[simulation]["told"][path])
    test, _, figure = name.rpartition(".")
    if test == "derived" and figure in DERIVED:
        return with_unit(DERIVED[figure].value, DERIVED[figure].unit)
    if test == "expected" and figure in EXPECTED:
        return with_unit(EXPECTED[figure].value, EXPECTED[figure].unit)
    return None


def resolve_references(text: str, reports: Reports) -> str:
    """Replace references by figures. Raises `UnknownFigureError`.

    A reference is `[[test.figure@size]]`, its median at a size. With `@size/other` it is the ratio and with
    `@size-other` the difference of two sizes; with `@size~least` or `@size~most` it is the lowest or highest
    of the rounds. Others are `[[derived.name]]`, `[[expected.name]]` and `[[FOLDER/SIMULATION.figure]]`. A
    size is a number or the name of an expected figure. A scale test without a report gives "not run".
    """

    def parse_size(size: str) -> float:
        return EXPECTED[size].value if size in EXPECTED else float(size)

    def replacement(match: re.Match[str]) -> str:
        name, size = match.group(1), match.group(2)
        if (text := _resolve_without_size(match, reports)) is not None:
            return text
        test, _, figure = name.rpartition(".")
        if test not in reports:
            return "not run"
        if figure not in reports[test]["figures"] or size is None:
            raise UnknownFigureError(match.group(0))
        if match.group(5):
            series, sizes = reports[test]["figures"][figure], reports[test]["sizes"]
            return with_unit(series[match.group(5)][sizes.index(parse_size(size))], series["unit"])
        if match.group(3):
            return compare_sizes(
                reports[test], figure, parse_size(size), match.group(3), parse_size(match.group(4))
            )
        return describe_figure_at(reports[test], figure, parse_size(size))

    return REFERENCE.sub(replacement, text)


def _table(headings: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [headings, tuple("---" for _ in headings), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in lines)


def _expected(_reports: Reports) -> str:
    return _table(
        ("what", "size"), [(item.title, with_unit(item.value, item.unit)) for item in EXPECTED.values()]
    )


def _derived(_reports: Reports) -> str:
    return _table(
        ("what", "arithmetic", "figure"),
        [(item.title, item.formula, with_unit(item.value, item.unit)) for item in DERIVED.values()],
    )


def _load_range(report: dict[str, Any]) -> str:
    loads = [load for at_size in report["load_average"] for load in at_size]
    return f"{min(loads):.1f} to {max(loads):.1f}"


def _slopes(reports: Reports) -> str:
    rows = []
    for report in reports.values():
        sizes = f"{', '.join(map(format_number, report['sizes']))} {report['of']}"
        for index, (figure, series) in enumerate(report["figures"].items()):
            medians = ", ".join(map(format_number, series["median"])) + f" {series['unit']}".rstrip()
            at_target = describe_figure_at(report, figure, report["target"]) if report["target"] else ""
            rows.append(
                (
                    f"`{report['name']}`: {sizes}, {report['repeats']} each, load {_load_range(report)}"
                    if not index
                    else "",
                    figure,
                    medians,
                    describe_fit(report, figure),
                    at_target,
                )
            )
    return _table(("play", "figure", "medians", "fixed cost and slope", "at the operators' size"), rows)


def _commands(reports: Reports) -> str:
    return _table(
        ("command", "measures", "leaves out, and means"),
        [
            (f"`{report['command']}`", report["what"], "; ".join(report["notes"]))
            for report in reports.values()
        ],
    )


def _flatten(figures: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in figures.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", value


def read_simulations(folder: Path) -> Reports:
    """Return the kept reports of simulated fleets and of live runs, by `FOLDER/NAME`.

    The key `told` of a report has its figures without nesting, with dots between the names.
    """
    simulations = {}
    for path in sorted(folder.glob("*/*.json")):
        if path.parent.name != BEFORE:
            report = json.loads(path.read_text())
            simulations[f"{path.parent.name}/{path.stem}"] = report | {
                "told": dict(_flatten(report["figures"]))
            }
    return simulations


def _format_value(value: Any) -> str:
    return format_number(value) if isinstance(value, (int, float)) else str(value)


def _simulations(simulations: Reports) -> str:
    return _table(
        ("play", "command", "figures"),
        [
            (
                name,
                f"`{report['command']}`",
                "; ".join(
                    f"{figure} {_format_value(value)}"
                    for figure, value in report["told"].items()
                    if not OMITTED_FIGURES.match(figure.rpartition(".")[2])
                ),
            )
            for name, report in simulations.items()
        ],
    )


def _role_table(rows: tuple[Row, ...]) -> Callable[[Reports], str]:
    def role_table(reports: Reports) -> str:
        return _table(
            ("what", "at that size", "budget", "mechanism", "stands", "from"),
            [
                (
                    resolve_references(row.subject, reports),
                    resolve_references(row.figure, reports),
                    resolve_references(row.budget, reports),
                    row.mechanism,
                    row.status,
                    row.source,
                )
                for row in rows
            ],
        )

    return role_table


def _missing(reports: Reports) -> str:
    def slope(test: str, figure: str) -> tuple[float, float]:
        fitted = fit_of(reports[test], figure)
        if fitted is None or fitted.shape not in ("n", "even"):
            raise UnknownFigureError(f"no line through {test}.{figure}")
        return fitted.fixed, fitted.slope

    return _table(
        ("", "missing", "breaks at", "arithmetic", "what it would be"),
        [
            (
                str(rank),
                missing.name,
                f"{format_number(missing.limit_nodes())} nodes",
                resolve_references(missing.arithmetic, reports),
                missing.mechanism,
            )
            for rank, missing in enumerate(missing_mechanisms(slope), 1)
        ],
    )


def tables(folder: Path = FOLDER) -> dict[str, str]:
    """Return all tables of the page, by name. Raises `UnknownFigureError`."""
    reports, before, simulations = read_all(folder), read_all(folder / BEFORE), read_simulations(folder)
    texts: dict[str, str] = {
        "expected": _expected(reports),
        "derived": _derived(reports),
        "slopes": _slopes(reports),
        "before": _slopes(before),
        "commands": _commands(reports),
        "missing": _missing(reports),
        "plays": _simulations(simulations),
    }
    all_reports = {
        **reports,
        **simulations,
        **{f"{BEFORE}/{name}": report for name, report in before.items()},
    }
    texts["shown"] = _table(
        ("wanted", "measured", "bound", "by"),
        [
            (
                resolve_references(row.subject, all_reports),
                resolve_references(row.figure, all_reports),
                row.budget,
                row.source,
            )
            for row in DESIGN_TARGETS
        ],
    )
    return {**texts, **{f"role-{name}": _role_table(rows)(all_reports) for name, rows in ROLES.items()}}


def update_tables(text: str, folder: Path = FOLDER) -> str:
    """Return a page with its tables written from the reports in a folder. Raises `UnknownFigureError`."""
    texts = tables(folder)

    def replacement(match: re.Match[str]) -> str:
        if match.group(2) not in texts:
            raise UnknownFigureError(match.group(2))
        return f"{match.group(1)}{texts[match.group(2)]}\n{match.group(3)}"

    return TABLE.sub(replacement, text)


def rewrite(page: Path = PAGE, folder: Path = FOLDER) -> None:
    """Update the tables in the file of the page. Raises `UnknownFigureError`."""
    page.write_text(update_tables(page.read_text(), folder))
