"""The imports between packages are compared with the import rules of docs/architecture.md."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "reelusher"
PAGE = ROOT / "docs" / "architecture.md"
ROW = re.compile(r"^\| `([a-z_.]+)` \| [^|]+ \| ([^|]*) \|$", re.M)
ENTRY_POINTS = {"__main__"}  # has no rule: it sets up signals before anything else is imported
IO_MODULES = {"socket", "threading", "time", "os", "selectors", "subprocess", "loguru", "queue"}


def package_of(module: str) -> str:
    """Return the package whose rule applies to a module, or "" for a package that only holds others."""
    parts = module.split(".")[1:]
    if not parts or parts == ["fleet"]:
        return ""
    return ".".join(parts[:2]) if parts[0] == "fleet" else parts[0]


def module_of(path: Path) -> str:
    """Return the dotted name of the module in a file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(path: Path) -> Iterator[str]:
    """Yield the names that a file imports, also inside functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{name.name}" for name in node.names)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


def actual_imports() -> dict[str, set[str]]:
    """Return the packages that each package imports."""
    imports: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        package = package_of(module_of(path))
        if not package or package in ENTRY_POINTS:
            continue
        imported_packages = imports.setdefault(package, set())
        imported_packages |= {
            package_of(name) for name in imported(path) if name.startswith("reelusher.")
        } - {package}
    return imports


def allowed_imports() -> dict[str, set[str]]:
    """Return the packages that each package may import, according to the page."""
    rows = {
        name: text for name, text in ROW.findall(PAGE.read_text()) if "." not in name or name[:5] == "fleet"
    }
    rules = {}
    for name, text in rows.items():
        named = set(re.findall(r"`([a-z_.]+)`", text))
        rules[name] = set(rows) - named - {name} if text.startswith("all but") else named
    return rules


def test_each_package_imports_only_what_the_page_allows() -> None:
    rules, found = allowed_imports(), actual_imports()
    assert rules.keys() == found.keys()
    violations = {name: sorted(found[name] - rules[name]) for name in found if found[name] - rules[name]}
    assert violations == {}


def cycle_in(imports: dict[str, set[str]]) -> list[str]:
    """Return names that can't be ordered so that each imports only names before it; none without a cycle."""
    remaining = dict(imports)
    while independent := [name for name, others in remaining.items() if not others & remaining.keys()]:
        for name in independent:
            del remaining[name]
    return sorted(remaining)


def test_rules_allow_no_import_cycles() -> None:
    """The packages can be ordered so that each may import only packages before it."""
    assert cycle_in(allowed_imports()) == []


def test_modules_that_build_a_node_import_each_other_in_no_cycle() -> None:
    """Guard against builders that import each other, also inside functions."""
    modules = {module_of(path): path for path in (PACKAGE / "assembly").glob("[!_]*.py")}
    imports = {
        module: {name for name in modules for found in imported(path) if (found + ".").startswith(name + ".")}
        for module, path in modules.items()
    }
    assert cycle_in(imports) == []
    assert cycle_in({"a": {"b"}, "b": {"a"}, "c": {"a"}, "d": set()}) == ["a", "b", "c"]


def test_policy_uses_no_clock_thread_or_socket() -> None:
    for path in (PACKAGE / "policy").glob("*.py"):
        assert not {name.split(".")[0] for name in imported(path)} & IO_MODULES, path.name
