"""One thread that waits for many sockets, reads those that are ready, and runs timers.

A thread for each connection costs much processor time where many connections come and go, and on a busy
core each reader waits for all others. One reader takes what is ready in turn, and knows when nothing is left.
"""

import contextlib
import heapq
import os
import queue
import select
import socket
import threading
import time
from collections.abc import Callable
from itertools import count

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.net.threads import start_thread

MAX_EVENTS = 128  # ready sockets of one poll
MAX_CALLS = 128  # of other threads, between two polls
Callback = Callable[[], object]


class Poller:
    """Runs the callbacks of sockets, of timers and of other threads in one thread, one at a time.

    A callback must not block. `watch`, `forget` and `every` are for the poller's own thread, and before
    `start` for any thread; `call` is for all.
    """

    def __init__(
        self, name: str, counters: Counters, on_lag: Callable[[float], None] = lambda lag_s: None
    ) -> None:
        """`on_lag` is called with the seconds that each timer ran late."""
        self._name = name
        self._counters = counters
        self._on_lag = on_lag
        self._epoll = select.epoll()
        self._ready: dict[int, Callback] = {}  # by descriptor
        self._calls: queue.SimpleQueue[Callback] = queue.SimpleQueue()
        self._wakeup_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._wakeup_fd, select.EPOLLIN)
        self._timers: list[tuple[float, int, float, Callback]] = []  # due, order, interval, callback
        self._order = count()
        self._thread: threading.Thread | None = None
        self._closed = False

    def start(self) -> None:
        """Start the thread."""
        self._thread = start_thread(self._name, self._run)

    @property
    def started(self) -> bool:
        """Whether there is a thread, which alone may then watch and forget."""
        return self._thread is not None

    def close(self) -> None:
        """End the thread after its present callback."""
        self._closed = True
        self._wake()
        if self._thread is None:
            self._release()

    def call(self, callback: Callback) -> None:
        """Run a callback on the poller's thread; from any thread."""
        self._calls.put(callback)
        self._wake()

    def watch(self, sock: socket.socket, ready: Callback) -> None:
        """Call `ready` whenever the socket can be read, or has ended."""
        self._ready[sock.fileno()] = ready
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def forget(self, sock: socket.socket) -> None:
        """Stop watching a socket; before it is closed, since its descriptor may be reused."""
        if self._ready.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(sock.fileno())

    def every(self, seconds: float, callback: Callback) -> None:
        """Run a callback periodically."""
        heapq.heappush(self._timers, (time.monotonic() + seconds, next(self._order), seconds, callback))

    def _wake(self) -> None:
        with contextlib.suppress(OSError):  # closed already
            os.eventfd_write(self._wakeup_fd, 1)

    def _release(self) -> None:
        self._epoll.close()
        os.close(self._wakeup_fd)

    def _run(self) -> None:
        while not self._closed:
            wait = max(0.0, self._timers[0][0] - time.monotonic()) if self._timers else None
            found = self._epoll.poll(wait, MAX_EVENTS)
            self._run_timers()  # timers and calls go before sockets
            self._run_calls()
            for fd, _ in found:
                if fd == self._wakeup_fd:
                    with contextlib.suppress(BlockingIOError):
                        os.eventfd_read(self._wakeup_fd)
                elif (ready := self._ready.get(fd)) is not None:
                    self._run_callback(ready)
                if self._timers and self._timers[0][0] <= time.monotonic():
                    break  # on a busy core a round may take seconds; the next poll finds the rest again
        self._release()

    def _run_calls(self) -> None:
        """Run the calls of other threads, also those that are made meanwhile.

        Left for the next round, a drain would begin after sockets that became readable no earlier than it.
        """
        for _ in range(MAX_CALLS):
            try:
                callback = self._calls.get_nowait()
            except queue.Empty:
                return
            self._run_callback(callback)

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            due, order, seconds, callback = self._timers[0]
            self._on_lag(now - due)
            # counted from now, not from when it was due: a late timer must not run several times at once
            heapq.heapreplace(self._timers, (now + seconds, order, seconds, callback))
            self._run_callback(callback)

    def _run_callback(self, callback: Callback) -> None:
        """Run a callback. An exception in it must not end the thread that all connections need."""
        try:
            callback()
        except Exception:
            self._counters.add("poller.failed")
            logger.exception("poller {}: a step failed", self._name)
            if __debug__:
                raise
