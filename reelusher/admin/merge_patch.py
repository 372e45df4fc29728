"""JSON merge patches (RFC 7396)."""

from typing import Any


def merge_patch(value: Any, patch: Any) -> Any:
    """Return a JSON value with a merge patch applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(value) if isinstance(value, dict) else {}
    for key, part in patch.items():
        if part is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), part)
    return merged
