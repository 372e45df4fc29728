"""One thread that waits for many sockets, runs a callback for each readable one, and runs timers.

A thread for each connection costs much processor time when many connections come and go, and on a busy
processor each reader waits for all others. A single thread reads the sockets in turn, and knows when nothing
is left.
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

MAX_EVENTS = 128  # ready sockets that one poll returns
MAX_CALLS = 128  # calls of other threads that run between two polls
Callback = Callable[[], object]


class Poller:
    """Runs the callbacks of sockets, of timers and of other threads in one thread, one at a time.

    A callback must not block. `watch`, `unwatch` and `every` may be called by the poller's own thread, and
    before `start` by any thread; `call` may always be called by any thread.
    """

    def __init__(
        self, name: str, counters: Counters, on_lag: Callable[[float], None] = lambda lag_s: None
    ) -> None:
        """Before each timer runs, `on_lag` is called with its delay in seconds."""
        self._name = name
        self._counters = counters
        self._on_lag = on_lag
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callback] = {}  # callbacks by descriptor
        # descriptors that were ready and have not been served, in order; one may have been closed since, and
        # its number reused, so callbacks must not rely on data
        self._ready: dict[int, None] = {}
        self._calls: queue.SimpleQueue[Callback] = queue.SimpleQueue()
        self._wakeup_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._wakeup_lock = threading.Lock()  # guards the write to it and its close
        self._released = False
        self._epoll.register(self._wakeup_fd, select.EPOLLIN)
        # heap; due time by the monotonic clock, order of creation, interval in seconds, callback
        self._timers: list[tuple[float, int, float, Callback]] = []
        self._order = count()
        self._thread: threading.Thread | None = None
        self._closed = False

    def start(self) -> None:
        """Start the poller's thread."""
        self._thread = start_thread(self._name, self._run)

    @property
    def started(self) -> bool:
        """Whether the thread was started; from then on only it may call `watch`, `unwatch` and `every`."""
        return self._thread is not None

    def close(self) -> None:
        """End the thread after the callbacks of its current round. Any thread may call this."""
        self._closed = True
        self._wake()
        if self._thread is None:
            self._release()

    def call(self, callback: Callback) -> None:
        """Run a callback on the poller's thread, unless that has ended. Any thread may call this."""
        self._calls.put(callback)
        self._wake()

    def watch(self, sock: socket.socket, on_readable: Callback) -> None:
        """Call `on_readable` whenever the socket can be read, or has been closed by its peer."""
        self._callbacks[sock.fileno()] = on_readable
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket. Call this before closing it, since its descriptor may be reused."""
        self._ready.pop(sock.fileno(), None)
        if self._callbacks.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(sock.fileno())

    def every(self, seconds: float, callback: Callback) -> None:
        """Run a callback periodically, for the first time after `seconds`."""
        heapq.heappush(self._timers, (time.monotonic() + seconds, next(self._order), seconds, callback))

    def has_ready(self) -> bool:
        """Return whether a watched socket can be read now. Only the poller's own thread may call this."""
        self._poll_ready(0.0)
        return any(fd != self._wakeup_fd for fd in self._ready)

    def _wake(self) -> None:
        with self._wakeup_lock:
            if not self._released:  # the descriptor may belong to another file by now
                os.eventfd_write(self._wakeup_fd, 1)

    def _release(self) -> None:
        with self._wakeup_lock:
            if self._released:
                return
            self._released = True
            self._epoll.close()
            os.close(self._wakeup_fd)

    def _run(self) -> None:
        while not self._closed:
            self._poll_ready(self._wait_s())
            begin_s = time.monotonic()
            self._run_timers()  # timers and calls run before sockets
            timers_s = time.monotonic() - begin_s
            self._run_calls()
            self._run_ready(timers_s)
        self._release()

    def _poll_ready(self, wait_s: float | None) -> None:
        for fd, _ in self._epoll.poll(wait_s, MAX_EVENTS):
            self._ready.setdefault(fd)

    def _wait_s(self) -> float | None:
        """Return how long the next poll may wait in seconds; None without a limit."""
        if self._ready:
            return 0.0
        return max(0.0, self._timers[0][0] - time.monotonic()) if self._timers else None

    def _run_ready(self, min_s: float = 0.0) -> None:
        """Run the callbacks of ready descriptors until a timer is due, but for at least `min_s` seconds.

        That is the time that the timers have just taken: on a busy processor they may be due again when they
        end, and would leave time for one descriptor a round. The others come first in the next round: epoll
        returns ready descriptors in the same order each time, so that the last ones would never be served.
        """
        until_s = time.monotonic() + min_s
        while self._ready:
            fd = next(iter(self._ready))
            del self._ready[fd]
            if fd == self._wakeup_fd:
                with contextlib.suppress(BlockingIOError):
                    os.eventfd_read(self._wakeup_fd)
            elif (callback := self._callbacks.get(fd)) is not None:
                self._run_callback(callback)
            if self._timers and max(self._timers[0][0], until_s) <= time.monotonic():
                return

    def _run_calls(self) -> None:
        """Run the calls of other threads, including those that are made meanwhile.

        If they waited for the next round, a drain would start only after the callbacks of sockets that became
        readable at the same time or later.
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
            # the interval starts now, not at the due time: a late timer must not run several times in a row
            heapq.heapreplace(self._timers, (now + seconds, order, seconds, callback))
            self._run_callback(callback)

    def _run_callback(self, callback: Callback) -> None:
        """Run a callback.

        With `python -O` its exceptions are only counted and logged, since they must not end the thread that
        serves all connections.
        """
        try:
            callback()
        except Exception:
            self._counters.add("poller.failed")
            logger.exception("poller {}: a step failed", self._name)
            if __debug__:
                raise
