"""One thread that waits for many sockets, reads those that are ready, and does small things by the clock.

A thread for each connection was half of a node's CPU where 230 connections came each second, and under a
starved interpreter each of some hundred readers waited for all others: what lay unread at a node's end was
reset. One reader takes what is ready in turn, and can tell that nothing is left.
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

MOST_EVENTS = 128  # sockets that one look finds ready
MOST_CALLS = 128  # of other threads' wishes before the next look at sockets
Work = Callable[[], object]


class Poller:
    """Runs callbacks of sockets, of the clock and of other threads, all in one thread, one at a time.

    A callback must not block. `watch`, `forget` and `every` are for the poller's own thread, and for any
    thread before `start`; `call` is for all.
    """

    def __init__(
        self, name: str, counters: Counters, late: Callable[[float], None] = lambda late_s: None
    ) -> None:
        """`late` hears by how many seconds each callback of the clock came after its time."""
        self._name = name
        self._counters = counters
        self._late = late
        self._epoll = select.epoll()
        self._ready: dict[int, Work] = {}  # by descriptor
        self._calls: queue.SimpleQueue[Work] = queue.SimpleQueue()
        self._bell = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._bell, select.EPOLLIN)
        self._timers: list[tuple[float, int, float, Work]] = []  # when, order, seconds between two, what
        self._order = count()
        self._thread: threading.Thread | None = None
        self._closed = False

    def start(self) -> None:
        """Start the thread."""
        self._thread = start_thread(self._name, self._run)

    @property
    def started(self) -> bool:
        """Tell whether there is a thread, which alone may then watch and forget."""
        return self._thread is not None

    def close(self) -> None:
        """Let the thread end, after the callback that it is at."""
        self._closed = True
        self._ring()
        if self._thread is None:
            self._release()

    def call(self, work: Work) -> None:
        """Have something done by the poller's thread, from any thread."""
        self._calls.put(work)
        self._ring()

    def watch(self, sock: socket.socket, ready: Work) -> None:
        """Call `ready` whenever the socket can be read, or has ended."""
        self._ready[sock.fileno()] = ready
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def forget(self, sock: socket.socket) -> None:
        """Watch a socket no longer; before it is closed, or another may come under its descriptor."""
        if self._ready.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(sock.fileno())

    def every(self, seconds: float, work: Work) -> None:
        """Do something each so many seconds."""
        heapq.heappush(self._timers, (time.monotonic() + seconds, next(self._order), seconds, work))

    def _ring(self) -> None:
        with contextlib.suppress(OSError):  # closed by now
            os.eventfd_write(self._bell, 1)

    def _release(self) -> None:
        self._epoll.close()
        os.close(self._bell)

    def _run(self) -> None:
        while not self._closed:
            wait = max(0.0, self._timers[0][0] - time.monotonic()) if self._timers else None
            found = self._epoll.poll(wait, MOST_EVENTS)
            self._run_due()  # the clock, and what others ask for, go before what has come in
            self._run_calls()
            for fd, _ in found:
                if fd == self._bell:
                    with contextlib.suppress(BlockingIOError):
                        os.eventfd_read(self._bell)
                elif (ready := self._ready.get(fd)) is not None:
                    self._guarded(ready)
                if self._timers and self._timers[0][0] <= time.monotonic():
                    break  # on a starved core a round took seconds; what is left out is told again
        self._release()

    def _run_calls(self) -> None:
        """Do what others asked for, until now: also what came while this thread was at one of these.

        It was left for the round after. A drain asked for meanwhile then found that connections whose bytes
        had come no earlier had been read as if the node did not leave: refused before they were told.
        """
        for _ in range(MOST_CALLS):
            try:
                work = self._calls.get_nowait()
            except queue.Empty:
                return
            self._guarded(work)

    def _run_due(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            due, order, seconds, work = self._timers[0]
            self._late(now - due)
            # from now on, not from when it was due: one that came late must not come several times at once
            heapq.heapreplace(self._timers, (now + seconds, order, seconds, work))
            self._guarded(work)

    def _guarded(self, work: Work) -> None:
        """Do something. A fault in it is that connection's, never the end of the thread that all need."""
        try:
            work()
        except Exception:
            self._counters.add("poller.failed")
            logger.exception("the poller {} failed at a step", self._name)
            if __debug__:
                raise
