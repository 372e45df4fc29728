"""The request classes that front ends accept, by name.

A reload can add, change and remove classes. The index of a class is known to this process only; requests, and
all that is stored or shared with other processes, name their class.
"""

import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from reelusher.policy.settings import RequestClass

REMOVED_CLASS_GRACE_S = 5.0  # a removed class is still accepted for this long, since callers learn of it late


class RemovedClass(NamedTuple):
    """A class that a reload has removed, and until when its requests are still accepted."""

    class_index: int
    accepted_until_s: float  # monotonic time


class CurrentClasses:
    """The classes in use, and those removed lately. Any thread may read; the event loop replaces them."""

    def __init__(self, class_names: Sequence[str], classes: Sequence[RequestClass]) -> None:
        """Start with these classes, whose indexes are their positions."""
        self._indexes: Mapping[str, int] = {name: index for index, name in enumerate(class_names)}
        self._removed: dict[str, RemovedClass] = {}
        self.longest_deadline_us = _longest_deadline_us(classes)

    def replace(self, indexes: Mapping[str, int], classes: Sequence[RequestClass]) -> None:
        """Accept these classes from now on; `classes` holds all versions of all classes by index."""
        now_s = time.monotonic()
        removed = {name: entry for name, entry in self._removed.items() if entry.accepted_until_s > now_s}
        for name, index in self._indexes.items():
            if name not in indexes:
                removed[name] = RemovedClass(index, now_s + REMOVED_CLASS_GRACE_S)
        self.longest_deadline_us = _longest_deadline_us(classes)
        self._removed = removed  # before the indexes, so that a reader finds a removed class in one of them
        self._indexes = indexes

    def __contains__(self, name: str) -> bool:
        """Return whether a class is in use; a removed one is not."""
        return name in self._indexes

    def index_of(self, name: str) -> int | None:
        """Return the index of a class whose requests are accepted; None for any other."""
        index = self._indexes.get(name)
        if index is not None:
            return index
        removed = self._removed.get(name)
        if removed is None or time.monotonic() >= removed.accepted_until_s:
            return None
        return removed.class_index


def _longest_deadline_us(classes: Sequence[RequestClass]) -> int:
    return max(request_class.deadline_us for request_class in classes)
