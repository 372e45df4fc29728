"""Signals, and the earliest time at which each can have been sent."""

import signal
import threading
from collections.abc import Callable, Collection

import pytest

from reelusher import node as node_module
from reelusher.core.counters import Counters
from reelusher.drain.signals import ReceivedSignal, SignalWatch


def test_earliest_time_of_a_signal_is_proved_however_late_the_watch_polls() -> None:
    """Each poll runs two seconds late, as on a starved core; the signal is sent at 103.4 seconds."""
    now, polls = 100.0, list[float]()

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds + 2.0

    def pending() -> Collection[signal.Signals]:
        polls.append(now)
        return {signal.SIGUSR1, signal.SIGCHLD} if now >= 103.4 else {signal.SIGCHLD}

    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        signal.raise_signal(signal.SIGUSR1)
        watch = SignalWatch([signal.SIGUSR1], lambda: now, pending)
        while (received := watch.poll()) is None:
            sleep(0.05)
        signal_received, earliest_s = received
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert signal_received is signal.SIGUSR1
    assert earliest_s == polls[-2] <= 103.4 < polls[-1]


def test_pending_signal_that_another_thread_takes_first_does_not_block() -> None:
    """Guard against a poll that never returns.

    A thread that blocks no signals may take the signal between the check that finds it pending and the wait.
    """
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        watch = SignalWatch([signal.SIGUSR1], pending=lambda: {signal.SIGUSR1})  # none is pending in fact
        results: list[object] = []
        thread = threading.Thread(target=lambda: results.append(watch.poll()), daemon=True)
        thread.start()
        thread.join(5)
        assert results == [None]
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


class NodeWithoutThreads:
    """What `handle_signals` uses of a node, in a process that may start no more threads."""

    def __init__(self) -> None:
        self.drain_requested = threading.Event()
        self.parts = self
        self.counters = Counters()
        self.drained: list[bool] = []

    def reload(self) -> None:
        raise AssertionError("no thread could be started for it")

    def request_drain(self, requested_s: float) -> None:
        self.drain_requested.set()

    def drain(self) -> None:
        self.drained.append(self.drain_requested.is_set())


def test_signals_are_handled_although_no_thread_can_be_started(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a node that ends at once at SIGHUP or SIGTERM, with all its open requests."""

    def no_thread(name: str, function: Callable[[], object]) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    received = [ReceivedSignal(signal.SIGHUP, 1.0), ReceivedSignal(signal.SIGTERM, 2.0)]

    class Watch:
        def poll(self) -> ReceivedSignal | None:
            return received.pop(0) if received else None

    monkeypatch.setattr(node_module, "start_thread", no_thread)
    node = NodeWithoutThreads()
    node_module.handle_signals(node, Watch())  # type: ignore[arg-type]
    assert node.drained == [True]
    assert node.counters.snapshot() == {"reload.left_out": 1}
