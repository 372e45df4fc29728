"""A virtual clock with an order of things to do: a `Timeline` on which an hour passes in seconds."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualTimer:
    """Something that is to be done later."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Don't do it."""
        self.callback, self.args = None, ()


class VirtualClock:
    """Does what is due in the order of its time; equal times in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, VirtualTimer]] = []
        self._order = itertools.count()

    def time(self) -> float:
        """Return the time in seconds."""
        return self.now

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> VirtualTimer:
        """Do something so many seconds from now."""
        timer = VirtualTimer(callback, args)
        heapq.heappush(self._heap, (self.now + max(0.0, delay), next(self._order), timer))
        return timer

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback(*timer.args)
        self.now = until_s
