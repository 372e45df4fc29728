"""Signals of the process, and the earliest time at which each can have come.

The kernel does not tell when it sent a signal, and a starved process takes it late: 60 ms late was enough
for requests to be run that came after the grace. So this looks often, and each look that finds none proves
that none had come by then.

It does not wait with `signal.sigtimedwait`: where a wait is interrupted and its time is over meanwhile, as on
a process that is stopped and continued, CPython 3.11 returns a `struct_siginfo` of whatever lay on the stack.
"""

import signal
import time
from collections.abc import Callable, Collection

LOOK_S = 0.05  # between two looks; a drain counts from up to that much too early


class SignalWatch:
    """Waits for signals that are blocked in every thread."""

    def __init__(self, wanted: Collection[signal.Signals], clock: Callable[[], float] = time.monotonic,
                 sleep: Callable[[float], object] = time.sleep,
                 pending: Callable[[], Collection[signal.Signals]] = signal.sigpending) -> None:
        self._wanted = frozenset(wanted)
        self._clock = clock
        self._sleep = sleep
        self._pending = pending
        self._clear_s = clock()  # no signal that is still to be told had come by then

    def next(self) -> tuple[signal.Signals, float]:
        """Wait for a signal; return it, and a time by the clock before which it has not come."""
        while True:
            looked = self._clock()  # before the look: how long that takes is not known
            came = self._wanted & set(self._pending())
            if came:
                return signal.Signals(signal.sigwait(came)), self._clear_s
            self._clear_s = looked
            self._sleep(LOOK_S)
