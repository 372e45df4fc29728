"""The memory of requests over AJP, over all connections together."""

import contextlib
import socket
import threading
import time

MAX_WAIT_S = 1.0  # a request waits this long for memory that another one is about to release


class RequestMemoryError(Exception):
    """A request is given up, since the requests on all connections take too much memory."""


class RequestHold:
    """The memory of the request on one connection. The connection's thread calls the methods."""

    def __init__(self, memory: "RequestMemory", sock: socket.socket) -> None:
        self._memory = memory
        self.sock = sock
        self.size_bytes = 0
        self.evicted = False  # its request must be given up, for the memory of others

    def acquire(self, size_bytes: int) -> None:
        """Count more memory for the request; raise `RequestMemoryError` if there is none."""
        self._memory.acquire(self, size_bytes)

    def end_reading(self) -> None:
        """Record that the request was read: it keeps its memory, and is not evicted any more.

        Raises `RequestMemoryError` if it was evicted before.
        """
        self._memory.end_reading(self)

    def release(self) -> None:
        """Give all memory of the request back."""
        self._memory.release(self)


class RequestMemory:
    """Limits the memory of requests, from their first bytes until their answers are sent.

    Beyond the limit, the request is evicted that has been read for the longest time: those of usual callers
    are complete soon after they began. Any thread may call the methods.
    """

    def __init__(self, max_bytes: int) -> None:
        self._available_bytes = max_bytes
        self._changed = threading.Condition()
        self._reading: dict[RequestHold, None] = {}  # in the order in which they began

    def hold(self, sock: socket.socket) -> RequestHold:
        """Return the entry of a connection, which holds nothing yet."""
        return RequestHold(self, sock)

    def acquire(self, hold: RequestHold, size_bytes: int) -> None:
        """Take memory for a request that is being read. Raises `RequestMemoryError`."""
        end_s = time.monotonic() + MAX_WAIT_S
        with self._changed:
            self._reading.setdefault(hold)
            while size_bytes > self._available_bytes and not hold.evicted:
                self._evict_oldest_but(hold)
                if not self._changed.wait(max(0.0, end_s - time.monotonic())):
                    break
            if hold.evicted or size_bytes > self._available_bytes:
                raise RequestMemoryError
            self._available_bytes -= size_bytes
            hold.size_bytes += size_bytes

    def _evict_oldest_but(self, hold: RequestHold) -> None:
        """Evict the oldest request, unless it is the one that needs memory: that one waits."""
        oldest = next(iter(self._reading))
        if oldest is hold:
            return
        del self._reading[oldest]
        oldest.evicted = True
        with contextlib.suppress(OSError):
            oldest.sock.shutdown(socket.SHUT_RD)  # its thread reads the end, and can still answer
        self._changed.notify_all()  # it may wait for memory itself

    def end_reading(self, hold: RequestHold) -> None:
        """Evict this request no more. Raises `RequestMemoryError` if it was evicted before.

        Its connection is shut for reading then, which would look like the end of its web server.
        """
        with self._changed:
            self._reading.pop(hold, None)
            if hold.evicted:
                raise RequestMemoryError

    def release(self, hold: RequestHold) -> None:
        """Take back all memory of a request."""
        with self._changed:
            self._reading.pop(hold, None)
            self._available_bytes += hold.size_bytes
            hold.size_bytes = 0
            self._changed.notify_all()
