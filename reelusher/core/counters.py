"""Counters of the node, and the one way to state what must hold."""

import threading
from collections import Counter

from loguru import logger


class Counters:
    """Named counts that any thread may add to."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Add to a count."""
        with self._lock:
            self._counts[name] += by

    def snapshot(self) -> dict[str, int]:
        """Return all counts, by name."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def must(self, holds: bool, what: str) -> bool:
        """State what must hold: asserted in debug builds, counted and logged in release builds."""
        if not holds:
            if __debug__:
                raise AssertionError(what)
            self.add("broken." + what.replace(" ", "_"))
            logger.error("invariant broken: {}", what)
        return holds
