"""KNOWN-RED.txt: the listed tests are run and do not fail the suite; all other failures do."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

PLUGIN_FOLDER = Path(__file__).parent
TEST_FILE = "def test_red():\n    assert False\n\ndef test_other():\n    assert {other}\n"
VALID_ENTRY = "tests/test_x.py::test_red | pytest --seed 3 | it is false | issue 28"


def run_suite(folder: Path, listed: str, other: bool = True) -> tuple[int, str]:
    """Return status and output of a suite with a list. `test_red` fails, `test_other` passes if `other`."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_x.py").write_text(TEST_FILE.format(other=other))
    (folder / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    (folder / "KNOWN-RED.txt").write_text(listed + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    process = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(PLUGIN_FOLDER)},
    )
    return process.returncode, process.stdout + process.stderr


def test_listed_test_is_run_and_reported_without_failing_the_suite(tmp_path: Path) -> None:
    status, output = run_suite(tmp_path, VALID_ENTRY)
    assert status == 0
    assert f"known red, failed: {VALID_ENTRY}" in output


def test_failure_of_an_unlisted_test_still_fails_the_suite(tmp_path: Path) -> None:
    assert run_suite(tmp_path, VALID_ENTRY, other=False)[0] == 1


def test_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    status, output = run_suite(tmp_path, VALID_ENTRY + "\n" + VALID_ENTRY.replace("test_red", "test_other"))
    assert status == 0
    assert "known red, passed: tests/test_x.py::test_other" in output


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        ("tests/test_x.py::test_red", "KNOWN-RED.txt:1"),
        ("# why\ntests/test_x.py::test_red | no issue |", "KNOWN-RED.txt:2"),
        ("tests/test_x.py::test_red | a cause | issue 28", "KNOWN-RED.txt:1"),
        ("tests/test_x.py::test_red | pytest | | issue 28", "KNOWN-RED.txt:1"),
        (VALID_ENTRY + " and 29", "KNOWN-RED.txt:1"),
        (VALID_ENTRY.replace("test_red", "test_gone"), "there is no test tests/test_x.py::test_gone"),
        (VALID_ENTRY.replace("test_x", "test_y"), "there is no test tests/test_y.py::test_red"),
    ],
)
def test_malformed_list_fails_the_suite_with_its_line(tmp_path: Path, listed: str, message: str) -> None:
    status, output = run_suite(tmp_path, listed)
    assert status != 0
    assert message in output
