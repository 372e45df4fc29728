"""Scale tests: the fit on known series, quick runs, and the agreement of the page with the reports."""

import ast
import json
import shutil
import sys
from collections.abc import Callable
from math import log2
from pathlib import Path
from random import Random
from typing import Any

import pytest

from reelusher.lab.capacity import budgets, page
from reelusher.lab.capacity.__main__ import SCALES, SUBJECTS, main
from reelusher.lab.capacity.fit import fit
from reelusher.lab.capacity.harness import FOLDER, Scale, read_all, run_scale_test, write

SIZES = (1000, 2000, 4000, 8000, 16_000)
CHEAP = [name for name, scale in SCALES.items() if scale.cheap]


# The fit


@pytest.mark.parametrize(
    ("shape", "fixed", "slope", "shape_of"),
    [
        ("n", 5.0, 0.25, lambda n: n),
        ("n", 0.0, 3.0, lambda n: n),
        ("n", 1e4, -0.5, lambda n: n),
        ("n log n", 2.0, 0.01, lambda n: n * log2(n)),
        ("n^2", 7.0, 1e-4, lambda n: n * n),
        ("even", 12.0, 0.0, lambda n: n),
    ],
)
@pytest.mark.parametrize("noise", [0.0, 0.002])
def test_the_shape_of_a_known_series_is_found(
    shape: str, fixed: float, slope: float, shape_of: Callable[[float], float], noise: float
) -> None:
    random = Random(f"{shape} {noise}")
    series = [(fixed + slope * shape_of(size)) * (1 + random.uniform(-noise, noise)) for size in SIZES]
    found = fit(SIZES, series)
    assert found.shape == shape
    assert found.worst <= 0.01 + noise
    assert found.slope == pytest.approx(slope, rel=0.05)
    assert shape == "even" or found.r2 > 0.999
    if not noise:
        assert found.fixed == pytest.approx(fixed, abs=1e-6 * max(series))
        assert found.predict(260_000) == pytest.approx(fixed + slope * shape_of(260_000))


@pytest.mark.parametrize(
    "series",
    [
        [10.0, 3.0, 11.0, 2.0, 12.0],  # noise only
        [1.0, 1.0, 1.0, 1.0, 50.0],  # a sudden limit
        [10.0, 50.0, 60.0, 61.0, 61.5],  # it levels off
    ],
)
def test_a_series_that_no_shape_fits_gets_no_prediction(series: list[float]) -> None:
    found = fit(SIZES, series)
    assert found.shape == "none"
    assert found.predict(260_000) is None


def test_a_line_does_not_fit_squares_and_its_residual_is_reported() -> None:
    found = fit(SIZES, [1e-6 * size * size for size in SIZES])
    assert found.shape == "n^2"
    assert found.line_r2 < 0.98 < found.r2
    assert found.line_worst > 0.1
    report = {"figures": {"took": {"unit": "s", "median": [1.0] * 5, "fit": found.to_json()}}}
    assert page.describe_fit(report, "took").startswith("no line")


@pytest.mark.parametrize("sizes", [(1, 2, 3), (1, 1, 2, 3)])
def test_fewer_than_four_sizes_are_refused(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        fit(sizes, [1.0] * len(sizes))


# The harness


def measure_line(size: int) -> dict[str, float]:
    return {"took": 2.0 * size + 1}


FAKE = Scale("fake", "nothing", "things", (1, 2, 4, 8), (1,), {"took": "s"}, measure_line, target=80)


def test_a_report_contains_what_is_needed_to_judge_its_figures(tmp_path: Path) -> None:
    write(run_scale_test(FAKE, repeats=2), tmp_path)
    report = read_all(tmp_path)["fake"]
    assert report["command"] == "python -O -m reelusher.lab.capacity fake"
    assert report["repeats"] == 2
    assert set(report["machine"]) == {"cores", "python", "optimised"}
    assert [len(loads) for loads in report["load_average"]] == [2, 2, 2, 2]
    assert report["figures"]["took"]["median"] == [3, 5, 9, 17]
    assert report["figures"]["took"]["fit"]["slope"] == 2
    assert page.describe_figure_at(report, "took", 80) == "161 s (reckoned, 10 times beyond what was played)"
    assert page.describe_figure_at(report, "took", 4) == "9 s"


def test_sizes_other_than_the_defaults_are_part_of_the_command() -> None:
    assert run_scale_test(FAKE, (1, 2, 3, 4))["command"].endswith("fake --sizes 1,2,3,4")


@pytest.mark.parametrize("name", CHEAP)
def test_each_cheap_scale_test_runs(name: str) -> None:
    scale = SCALES[name]
    report = run_scale_test(scale, scale.quick, 1)
    assert len(scale.quick) >= 4
    assert set(report["figures"]) == set(scale.units)
    assert all("fit" in figure for figure in report["figures"].values())


def test_modules_of_scale_tests_contain_no_assertions() -> None:
    """Scale tests run under -O, where a look-up within an assertion was not run and measured as 0.01 µs."""
    helpers = [sys.modules[f"reelusher.lab.capacity.{name}"] for name in ("site", "fit", "harness")]
    sources = [Path(str(module.__file__)) for module in (*SUBJECTS, *helpers)]
    assert [
        path.name
        for path in sources
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Assert)
    ] == []


def test_every_scale_test_has_four_sizes_or_more() -> None:
    assert [name for name, scale in SCALES.items() if len(set(scale.sizes)) < 4] == []


def test_the_command_line_lists_scale_tests_and_rejects_unknown_names(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["list"]) == 0
    listed = capsys.readouterr().out
    assert [name for name in SCALES if name not in listed] == []
    assert main(["nothing-of-this-name"]) == 2
    assert "nothing-of-this-name" in capsys.readouterr().err
    assert main(["learning", "--quick"]) == 0
    assert "learning.told_kb" in capsys.readouterr().out


# The operators' table


def test_the_operators_figures_agree_with_each_other() -> None:
    """Their figures for one node are those of the fleet per node, rounded down."""
    assert int(budgets.derived("mean_node_requests_per_s")) == budgets.expected("node_requests_per_s")
    assert budgets.expected("twice_requests_per_s") == 2 * budgets.expected("node_requests_per_s")
    assert budgets.derived("lost_region_mean") == pytest.approx(
        budgets.expected("lost_region_requests_per_s"), rel=0.02
    )


# The page


def is_outdated(text: str, folder: Path) -> bool:
    return page.update_tables(text, folder) != text


def test_the_page_agrees_with_the_reports() -> None:
    assert not is_outdated(page.PAGE.read_text(), FOLDER), "python -m reelusher.lab.capacity --page"


def test_the_page_names_the_command_of_each_report() -> None:
    text = page.PAGE.read_text()
    reports = read_all()
    assert reports
    assert [report["command"] for report in reports.values() if report["command"] not in text] == []


def change_median(report: dict[str, Any]) -> None:
    first = next(iter(report["figures"].values()))
    first["median"][0] = first["median"][0] * 2 + 1


def change_slope(report: dict[str, Any]) -> None:
    first = next(iter(report["figures"].values()))
    first["fit"] |= {"shape": "n", "slope": 123.456}


def change_command(report: dict[str, Any]) -> None:
    report["command"] += " --sizes 1,2,3,4"


@pytest.mark.parametrize("change", [change_median, change_slope, change_command])
def test_a_page_that_differs_from_the_reports_is_detected(
    tmp_path: Path, change: Callable[[dict[str, Any]], None]
) -> None:
    shutil.copytree(FOLDER, tmp_path / "capacity")
    path = sorted((tmp_path / "capacity").glob("*.json"))[0]
    report = json.loads(path.read_text())
    change(report)
    path.write_text(json.dumps(report))
    assert is_outdated(page.PAGE.read_text(), tmp_path / "capacity")


def test_a_figure_edited_on_the_page_is_detected() -> None:
    text = page.PAGE.read_text()
    assert is_outdated(text.replace("| nodes / zones | 212 |", "| nodes / zones | 213 |"), FOLDER)


@pytest.mark.parametrize(
    "text", ["<!-- table nothing -->\n<!-- end of table -->", "<!-- table expected -->\nno end"]
)
def test_an_unknown_table_is_an_error(text: str) -> None:
    if "no end" in text:
        assert (
            page.update_tables(text) == text
        )  # not a table; test_all_tables_are_on_the_page finds it missing
    else:
        with pytest.raises(page.UnknownFigureError):
            page.update_tables(text)


def test_all_tables_are_on_the_page() -> None:
    names = {name for _, name, _ in page.TABLE.findall(page.PAGE.read_text())}
    assert names == set(page.tables())


def test_references_are_resolved_or_refused() -> None:
    reports = {"fake": run_scale_test(FAKE)}
    assert page.resolve_references("[[nothing.took@4]], [[fake.took@8]]", reports) == "not run, 17 s"
    assert page.resolve_references("[[fake.took@4/1]], [[fake.took@8-1]], [[fake.took@80/1]]", reports) == (
        "3 times, 14 s, not played at both sizes"
    )
    reports["fake"]["figures"]["took"]["least"][1] = 4.5
    assert page.resolve_references("[[fake.took@2~least]] to [[fake.took@2~most]]", reports) == "4.5 s to 5 s"
    with pytest.raises(page.UnknownFigureError):
        page.resolve_references("[[fake.nothing@4]]", reports)
