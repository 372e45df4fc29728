"""Sockets and threads of fronts and backends: listeners, connections, and an outbox that never blocks."""

import contextlib
import errno
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from functools import partial

from loguru import logger

from reelusher.core.counters import Counters

STACK_BYTES = 256 * 1024  # of every thread; the deepest parser needs a small part of that
BACKLOG = 512
CHUNK = 1 << 16
LOOK_S = 0.1  # between looks whether a listener is to stop
FULL_WAIT_S = 0.05  # accept rests this long while there is no descriptor to be had

Address = tuple[str, int]


def spawn(name: str, work: Callable[[], None]) -> threading.Thread:
    """Start a thread with a small stack."""
    threading.stack_size(STACK_BYTES)
    thread = threading.Thread(target=work, name=name, daemon=True)
    thread.start()
    return thread


def connect(address: Address, timeout: float) -> socket.socket:
    """Open a connection; the socket blocks."""
    sock = socket.create_connection(address, timeout)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Budget:
    """Bytes that the backlogs of many outboxes may take together."""

    def __init__(self, most: int) -> None:
        self._left = most
        self._lock = threading.Lock()

    def take(self, size: int) -> bool:
        """Book bytes; False where that many are not left."""
        with self._lock:
            if size > self._left:
                return False
            self._left -= size
            return True

    def give(self, size: int) -> None:
        """Return bytes that were booked."""
        with self._lock:
            self._left += size


class Outbox:
    """What is on its way out of one socket.

    `send` never blocks: what the socket does not take at once waits in a bounded backlog that a thread of
    its own works off. A reader so slow that the backlog fills, its own or the budget that it shares with
    others, loses its connection and harms nobody else.
    """

    def __init__(self, sock: socket.socket, limit: int, budget: Budget | None = None) -> None:
        self._sock = sock
        self._limit = limit
        self._budget = budget or Budget(limit)
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._changed = threading.Condition()
        self._writer = False
        self.closed = False

    def send(self, data: bytes) -> bool:
        """Send, or queue what can't be sent now; False where the connection is lost."""
        with self._changed:
            if self.closed:
                return False
            if not self._waiting and not self._writer:
                try:
                    data = data[self._sock.send(data, socket.MSG_DONTWAIT):]
                except BlockingIOError:
                    pass
                except OSError:
                    self._close()
                    return False
                if not data:
                    return True
            if self._size + len(data) > self._limit or not self._budget.take(len(data)):
                self._close()
                return False
            self._waiting.append(data)
            self._size += len(data)
            if not self._writer:
                self._writer = True
                spawn("writer", self._write)
            return True

    def _write(self) -> None:
        while True:
            with self._changed:
                if self.closed or not self._waiting:
                    self._writer = False
                    self._changed.notify_all()
                    return
                data = self._waiting.popleft()
            try:
                self._sock.sendall(data)
            except OSError:
                self.close()
            with self._changed:
                self._returned(len(data))

    def flush(self, until: float) -> bool:
        """Wait until all is sent, or until this time of the monotonic clock."""
        with self._changed:
            while self._writer and not self.closed and (left := until - time.monotonic()) > 0:
                self._changed.wait(left)
            return not self._writer

    def close(self) -> None:
        """End the connection both ways; its reader then sees the end and closes the socket."""
        with self._changed:
            self._close()

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self._returned(sum(map(len, self._waiting)))
            self._waiting.clear()
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _returned(self, size: int) -> None:
        self._size -= size
        self._budget.give(size)

    def release(self) -> None:
        """Close the socket once no writer uses it; called by the reader, last."""
        self.close()
        with self._changed:
            while self._writer:
                self._changed.wait(1.0)
        self._sock.close()


class Listener:
    """Accepts connections on one address, each with a thread of its own."""

    def __init__(self, name: str, address: Address, counters: Counters,
                 serve: Callable[[socket.socket, Address], None],
                 admit: Callable[[socket.socket], bool] = lambda sock: True) -> None:
        """`admit` is asked by the accepting thread; what it turns away is closed before a thread is spent."""
        self._name = name
        self._admit = admit
        self._counters = counters
        self._serve = serve
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self._sock.settimeout(LOOK_S)
        self.address: Address = self._sock.getsockname()
        self._open = True
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to accept."""
        self._thread = spawn(f"{self._name}-accept", self._accept)

    def stop(self) -> None:
        """Accept no more, after all that callers have connected by now: what they sent there must be read."""
        self._open = False
        if self._thread is None:
            self._sock.close()
        elif self._thread is not threading.current_thread():
            self._thread.join(4 * LOOK_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, peer = self._sock.accept()
            except TimeoutError:
                if not self._open:
                    break
                continue
            except OSError as error:
                if not self._open:
                    break
                self._counters.add(f"{self._name}.accept_failed")
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._counters.warn(f"{self._name}.accept_rested",
                                        "{}: out of descriptors or memory, accepting rests", self._name)
                    time.sleep(FULL_WAIT_S)  # callers wait in the backlog meanwhile
                continue
            if not self._admit(sock):
                self._counters.add(f"{self._name}.turned_away")
                sock.close()
                continue
            self._counters.add(f"{self._name}.accepted")
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                spawn(f"{self._name}-reader", partial(self._serve, sock, peer))
            except (OSError, RuntimeError) as error:
                logger.error("{}: no thread for a connection: {}", self._name, error)
                sock.close()
        self._sock.close()
