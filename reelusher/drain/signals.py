"""Signals of the process, and the earliest time at which each can have come.

The kernel does not tell when it sent a signal, and a starved process takes it late: 60 ms late was enough
for requests to be run that came after the grace. So this looks often, and each look that finds none proves
that none had come by then.

The signals are blocked in all threads of this program, and taken from what is pending. They have handlers
too: a thread that this program did not start, such as one of a preloaded library, blocks nothing, and a
signal that the kernel gives to it goes by the process's disposition. With the default one it ended the node
at once, with all that was in hand.

It does not wait in `signal.sigtimedwait`, only asks it with no time to wait: where a wait is interrupted and
its time is over meanwhile, as on a process that is stopped and continued, CPython 3.11 returns a
`struct_siginfo` of whatever lay on the stack.
"""

import signal
import time
from collections import deque
from collections.abc import Callable, Collection

LOOK_S = 0.05  # between two looks; a drain counts from up to that much too early


class SignalWatch:
    """Finds signals by looking. It is made and asked by the main thread, the one that runs handlers.

    Make it before other threads start, so that they inherit what it blocks.
    """

    def __init__(
        self,
        wanted: Collection[signal.Signals],
        clock: Callable[[], float] = time.monotonic,
        pending: Callable[[], Collection[signal.Signals]] = signal.sigpending,
    ) -> None:
        self._wanted = frozenset(wanted)
        self._clock = clock
        self._pending = pending
        self._clear_s = clock()  # no signal that is still to be told had come by then
        self._handled: deque[signal.Signals] = deque(maxlen=len(self._wanted) * 4)
        for number in self._wanted:
            signal.signal(number, lambda came, _: self._handled.append(signal.Signals(came)))
        signal.pthread_sigmask(signal.SIG_BLOCK, self._wanted)

    def look(self) -> tuple[signal.Signals, float] | None:
        """Return a signal, and a time by the clock before which it has not come; None where none came."""
        looked = self._clock()  # before the look: how long that takes is not known
        came = self._wanted & set(self._pending())
        # without a wait: a thread that blocks nothing may have taken it since the look
        if came and (taken := signal.sigtimedwait(came, 0)) is not None:
            return signal.Signals(taken.si_signo), self._clear_s
        if self._handled:  # by now: Python runs a handler at the latest when the clock or the look returns
            return self._handled.popleft(), self._clear_s
        self._clear_s = looked
        return None
