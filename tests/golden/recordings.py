"""Reading, writing and comparing of golden files."""

import json
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "data"


def path_of(name: str) -> Path:
    """Return the path of a golden file or folder."""
    return FOLDER / name


def load(name: str) -> Any:
    """Return the value recorded in a golden JSON file."""
    return json.loads(path_of(name).read_text())


def as_json(value: Any) -> Any:
    """Return a value after encoding to JSON and back, so that it compares equal to a recorded one."""
    return json.loads(json.dumps(value, sort_keys=True))


def save(name: str, value: Any) -> None:
    """Write a golden JSON file, indented and with sorted keys, for readable differences."""
    FOLDER.mkdir(exist_ok=True)
    path_of(name).write_text(json.dumps(value, indent=1, sort_keys=True, ensure_ascii=False) + "\n")


def key_tree(value: Any) -> Any:
    """Return the keys of a JSON value with the types of its leaves.

    The objects of a list are merged into one, which has the keys of all of them. A list with another element
    is described by the first such element alone.
    """
    if isinstance(value, dict):
        return {key: key_tree(element) for key, element in value.items()}
    if isinstance(value, list):
        merged: dict[str, Any] = {}
        for element in value:
            tree = key_tree(element)
            if not isinstance(tree, dict):
                return [tree]
            merged |= tree
        return [merged] if merged else []
    if isinstance(value, bool):
        return "boolean"
    if isinstance(value, (int, float)):
        return "number"
    return "null" if value is None else "text"
