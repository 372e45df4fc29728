"""A virtual clock with timers: a `Scheduler` on which an hour passes in seconds."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualTimer:
    """A callback that is scheduled for later."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback, self.args = None, ()


class VirtualClock:
    """Calls callbacks in the order of their due times; those due at the same time in the order scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, VirtualTimer]] = []
        self._order = itertools.count()

    def time(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> VirtualTimer:
        """Call `callback` after `delay` seconds."""
        timer = VirtualTimer(callback, args)
        heapq.heappush(self._heap, (self.now + max(0.0, delay), next(self._order), timer))
        return timer

    def run(self, until_s: float) -> None:
        """Advance the clock to a time, and call all callbacks that are due until then."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback(*timer.args)
        self.now = until_s
