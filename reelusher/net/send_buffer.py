"""What is on its way out of a socket: sending never blocks, and what waits is bounded."""

import contextlib
import socket
import threading
import time
from collections import deque

from loguru import logger

from reelusher.net.threads import start_thread


class ByteBudget:
    """Bytes that the backlogs of many outboxes may take together."""

    def __init__(self, most: int) -> None:
        self._left = most
        self._lock = threading.Lock()

    def try_acquire(self, size: int) -> bool:
        """Book bytes; False where that many are not left."""
        with self._lock:
            if size > self._left:
                return False
            self._left -= size
            return True

    def release(self, size: int) -> None:
        """Return bytes that were booked."""
        with self._lock:
            self._left += size


class SendBuffer:
    """What is on its way out of one socket.

    `send` never blocks: what the socket does not take at once waits in a bounded backlog that a thread of
    its own works off. A reader so slow that the backlog fills, its own or the budget that it shares with
    others, loses its connection and harms nobody else.
    """

    def __init__(self, sock: socket.socket, limit: int, budget: ByteBudget | None = None) -> None:
        self._sock = sock
        self._limit = limit
        self._budget = budget or ByteBudget(limit)
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
            if self._size + len(data) > self._limit or not self._budget.try_acquire(len(data)):
                self._close()
                return sent > 0
            if not self._size:
                self._moved_s = time.monotonic()
            self._waiting.append(data)
            self._size += len(data)
            if not self._writer:
                self._writer = True
                try:
                    start_thread("writer", self._write)
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
        self._budget.release(size)

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
