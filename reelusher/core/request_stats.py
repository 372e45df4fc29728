"""Statistics of requests by class, for the operations endpoint."""

import threading
from collections import Counter
from typing import Any

from reelusher.core.messages import Verdict

FIELD_BY_VERDICT = {Verdict.SERVED: "succeeded", Verdict.REJECTED: "declined", Verdict.FAILED: "aborted"}


class RequestStats:
    """Counts since the start of this process. Any thread may call all methods."""

    def __init__(self, class_names: list[str]) -> None:
        self._lock = threading.Lock()
        self._answers: dict[str, Counter[str]] = {name: Counter() for name in FIELD_BY_VERDICT.values()}
        self._requests_read = 0
        self._requests_answered = 0
        self._runs_started = 0
        self._reloads = {"sighup_applied": 0, "sighup_rejected": 0}
        self.add_classes(class_names)

    def add_classes(self, class_names: list[str]) -> None:
        """Report counts of these classes, starting at 0, in addition to those reported before."""
        with self._lock:
            for counts in self._answers.values():
                for class_name in class_names:
                    counts.setdefault(class_name, 0)

    def request_read(self) -> None:
        """Count a request that was read."""
        with self._lock:
            self._requests_read += 1

    def request_answered(self, class_name: str, verdict: Verdict) -> None:
        """Count a request that got its final answer, or whose caller has disconnected."""
        with self._lock:
            self._requests_answered += 1
            self._answers[FIELD_BY_VERDICT[verdict]][class_name] += 1

    def run_started(self) -> None:
        """Count a run that was handed to its runner."""
        with self._lock:
            self._runs_started += 1

    def reload_finished(self, applied: bool) -> None:
        """Count a reload of the configuration file after SIGHUP."""
        with self._lock:
            self._reloads["sighup_applied" if applied else "sighup_rejected"] += 1

    def snapshot(self) -> dict[str, Any]:
        """Return all counts under the names that operators use."""
        with self._lock:
            return {
                **{verdict: dict(counts) for verdict, counts in self._answers.items()},
                "forwards": self._runs_started,
                "outstanding": self._requests_read - self._requests_answered,
                **self._reloads,
            }
