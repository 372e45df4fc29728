"""Signals of the process, and the earliest time at which each can have been sent.

The kernel does not report when a signal was sent, and a starved process handles it late: a delay of 60 ms was
enough for the node to run requests that had arrived after the grace period. Therefore the watch polls often,
and each poll that finds no signal proves that none had been sent before it.

The signals are blocked in all threads of this program, and the watch takes them from the pending signals.
They have handlers as well, since a thread that this program did not start, such as one of a preloaded
library, blocks no signals. When the kernel delivers a signal to such a thread, the disposition of the process
applies, and the default disposition would end the node at once with all its open requests.

`signal.sigtimedwait` is only called with a timeout of zero: if a wait is interrupted and its timeout expires
meanwhile, as in a process that is stopped and continued, CPython 3.11 returns an uninitialized
`struct_siginfo`.
"""

import signal
import time
from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

POLL_INTERVAL_S = 0.05  # the start of a drain is determined up to this much too early
MAX_HANDLED_PER_SIGNAL = 4  # capacity of the queue of handled signals, for each watched signal


class ReceivedSignal(NamedTuple):
    """A signal, and the time, by the clock of the watch, before which it was not sent."""

    signal: signal.Signals
    earliest_s: float


class SignalWatch:
    """Polls for signals. Create and use it on the main thread, which runs the handlers.

    Create it before other threads start, so that they inherit the mask of blocked signals.
    """

    def __init__(
        self,
        signals: Collection[signal.Signals],
        clock: Callable[[], float] = time.monotonic,
        pending: Callable[[], Collection[signal.Signals]] = signal.sigpending,
    ) -> None:
        """Watch these signals. `clock` returns seconds, and `pending` the signals that are pending."""
        self._signals = frozenset(signals)
        self._clock = clock
        self._pending = pending
        self._earliest_s = clock()  # all signals not returned yet were sent after this time
        self._handled: deque[signal.Signals] = deque(maxlen=len(self._signals) * MAX_HANDLED_PER_SIGNAL)
        for number in self._signals:
            signal.signal(number, lambda received, _: self._handled.append(signal.Signals(received)))
        signal.pthread_sigmask(signal.SIG_BLOCK, self._signals)

    def poll(self) -> ReceivedSignal | None:
        """Return a signal that was received, or None if there is none. Does not block."""
        polled_s = self._clock()  # read before the poll, which may take long
        pending = self._signals & set(self._pending())
        # the timeout is zero: a thread that blocks no signals may have taken the signal meanwhile
        if pending and (info := signal.sigtimedwait(pending, 0)) is not None:
            return ReceivedSignal(signal.Signals(info.si_signo), self._earliest_s)
        # Python has run the handler of a delivered signal by now, at the latest when a call above returned
        if self._handled:
            return ReceivedSignal(self._handled.popleft(), self._earliest_s)
        self._earliest_s = polled_s
        return None
