"""The node's clock: Unix time in microseconds, as it was at the start, and from there on without steps."""

import time
from collections.abc import Callable

SURE_NS = 1_000_000  # two clocks are compared only where both were read within this: a thread may be held up


class Clock:
    """Goes on from the system's Unix clock by the monotonic one.

    What others state in Unix time is less `unix_ahead_us` by this clock, which follows a system clock that
    was stepped. Held flat instead, a step back of an hour stopped every timer for that hour.
    """

    def __init__(
        self, unix_ns: Callable[[], int] = time.time_ns, monotonic_ns: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._unix_ns, self._monotonic_ns = unix_ns, monotonic_ns
        self._began_ns = unix_ns() - monotonic_ns()
        self._ahead_us = 0

    def now(self) -> int:
        """Return the time in microseconds, at least as late as any time returned before."""
        return (self._monotonic_ns() + self._began_ns) // 1000

    def unix_ahead_us(self) -> int:
        """Return by how many microseconds the system's clock is ahead of this one at present."""
        before = self._monotonic_ns()
        unix = self._unix_ns()
        if self._monotonic_ns() - before <= SURE_NS:
            self._ahead_us = (unix - before - self._began_ns) // 1000
        return self._ahead_us
