"""The import rules of docs/architecture.md, held against the code."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "reelusher"
PAGE = ROOT / "docs" / "architecture.md"
ROW = re.compile(r"^\| `([a-z_.]+)` \| [^|]+ \| ([^|]*) \|$", re.M)
ENTRY_POINTS = {"__main__"}  # of the node: it sets up signals before anything else is imported
IO_MODULES = {"socket", "threading", "time", "os", "selectors", "subprocess", "loguru", "queue"}


def package_of(module: str) -> str:
    """Return the row of the page that a module belongs to; "" for the packages that only hold others."""
    parts = module.split(".")[1:]
    if not parts or parts == ["fleet"]:
        return ""
    return ".".join(parts[:2]) if parts[0] == "fleet" else parts[0]


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(path: Path) -> Iterator[str]:
    """Yield the modules that a file imports, inside functions too."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{name.name}" for name in node.names)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


def actual() -> dict[str, set[str]]:
    """Return which packages each package imports."""
    found: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        own = package_of(module_of(path))
        if not own or own in ENTRY_POINTS:
            continue
        others = found.setdefault(own, set())
        others |= {package_of(name) for name in imported(path) if name.startswith("reelusher.")} - {own}
    return found


def allowed() -> dict[str, set[str]]:
    """Return what the page allows each package to import."""
    rows = {
        name: text for name, text in ROW.findall(PAGE.read_text()) if "." not in name or name[:5] == "fleet"
    }
    made = {}
    for name, text in rows.items():
        names = set(re.findall(r"`([a-z_.]+)`", text))
        made[name] = set(rows) - names - {name} if text.startswith("all but") else names
    return made


def test_each_package_imports_only_what_the_page_allows() -> None:
    rules, found = allowed(), actual()
    assert rules.keys() == found.keys()
    broken = {name: sorted(found[name] - rules[name]) for name in found if found[name] - rules[name]}
    assert broken == {}


def test_the_rules_point_down_only() -> None:
    """The packages have an order in which each imports only those before it."""
    rest = allowed()
    while rest:
        lowest = [name for name, others in rest.items() if not others & rest.keys()]
        assert lowest, f"these import each other: {sorted(rest)}"
        for name in lowest:
            del rest[name]


def test_decisions_use_no_clock_thread_or_socket() -> None:
    for path in (PACKAGE / "policy").glob("*.py"):
        assert not {name.split(".")[0] for name in imported(path)} & IO_MODULES, path.name
