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


def spawn(name: str, work: Callable[[], object]) -> threading.Thread:
    """Start a thread with a small stack."""
    threading.stack_size(STACK_BYTES)
    thread = threading.Thread(target=work, name=name, daemon=True)
    thread.start()
    return thread


def connect(address: Address, timeout: float, source: Address | None = None) -> socket.socket:
    """Open a connection, from an address where one is named; the socket blocks."""
    sock = socket.create_connection(address, timeout, source)
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
        self._lock = threading.Lock()
        self._writer = False
        self._released = False
        self._moved_s = 0.0  # when the socket last took a part of the backlog, or the backlog began
        self.closed = False

    @property
    def backlog(self) -> int:
        """Bytes that the socket has not taken yet."""
        return self._size

    def stalled_for(self, now: float) -> float:
        """Return for how many seconds the other side has read nothing of a backlog; 0 where there is none."""
        return now - self._moved_s if self._size else 0.0

    def send(self, data: bytes) -> bool:
        """Send, or queue what can't be sent now; False where not a byte went out, and the connection is lost.

        Where a part has gone out and there is no room for the rest, the connection is lost too, and whoever
        reads it sees its end; but what was sent may have been read, so that is no False.
        """
        with self._lock:
            if self.closed:
                return False
            sent = 0
            if not self._waiting and not self._writer:
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    pass
                except OSError:
                    self._close()
                    return False
                if sent == len(data):
                    return True
                data = data[sent:]
            if self._size + len(data) > self._limit or not self._budget.take(len(data)):
                self._close()
                return sent > 0
            if not self._size:
                self._moved_s = time.monotonic()
            self._waiting.append(data)
            self._size += len(data)
            if not self._writer:
                self._writer = True
                try:
                    spawn("writer", self._write)
                except RuntimeError as error:  # no thread to be had: without one, nothing ever goes out
                    logger.error("no thread for the backlog of a connection, which is closed: {}", error)
                    self._writer = False
                    self._close()
                    return sent > 0
            return True

    def _write(self) -> None:
        while True:
            with self._lock:
                if self.closed or not self._waiting:
                    self._writer = False
                    if self._released:
                        self._sock.close()
                    return
                data = self._waiting.popleft()
            try:
                self._sock.sendall(data)
            except OSError:
                self.close()
            with self._lock:
                self._returned(len(data))
                self._moved_s = time.monotonic()

    def close(self) -> None:
        """End the connection both ways; its reader then sees the end and closes the socket."""
        with self._lock:
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

    def shut(self) -> bool:
        """Send nothing more, and tell the other side, which may go on; False while something waits."""
        with self._lock:
            if self._writer or self._waiting:
                return False
            if not self.closed:
                self.closed = True
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_WR)
            return True

    def release(self) -> None:
        """Close the socket, or have the writer do so that still uses it; called by the reader, last."""
        with self._lock:
            self._close()
            self._released = True
            if not self._writer:
                self._sock.close()


class ConnectionResourcesError(OSError):
    """There is no descriptor or memory for another connection; callers wait in the backlog meanwhile."""


class Listener:
    """Accepts connections on one address: each with a thread of its own, or one by one for a poller."""

    def __init__(
        self,
        name: str,
        address: Address,
        counters: Counters,
        serve: Callable[[socket.socket, Address], None] | None = None,
        admit: Callable[[socket.socket], bool] = lambda sock: True,
        shared: bool = False,
        most: int = 0,
    ) -> None:
        """`admit` is asked by the accepting thread; what it turns away is closed before a thread is spent.

        `shared`: another process of this user may listen there too. `most` connections are served at once,
        and further ones are turned away; 0: as many as come.

        Without `serve` there is no thread: whoever polls `sock` calls `take`.
        """
        self._name = name
        self._admit = admit
        self._counters = counters
        self._serve = serve
        self._places = threading.BoundedSemaphore(most) if most else None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.settimeout(LOOK_S if serve else 0.0)
        self.address: Address = self.sock.getsockname()
        self._open = True
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to accept."""
        self._thread = spawn(f"{self._name}-accept", self._accept)

    def stop(self) -> None:
        """Accept no more, after all that callers have connected by now: what they sent there must be read."""
        self._open = False
        if self._thread is None:
            self.sock.close()
        elif self._thread is not threading.current_thread():
            self._thread.join(4 * LOOK_S)

    def take(self) -> tuple[socket.socket, Address] | None:
        """Accept one connection; None where it failed or was turned away.

        Raises BlockingIOError or TimeoutError where none waits, and `ConnectionResourcesError`.
        """
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, TimeoutError):
            raise
        except OSError as error:
            self._counters.add(f"{self._name}.accept_failed")
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                self._counters.warn(
                    f"{self._name}.accept_rested",
                    "{}: out of descriptors or memory, accepting rests",
                    self._name,
                )
                raise ConnectionResourcesError(*error.args) from None
            return None
        if not self._admit(sock) or not (self._places is None or self._places.acquire(blocking=False)):
            self._counters.add(f"{self._name}.turned_away")
            sock.close()
            return None
        self._counters.add(f"{self._name}.accepted")
        with contextlib.suppress(OSError):  # gone already: its reader will see that
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, peer

    def _carry(self, sock: socket.socket, peer: Address) -> None:
        assert self._serve is not None
        try:
            self._serve(sock, peer)
        finally:
            self._free_place()

    def _free_place(self) -> None:
        if self._places is not None:
            self._places.release()

    def _accept(self) -> None:
        while True:
            try:
                taken = self.take()
            except TimeoutError:
                if not self._open:
                    break
                continue
            except ConnectionResourcesError:
                time.sleep(FULL_WAIT_S)
                continue
            if taken is None:
                continue
            try:
                spawn(f"{self._name}-reader", partial(self._carry, *taken))
            except RuntimeError as error:
                logger.error("{}: no thread for a connection: {}", self._name, error)
                taken[0].close()
                self._free_place()
        self.sock.close()
