"""The clock of the node: Unix time in microseconds as of the start, without steps of the system clock."""

import time
from collections.abc import Callable

MAX_READ_GAP_NS = (
    1_000_000  # two clocks read further apart are not compared: the thread was preempted meanwhile
)


class Clock:
    """Continues from the Unix time of the start by the monotonic clock.

    Unix time stated by others is converted with `unix_ahead_us`, which follows steps of the system's clock. A
    clock that never went back, instead, would stop all timers for as long as the step.
    """

    def __init__(
        self, unix_ns: Callable[[], int] = time.time_ns, monotonic_ns: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._unix_ns, self._monotonic_ns = unix_ns, monotonic_ns
        self._offset_ns = unix_ns() - monotonic_ns()
        self._unix_ahead_us = 0

    def now(self) -> int:
        """Return the time in microseconds, which never goes back."""
        return (self._monotonic_ns() + self._offset_ns) // 1000

    def unix_ahead_us(self) -> int:
        """Return how many microseconds the system's clock is ahead of this one at present."""
        before_ns = self._monotonic_ns()
        unix_ns = self._unix_ns()
        if self._monotonic_ns() - before_ns <= MAX_READ_GAP_NS:
            self._unix_ahead_us = (unix_ns - before_ns - self._offset_ns) // 1000
        return self._unix_ahead_us
