"""Signals of the process, and the earliest time at which each can have been sent.

The kernel does not tell when a signal was sent, and a starved process takes it late: 60 ms were enough for
requests to be run that came after the grace period. So the watch polls often, and each poll that finds no
signal proves that none had been sent by then.

The signals are blocked in all threads of this program, and taken from the pending ones. They have handlers
as well: a thread that this program did not start, such as one of a preloaded library, blocks nothing, and a
signal that the kernel delivers to it follows the disposition of the process. The default one would end the
node at once, with all open requests.

`signal.sigtimedwait` is only called with a timeout of zero: when a wait is interrupted and its time is over
meanwhile, as in a process that is stopped and continued, CPython 3.11 returns an uninitialized
`struct_siginfo`.
"""

import signal
import time
from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

POLL_INTERVAL_S = 0.05  # a drain counts from up to this much too early
MAX_HANDLED_PER_SIGNAL = 4


class ReceivedSignal(NamedTuple):
    """A signal, and a time by the clock before which it was not sent."""

    signal: signal.Signals
    earliest_s: float


class SignalWatch:
    """Polls for signals. It is made and used by the main thread, which runs the handlers.

    Make it before other threads start, so that they inherit the blocked signals.
    """

    def __init__(
        self,
        signals: Collection[signal.Signals],
        clock: Callable[[], float] = time.monotonic,
        pending: Callable[[], Collection[signal.Signals]] = signal.sigpending,
    ) -> None:
        self._signals = frozenset(signals)
        self._clock = clock
        self._pending = pending
        self._earliest_s = clock()  # no signal that is still to be returned had been sent by then
        self._handled: deque[signal.Signals] = deque(maxlen=len(self._signals) * MAX_HANDLED_PER_SIGNAL)
        for number in self._signals:
            signal.signal(number, lambda received, _: self._handled.append(signal.Signals(received)))
        signal.pthread_sigmask(signal.SIG_BLOCK, self._signals)

    def poll(self) -> ReceivedSignal | None:
        """Return a signal that was received, or None."""
        polled_s = self._clock()  # before the poll, which may take long
        pending = self._signals & set(self._pending())
        # without a wait: a thread that blocks no signals may have taken it since
        if pending and (info := signal.sigtimedwait(pending, 0)) is not None:
            return ReceivedSignal(signal.Signals(info.si_signo), self._earliest_s)
        if (
            self._handled
        ):  # Python has run a handler by now, at the latest when the clock or the poll returned
            return ReceivedSignal(self._handled.popleft(), self._earliest_s)
        self._earliest_s = polled_s
        return None
