"""Scale tests: the fit on series that are known, quick plays, and a page that says what was measured."""

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
from reelusher.lab.capacity.harness import FOLDER, Scale, play, read_all, write

SIZES = (1000, 2000, 4000, 8000, 16_000)
CHEAP = [name for name, scale in SCALES.items() if scale.cheap]


# The fit


@pytest.mark.parametrize(
    ("shape", "fixed", "slope", "of"),
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
def test_a_known_series_is_told_as_what_it_is(
    shape: str, fixed: float, slope: float, of: Callable[[float], float], noise: float
) -> None:
    random = Random(f"{shape} {noise}")
    series = [(fixed + slope * of(size)) * (1 + random.uniform(-noise, noise)) for size in SIZES]
    found = fit(SIZES, series)
    assert found.shape == shape
    assert found.worst <= 0.01 + noise
    assert found.slope == pytest.approx(slope, rel=0.05)
    assert shape == "even" or found.r2 > 0.999
    if not noise:
        assert found.fixed == pytest.approx(fixed, abs=1e-6 * max(series))
        assert found.at(260_000) == pytest.approx(fixed + slope * of(260_000))


@pytest.mark.parametrize(
    "series",
    [
        [10.0, 3.0, 11.0, 2.0, 12.0],  # noise and nothing else
        [1.0, 1.0, 1.0, 1.0, 50.0],  # a wall
        [10.0, 50.0, 60.0, 61.0, 61.5],
    ],
)  # it levels off
def test_what_no_shape_fits_is_told_and_not_drawn_through(series: list[float]) -> None:
    found = fit(SIZES, series)
    assert found.shape == "none"
    assert found.at(260_000) is None


def test_a_line_is_told_not_to_fit_squares_and_by_how_much() -> None:
    found = fit(SIZES, [1e-6 * size * size for size in SIZES])
    assert found.shape == "n^2"
    assert found.line_r2 < 0.98 < found.r2
    assert found.line_worst > 0.1
    kept = {"figures": {"took": {"unit": "s", "median": [1.0] * 5, "fit": found.to_json()}}}
    assert page.describe_fit(kept, "took").startswith("no line")


@pytest.mark.parametrize("sizes", [(1, 2, 3), (1, 1, 2, 3)])
def test_fewer_than_four_sizes_are_no_slope(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        fit(sizes, [1.0] * len(sizes))


# The harness


def counting(size: int) -> dict[str, float]:
    return {"took": 2.0 * size + 1}


FAKE = Scale("fake", "nothing", "things", (1, 2, 4, 8), (1,), {"took": "s"}, counting, target=80)


def test_a_play_keeps_what_is_needed_to_judge_its_figures(tmp_path: Path) -> None:
    write(play(FAKE, repeats=2), tmp_path)
    made = read_all(tmp_path)["fake"]
    assert made["command"] == "python -O -m reelusher.lab.capacity fake"
    assert made["repeats"] == 2
    assert set(made["machine"]) == {"cores", "python", "optimised"}
    assert [len(loads) for loads in made["load_average"]] == [2, 2, 2, 2]
    assert made["figures"]["took"]["median"] == [3, 5, 9, 17]
    assert made["figures"]["took"]["fit"]["slope"] == 2
    assert page.describe_figure_at(made, "took", 80) == "161 s (reckoned, 10 times beyond what was played)"
    assert page.describe_figure_at(made, "took", 4) == "9 s"


def test_other_sizes_are_part_of_the_command() -> None:
    assert play(FAKE, (1, 2, 3, 4))["command"].endswith("fake --sizes 1,2,3,4")


@pytest.mark.parametrize("name", CHEAP)
def test_each_cheap_scale_test_plays(name: str) -> None:
    scale = SCALES[name]
    made = play(scale, scale.quick, 1)
    assert len(scale.quick) >= 4
    assert set(made["figures"]) == set(scale.units)
    assert all("fit" in figure for figure in made["figures"].values())


def test_what_is_played_without_assertions_has_none() -> None:
    """Under -O an assertion is not run: a look-up within one was measured as 0.01 µs."""
    beside = [sys.modules[f"reelusher.lab.capacity.{name}"] for name in ("site", "fit", "harness")]
    sources = [Path(str(module.__file__)) for module in (*SUBJECTS, *beside)]
    assert [
        path.name
        for path in sources
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Assert)
    ] == []


def test_every_scale_test_has_four_sizes_or_more() -> None:
    assert [name for name, scale in SCALES.items() if len(set(scale.sizes)) < 4] == []


def test_the_command_line_lists_plays_and_names_what_it_does_not_know(
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
    """Their own figures for a node are those of the fleet, rounded down."""
    assert int(budgets.derived("mean_node_requests_per_s")) == budgets.expected("node_requests_per_s")
    assert budgets.expected("twice_requests_per_s") == 2 * budgets.expected("node_requests_per_s")
    assert budgets.derived("lost_region_mean") == pytest.approx(
        budgets.expected("lost_region_requests_per_s"), rel=0.02
    )


# The page


def differs(text: str, folder: Path) -> bool:
    return page.update_tables(text, folder) != text


def test_the_page_says_what_is_kept() -> None:
    assert not differs(page.PAGE.read_text(), FOLDER), "python -m reelusher.lab.capacity --page"


def test_the_page_names_the_command_of_each_play() -> None:
    text = page.PAGE.read_text()
    kept = read_all()
    assert kept
    assert [made["command"] for made in kept.values() if made["command"] not in text] == []


def a_median(made: dict[str, Any]) -> None:
    first = next(iter(made["figures"].values()))
    first["median"][0] = first["median"][0] * 2 + 1


def a_slope(made: dict[str, Any]) -> None:
    first = next(iter(made["figures"].values()))
    first["fit"] |= {"shape": "n", "slope": 123.456}


def a_command(made: dict[str, Any]) -> None:
    made["command"] += " --sizes 1,2,3,4"


@pytest.mark.parametrize("change", [a_median, a_slope, a_command])
def test_a_page_that_differs_from_what_is_kept_is_found(
    tmp_path: Path, change: Callable[[dict[str, Any]], None]
) -> None:
    shutil.copytree(FOLDER, tmp_path / "capacity")
    path = sorted((tmp_path / "capacity").glob("*.json"))[0]
    made = json.loads(path.read_text())
    change(made)
    path.write_text(json.dumps(made))
    assert differs(page.PAGE.read_text(), tmp_path / "capacity")


def test_a_figure_typed_on_the_page_is_found() -> None:
    text = page.PAGE.read_text()
    assert differs(text.replace("| nodes / zones | 212 |", "| nodes / zones | 213 |"), FOLDER)


@pytest.mark.parametrize(
    "text", ["<!-- table nothing -->\n<!-- end of table -->", "<!-- table expected -->\nno end"]
)
def test_a_table_that_there_is_not_is_an_error(text: str) -> None:
    if "no end" in text:
        assert page.update_tables(text) == text  # it is no table, and the page's own check counts them
    else:
        with pytest.raises(page.UnknownFigureError):
            page.update_tables(text)


def test_all_tables_are_on_the_page() -> None:
    found = {name for _, name, _ in page.TABLE.findall(page.PAGE.read_text())}
    assert found == set(page.tables())


def test_a_reference_to_what_is_not_kept_is_told_or_refused() -> None:
    kept = {"fake": play(FAKE)}
    assert page.resolve_references("[[nothing.took@4]], [[fake.took@8]]", kept) == "not run, 17 s"
    assert page.resolve_references("[[fake.took@4/1]], [[fake.took@8-1]], [[fake.took@80/1]]", kept) == (
        "3 times, 14 s, not played at both sizes"
    )
    kept["fake"]["figures"]["took"]["least"][1] = 4.5
    assert page.resolve_references("[[fake.took@2~least]] to [[fake.took@2~most]]", kept) == "4.5 s to 5 s"
    with pytest.raises(page.UnknownFigureError):
        page.resolve_references("[[fake.nothing@4]]", kept)
