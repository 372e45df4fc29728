"""Half-closed connections: all answers are sent, and this node has shut down its writing side.

Closing a socket with unread data resets the connection, and loses answers that are still on their way. So
incoming data is first read and discarded for a while.
"""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from reelusher.core.counters import Counters
from reelusher.frontends.rpc.connection import Connection
from reelusher.net.poller import Poller

LINGER_S = 0.5  # a half-closed connection is read for this long
LINGER_BYTES = 1 << 16  # and for this many bytes, whichever limit is reached first
READ_BYTES = 1 << 14


@dataclass(slots=True)
class HalfClosedConnection:
    """A half-closed connection and the limits for reading it."""

    connection: Connection
    until_s: float
    remaining_bytes: int = LINGER_BYTES


class HalfClosedConnections:
    """Reads and discards the data of half-closed connections. All methods run on the poller's thread."""

    def __init__(
        self, poller: Poller, counters: Counters, max_connections: int, release: Callable[[Connection], None]
    ) -> None:
        """Use `release` to close connections; beyond `max_connections` the oldest is released at once."""
        self._poller = poller
        self._counters = counters
        self._max_connections = max_connections
        self._release = release
        self._by_socket: dict[socket.socket, HalfClosedConnection] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._by_socket)

    def add(self, connection: Connection) -> None:
        """Read a connection until its peer closes it or a limit is reached, then release it."""
        if len(self._by_socket) >= self._max_connections:
            self._counters.add("platform.linger_cut")
            self._remove(next(iter(self._by_socket)))
        self._by_socket[connection.sock] = HalfClosedConnection(connection, time.monotonic() + LINGER_S)
        self._poller.watch(connection.sock, partial(self._discard, connection.sock))

    def release_expired(self, now: float) -> None:
        """Release the connections whose time is over at `now`."""
        for sock in [sock for sock, entry in self._by_socket.items() if now >= entry.until_s]:
            self._remove(sock)

    def release_all(self) -> None:
        """Release all connections now."""
        for sock in list(self._by_socket):
            self._remove(sock)

    def _discard(self, sock: socket.socket) -> None:
        entry = self._by_socket[sock]
        try:
            size = len(sock.recv(READ_BYTES, socket.MSG_DONTWAIT))
        except BlockingIOError:
            return
        except OSError:
            size = 0
        self._counters.add("platform.discarded_bytes", size)
        entry.remaining_bytes -= size
        if not size or entry.remaining_bytes <= 0:
            self._remove(sock)

    def _remove(self, sock: socket.socket) -> None:
        self._release(self._by_socket.pop(sock).connection)
