"""What operators are told of a node's work, by class: counted as it happens, read as it stands."""

import threading
from collections import Counter
from typing import Any

from reelusher.core.messages import Verdict

WORDS = {Verdict.SERVED: "succeeded", Verdict.REJECTED: "declined", Verdict.FAILED: "aborted"}


class RequestStats:
    """Counts since the start of this process. Any thread may add and read; nobody waits for the owner."""

    def __init__(self, class_names: list[str]) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, Counter[str]] = {word: Counter() for word in WORDS.values()}
        self._taken = self._ended = self._forwards = 0
        self._reloads = {"sighup_applied": 0, "sighup_rejected": 0}
        self.add_classes(class_names)

    def add_classes(self, class_names: list[str]) -> None:
        """Show these classes from now on, beside those that have been counted."""
        with self._lock:
            for counts in self._counts.values():
                for name in class_names:
                    counts.setdefault(name, 0)

    def request_read(self) -> None:
        """Count a request that was read."""
        with self._lock:
            self._taken += 1

    def request_answered(self, class_name: str, verdict: Verdict) -> None:
        """Count a final answer."""
        with self._lock:
            self._ended += 1
            self._counts[WORDS[verdict]][class_name] += 1

    def run_started(self) -> None:
        """Count a run that is handed to what runs it."""
        with self._lock:
            self._forwards += 1

    def reload_finished(self, taken_up: bool) -> None:
        """Count a file that was read at SIGHUP."""
        with self._lock:
            self._reloads["sighup_applied" if taken_up else "sighup_rejected"] += 1

    def snapshot(self) -> dict[str, Any]:
        """Return all of it, as operators are told."""
        with self._lock:
            return {
                **{word: dict(counts) for word, counts in self._counts.items()},
                "forwards": self._forwards,
                "outstanding": self._taken - self._ended,
                **self._reloads,
            }
