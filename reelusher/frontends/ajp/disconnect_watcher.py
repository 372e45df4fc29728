"""Watches connections whose requests wait for their answers, and reports those that the web server closes."""

import select
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

from reelusher.net.threads import start_thread

POLL_S = 1.0  # the thread checks this often whether it has been closed
MAX_EVENTS = 128


class WatchedConnection(NamedTuple):
    """A connection, and what to call once when it was closed."""

    sock: socket.socket
    on_closed: Callable[[], None]


class DisconnectWatcher:
    """Calls a function when a web server closes or resets a connection. Any thread may call the methods.

    In AJP13 a web server that has closed its writing side reads no answer either.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, WatchedConnection] = {}  # by descriptor
        self._closed = False

    def start(self) -> None:
        """Start the thread that waits for closed connections."""
        start_thread("ajp-disconnects", self._run)

    def close(self) -> None:
        """End the thread within `POLL_S`."""
        self._closed = True

    def watch(self, sock: socket.socket, on_closed: Callable[[], None]) -> None:
        """Call `on_closed` on the thread of the watcher if the connection is closed before `unwatch`."""
        with self._lock:
            self._watched[sock.fileno()] = WatchedConnection(sock, on_closed)
            self._epoll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLONESHOT)

    def unwatch(self, sock: socket.socket) -> None:
        """Watch a connection no longer. Call this before closing it, since its descriptor may be reused."""
        with self._lock:
            del self._watched[sock.fileno()]
            self._epoll.unregister(sock.fileno())

    def _run(self) -> None:
        while not self._closed:
            for descriptor, _ in self._epoll.poll(POLL_S, MAX_EVENTS):
                self._on_event(descriptor)

    def _on_event(self, descriptor: int) -> None:
        with self._lock:
            connection = self._watched.get(descriptor)
            # the descriptor may belong to another connection by now
            if connection is not None and _is_closed(connection.sock):
                connection.on_closed()


def _is_closed(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
