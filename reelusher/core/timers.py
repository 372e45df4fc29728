"""A heap of things to do later."""

import heapq
from collections.abc import Callable
from itertools import count


class Timers:
    """Callbacks by due time; equal times run in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """Do something at a time. It can't be withdrawn: the action checks if it still applies."""
        heapq.heappush(self._heap, (when_us, next(self._order), action))

    def next_us(self) -> int | None:
        """Return when the earliest is due."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now_us: int, run: Callable[[Callable[[], None]], None]) -> None:
        """Have all that are due run; what they set for now waits for the next call."""
        due = []
        while self._heap and self._heap[0][0] <= now_us:
            due.append(heapq.heappop(self._heap)[2])
        for action in due:
            run(action)
