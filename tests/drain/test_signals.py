"""The earliest time of a signal."""

import signal
import threading
from collections.abc import Collection

from reelusher.drain.signals import SignalWatch


def test_earliest_time_of_a_signal_is_proved_however_late_the_watch_polls() -> None:
    """The thread that looks gets its turn two seconds late each time; the signal comes at 103.4."""
    now, polls = 100.0, list[float]()

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds + 2.0

    def pending() -> Collection[signal.Signals]:
        polls.append(now)
        return {signal.SIGUSR1, signal.SIGCHLD} if now >= 103.4 else {signal.SIGCHLD}

    before = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        signal.raise_signal(signal.SIGUSR1)
        watch = SignalWatch([signal.SIGUSR1], lambda: now, pending)
        while (received := watch.poll()) is None:
            sleep(0.05)
        came, earliest_s = received
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert came is signal.SIGUSR1
    assert earliest_s == polls[-2] <= 103.4 < polls[-1]


def test_pending_signal_that_another_thread_takes_first_does_not_block() -> None:
    """A thread that blocks nothing may take it between the look and the wait, which then never ended."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        watch = SignalWatch([signal.SIGUSR1], pending=lambda: {signal.SIGUSR1})  # which is gone by then
        found: list[object] = []
        thread = threading.Thread(target=lambda: found.append(watch.poll()), daemon=True)
        thread.start()
        thread.join(5)
        assert found == [None]
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)
