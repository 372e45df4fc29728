"""Signals of the process, and the earliest time at which each can have come.

The kernel does not tell when it sent a signal, and a starved process takes it late: 60 ms late was enough
for requests to be run that came after the grace. So the wait has an end, and each end without a signal
proves that none had come by then.
"""

import signal
import time
from collections.abc import Callable, Collection

LOOK_S = 0.05  # between two proofs that no signal has come
Wait = Callable[[Collection[signal.Signals], float], signal.struct_siginfo | None]


class SignalWatch:
    """Waits for signals that are blocked in every thread."""

    def __init__(self, wanted: Collection[signal.Signals], clock: Callable[[], float] = time.monotonic,
                 wait: Wait = signal.sigtimedwait) -> None:
        self._wanted = wanted
        self._clock = clock
        self._wait = wait
        self._clear_s = clock()  # no signal that is still to be told had come by then

    def next(self) -> tuple[signal.Signals, float]:
        """Wait for a signal; return it, and a time by the clock before which it has not come."""
        while True:
            looked = self._clock()
            came = self._wait(self._wanted, LOOK_S)
            if came is not None:
                return signal.Signals(came.si_signo), self._clear_s
            # the kernel gave up no sooner than LOOK_S after the call; when this thread ran again is another
            # matter, so the clock is not asked now
            self._clear_s = looked + LOOK_S
