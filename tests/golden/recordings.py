"""Where golden data lies, and how it is written and compared."""

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
    """Return a value as it looks after a trip through JSON, so that it compares with a recorded one."""
    return json.loads(json.dumps(value, sort_keys=True))


def save(name: str, value: Any) -> None:
    """Write a golden JSON file, one readable line a leaf."""
    FOLDER.mkdir(exist_ok=True)
    path_of(name).write_text(json.dumps(value, indent=1, sort_keys=True, ensure_ascii=False) + "\n")


def key_tree(value: Any) -> Any:
    """Return the keys of a JSON value with the types of its leaves; the entries of a list are merged."""
    if isinstance(value, dict):
        return {key: key_tree(part) for key, part in value.items()}
    if isinstance(value, list):
        merged: dict[str, Any] = {}
        for part in value:
            tree = key_tree(part)
            if not isinstance(tree, dict):
                return [tree]
            merged |= tree
        return [merged] if merged else []
    if isinstance(value, bool):
        return "boolean"
    if isinstance(value, (int, float)):
        return "number"
    return "null" if value is None else "text"
