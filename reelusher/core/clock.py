"""The clock of the node: Unix time in microseconds that does not follow steps of the system clock."""

import time
from collections.abc import Callable

# Two clocks that were read further apart than this are not compared: the thread was preempted in between.
MAX_READ_GAP_NS = 1_000_000


class Clock:
    """A clock that starts at the Unix time of its creation and advances with the monotonic clock.

    Any thread may call its methods.

    Unix times that other processes state are converted with `unix_ahead_us`, which follows steps of the
    system clock. Reading the system clock directly and only preventing it from going back would stop all
    timers for the length of a backward step.
    """

    def __init__(
        self, unix_ns: Callable[[], int] = time.time_ns, monotonic_ns: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._unix_ns, self._monotonic_ns = unix_ns, monotonic_ns
        self._offset_ns = unix_ns() - monotonic_ns()
        self._unix_ahead_us = 0

    def now(self) -> int:
        """Return the time in microseconds; it never goes back."""
        return (self._monotonic_ns() + self._offset_ns) // 1000

    def unix_ahead_us(self) -> int:
        """Return by how many microseconds the system clock is ahead of this clock; negative if it is behind.

        If the clocks could not be read close together, the previous value is returned.
        """
        before_ns = self._monotonic_ns()
        unix_ns = self._unix_ns()
        if self._monotonic_ns() - before_ns <= MAX_READ_GAP_NS:
            self._unix_ahead_us = (unix_ns - before_ns - self._offset_ns) // 1000
        return self._unix_ahead_us
