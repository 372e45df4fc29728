"""The pages for people keep up with the program."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "reelusher").rglob("*.py"))


def calls(text: str, *names: str) -> Iterator[str]:
    """Yield the first argument of each call to a method of some name, where it is a plain string."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in names:
            match node.args:  # of `warn`, the first names the counter
                case [_, ast.Constant(value=str(line)), *_] if node.func.attr == "warn":
                    yield line
                case [ast.Constant(value=str(first)), *_] if node.func.attr != "warn":
                    yield first


def squeezed(text: str) -> str:
    """Leave out how values are shown, and spaces."""
    return re.sub(r"\{[^{}]*\}|\s|`", "", text)


def test_each_log_line_is_on_the_page_for_the_one_on_call() -> None:
    page = squeezed((ROOT / "docs" / "on-call.md").read_text())
    lines = [
        line
        for path in SOURCES
        for line in calls(path.read_text(), "info", "warning", "warn", "error", "exception")
        if path.parent.name != "importer"
    ]  # its errors are about the command line
    assert len(lines) > 25
    assert [line for line in lines if squeezed(line) not in page] == []


def test_each_key_of_the_operators_file_is_on_the_page_of_the_configuration() -> None:
    page = (ROOT / "docs" / "configuration.md").read_text()
    sources = sorted((ROOT / "reelusher" / "config" / "operator").glob("*.py"))
    text = "\n".join(source.read_text() for source in sources)
    keys = set(calls(text, "string", "integer", "number", "boolean", "choice", "address", "strings"))
    assert len(keys) > 30
    assert sorted(key for key in keys if key not in page) == []


@pytest.mark.parametrize(
    "page", [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))], ids=lambda page: page.name
)
def test_links_lead_somewhere(page: Path) -> None:
    links = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []
    parts = re.findall(r"`(reelusher/[a-z/_.]+)`", page.read_text())
    assert [part for part in parts if not (ROOT / part).exists()] == []
