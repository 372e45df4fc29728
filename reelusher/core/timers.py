"""A heap of timers."""

import heapq
from collections.abc import Callable
from itertools import count


class Timers:
    """Callbacks by due time; those due at the same time run in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[], None]]] = []  # due time, sequence number, callback
        self._sequence = count()

    def call_at(self, due_us: int, callback: Callable[[], None]) -> None:
        """Set a timer. It can't be cancelled, so the callback checks whether it still applies."""
        heapq.heappush(self._heap, (due_us, next(self._sequence), callback))

    def next_due_us(self) -> int | None:
        """Return when the next timer is due in microseconds, or None if no timer is set."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int, run_callback: Callable[[Callable[[], None]], None]) -> None:
        """Pass each due callback to `run_callback`. Timers that the callbacks set wait for the next call."""
        due = []
        while self._heap and self._heap[0][0] <= now_us:
            due.append(heapq.heappop(self._heap)[2])
        for callback in due:
            run_callback(callback)
