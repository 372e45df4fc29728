"""A bounded buffer in front of a socket: sending never blocks."""

import contextlib
import socket
import threading
import time
from collections import deque

from loguru import logger

from reelusher.net.threads import start_thread


class ByteBudget:
    """Bytes that the backlogs of many send buffers may take together."""

    def __init__(self, max_bytes: int) -> None:
        self._available = max_bytes
        self._lock = threading.Lock()

    def try_acquire(self, size: int) -> bool:
        """Acquire bytes; return False where too few are available."""
        with self._lock:
            if size > self._available:
                return False
            self._available -= size
            return True

    def release(self, size: int) -> None:
        """Return bytes that were acquired."""
        with self._lock:
            self._available += size


class SendBuffer:
    """The data on its way out of one socket.

    `send` never blocks: what the socket does not take at once waits in a bounded backlog that a thread of
    its own sends. A reader so slow that the backlog exceeds its limit, or the budget that it shares with
    others, loses its connection and affects nobody else.
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
        self._progress_s = 0.0  # when the socket last took a part of the backlog, or the backlog began
        self.closed = False

    @property
    def backlog(self) -> int:
        """How many bytes the socket has not taken yet."""
        return self._backlog

    def stalled_for(self, now: float) -> float:
        """Return for how many seconds the peer has read nothing of a backlog; 0 where there is none."""
        return now - self._progress_s if self._backlog else 0.0

    def send(self, data: bytes) -> bool:
        """Send, or queue what can't be sent now; return False where nothing went out, and close.

        Where a part has gone out and the rest exceeds the limit, the connection is lost too, but what was
        sent may have been read: that returns True, and whoever reads the connection sees its end.
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
        """Append to the backlog, with the lock held; where it exceeds a limit, close and return False."""
        if self._backlog + len(data) > self._limit or not self._budget.try_acquire(len(data)):
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
        except RuntimeError as error:  # without a thread nothing of the backlog ever goes out
            logger.error("no thread for the backlog of a connection, which is closed: {}", error)
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
        """Shut the connection down both ways; its reader then sees the end and closes the socket."""
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
        """Shut the writing side down; return False, and do nothing, while there is a backlog."""
        with self._lock:
            if self._has_writer or self._pending:
                return False
            if not self.closed:
                self.closed = True
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_WR)
            return True

    def release(self) -> None:
        """Close the socket, or let the writer do so that still uses it; the reader calls this last."""
        with self._lock:
            self._close()
            self._released = True
            if not self._has_writer:
                self._sock.close()
