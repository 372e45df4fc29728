"""The pages of docs/ name all log lines and configuration keys, and their links are valid."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "reelusher").rglob("*.py"))


def string_arguments(text: str, *names: str) -> Iterator[str]:
    """Yield the first argument of each call of the named methods, if it is a string literal.

    Of `warn` it is the second argument, since the first one names the counter.
    """
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in names:
            match node.args:
                case [_, ast.Constant(value=str(line)), *_] if node.func.attr == "warn":
                    yield line
                case [ast.Constant(value=str(argument)), *_] if node.func.attr != "warn":
                    yield argument


def without_layout(text: str) -> str:
    """Remove replacement fields, spaces and backquotes, so that texts compare whatever their layout."""
    return re.sub(r"\{[^{}]*\}|\s|`", "", text)


def test_each_log_line_is_on_the_page_for_operators_on_call() -> None:
    page = without_layout((ROOT / "docs" / "on-call.md").read_text())
    lines = [
        line
        for path in SOURCES
        for line in string_arguments(path.read_text(), "info", "warning", "warn", "error", "exception")
        if path.parent.name != "importer"  # the importer is a command; its errors are about its arguments
    ]
    assert len(lines) > 25
    assert [line for line in lines if without_layout(line) not in page] == []


def test_each_key_of_the_operators_file_is_on_the_page_of_the_configuration() -> None:
    page = (ROOT / "docs" / "configuration.md").read_text()
    sources = sorted((ROOT / "reelusher" / "config" / "operator").glob("*.py"))
    text = "\n".join(source.read_text() for source in sources)
    keys = set(
        string_arguments(text, "string", "integer", "number", "boolean", "choice", "address", "strings")
    )
    assert len(keys) > 30
    assert sorted(key for key in keys if key not in page) == []


@pytest.mark.parametrize(
    "page", [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))], ids=lambda page: page.name
)
def test_links_and_paths_on_a_page_exist(page: Path) -> None:
    links = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []
    paths = re.findall(r"`(reelusher/[a-z/_.]+)`", page.read_text())
    assert [path for path in paths if not (ROOT / path).exists()] == []
