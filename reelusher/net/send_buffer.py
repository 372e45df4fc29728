"""A bounded send buffer in front of a socket, so that sending never blocks."""

import contextlib
import socket
import threading
import time
from collections import deque

from loguru import logger

from reelusher.net.threads import start_thread


class ByteBudget:
    """A limit on the bytes that the backlogs of several send buffers hold together."""

    def __init__(self, max_bytes: int) -> None:
        self._available = max_bytes
        self._lock = threading.Lock()

    def try_acquire(self, size: int) -> bool:
        """Acquire bytes; return False if too few are available."""
        with self._lock:
            if size > self._available:
                return False
            self._available -= size
            return True

    def release(self, size: int) -> None:
        """Give acquired bytes back."""
        with self._lock:
            self._available += size


class SendBuffer:
    """Sends data on one socket, and buffers the data that the socket does not take at once.

    `send` never blocks: that data waits in a bounded backlog, which a writer thread sends. If a slow peer
    lets the backlog exceed its limit in bytes, or the budget shared with other buffers, only its own
    connection is closed.
    """

    def __init__(self, sock: socket.socket, limit: int, budget: ByteBudget | None = None) -> None:
        self._sock = sock
        self._limit = limit
        self._budget = budget or ByteBudget(limit)
        self._pending: deque[bytes] = deque()
        self._backlog = 0
        self._lock = threading.Lock()
        self._has_writer = False
        self._released = False
        # when the writer last sent an entry of the backlog completely, or when the backlog began
        self._progress_s = 0.0
        self.closed = False
        self.overflowed = False  # whether it was closed because its backlog exceeded a limit

    @property
    def backlog(self) -> int:
        """The number of bytes that the socket has not taken yet."""
        return self._backlog

    def stalled_for(self, now: float) -> float:
        """Return the seconds since an entry of the backlog was last sent completely; 0 if it is empty.

        If none was, they are counted from the start of the backlog. An entry is what one `send` has queued.
        """
        return now - self._progress_s if self._backlog else 0.0

    def send(self, data: bytes) -> bool:
        """Send data, and queue the part that the socket does not take now.

        Returns False if nothing was sent or queued; the connection is then closed. If a part was sent but the
        rest can't be queued, the connection is closed too, but the result is True, since the peer may have
        read that part; the thread that reads the connection sees its end.
        """
        with self._lock:
            if self.closed:
                return False
            sent = 0
            if not self._pending and not self._has_writer:
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    pass
                except OSError:
                    self._close()
                    return False
                if sent == len(data):
                    return True
            return self._enqueue(data[sent:]) or sent > 0

    def _enqueue(self, data: bytes) -> bool:
        """Append to the backlog, with the lock held; close and return False if that is not possible."""
        if self._backlog + len(data) > self._limit or not self._budget.try_acquire(len(data)):
            self.overflowed = True
            self._close()
            return False
        if not self._backlog:
            self._progress_s = time.monotonic()
        self._pending.append(data)
        self._backlog += len(data)
        return self._has_writer or self._start_writer()

    def _start_writer(self) -> bool:
        self._has_writer = True
        try:
            start_thread("writer", self._write)
        except RuntimeError as error:  # without a writer thread the backlog would never be sent
            logger.error("closing a connection: cannot start a thread to send its backlog: {}", error)
            self._has_writer = False
            self._close()
            return False
        return True

    def _write(self) -> None:
        while True:
            with self._lock:
                if self.closed or not self._pending:
                    self._has_writer = False
                    if self._released:
                        self._sock.close()
                    return
                data = self._pending.popleft()
            try:
                self._sock.sendall(data)
            except OSError:
                self.close()
            with self._lock:
                self._remove_from_backlog(len(data))
                self._progress_s = time.monotonic()

    def close(self) -> None:
        """Shut down both directions; the connection's reader then sees the end and closes the socket."""
        with self._lock:
            self._close()

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self._remove_from_backlog(sum(map(len, self._pending)))
            self._pending.clear()
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _remove_from_backlog(self, size: int) -> None:
        self._backlog -= size
        self._budget.release(size)

    def shutdown_write(self) -> bool:
        """Shut down the writing side; while there is a backlog, do nothing and return False."""
        with self._lock:
            if self._has_writer or self._pending:
                return False
            if not self.closed:
                self.closed = True
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_WR)
            return True

    def release(self) -> None:
        """Shut the connection down and close the socket. The thread that reads it calls this last.

        If a writer thread still uses the socket, that thread closes it when it ends.
        """
        with self._lock:
            self._close()
            self._released = True
            if not self._has_writer:
                self._sock.close()
