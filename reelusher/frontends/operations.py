"""The operations endpoint, for operators alone: HTTP/1.1, one call per connection; see docs/operation.md.

Each call has its own thread and does not wait for the event loop, so an operator is answered however busy the
node is, and however many connections are silent. A 2xx status means that the call succeeded, and for the
health check that the node is ready; a 4xx or 5xx status means the opposite.
"""

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from reelusher.codecs import http1
from reelusher.core.counters import Counters
from reelusher.net.listener import Listener
from reelusher.net.sockets import Address

MAX_CALLS = 24  # limit on open calls; with few descriptors it is lower
MIN_CALLS = 4  # but never lower than this
DESCRIPTORS_PER_CALL = 16  # with few descriptors, there is one call for this many
CALL_TIMEOUT_S = 6.0  # a request must be read within this time
MAX_BODY_BYTES = 1 << 12
READ_BYTES = 1 << 12
MIN_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
Reply = tuple[int, dict[str, Any]]  # status, and the body as a JSON object


def max_calls(sockets: int) -> int:
    """Return how many calls may be open, given the limit on descriptors; one more ends the oldest."""
    return max(MIN_CALLS, min(MAX_CALLS, sockets // DESCRIPTORS_PER_CALL))


def descriptors(sockets: int) -> int:
    """Return how many descriptors it may hold: the listener, calls, and one accepted while another ends."""
    return max_calls(sockets) + 2


class OperationsFrontend:
    """Serves the calls of operators."""

    def __init__(
        self,
        address: Address,
        counters: Counters,
        is_ready: Callable[[], bool],
        stats: Callable[[], dict[str, Any]],
        divert_callers: Callable[[bool], None],
        max_calls: int = MAX_CALLS,
    ) -> None:
        """Bind the address. `is_ready` and `stats` must not block.

        After `divert_callers(True)` health checks report the node as unhealthy, after `divert_callers(False)`
        they report its own health again.
        """
        self._max_calls = max_calls
        self._counters = counters
        self._is_ready, self._stats, self._divert_callers = is_ready, stats, divert_callers
        self._lock = threading.Lock()
        self._open: dict[socket.socket, None] = {}  # connections of open calls, the oldest first
        self._routes: dict[tuple[str, str], Callable[[], Reply]] = {
            ("GET", "/healthcheck"): self._health,
            ("GET", "/stats"): lambda: (200, self._stats()),
            ("POST", "/healthcheck/fail"): lambda: self._divert(True),
            ("POST", "/healthcheck/ok"): lambda: self._divert(False),
        }
        self._listener = Listener("operator", address, counters, self._serve, self._admit)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to accept calls."""
        self._listener.start()

    def close(self) -> None:
        """Accept no more calls."""
        self._listener.stop()

    def _admit(self, sock: socket.socket) -> bool:
        with self._lock:
            if len(self._open) >= self._max_calls:
                oldest = next(iter(self._open))
                del self._open[oldest]
                try:
                    oldest.shutdown(socket.SHUT_RDWR)  # its thread sees the end of the connection
                except OSError as error:
                    logger.debug("operator: {}", error)
            self._open[sock] = None
        return True

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        try:
            with sock:
                self._counters.add("operator.calls")
                sock.sendall(self._answer(sock))
        except OSError as error:  # the operator was silent for too long, or has closed the connection
            self._counters.add("operator.broken")
            logger.debug("operator: {}", error)
        finally:
            with self._lock:
                self._open.pop(sock, None)

    def _answer(self, sock: socket.socket) -> bytes:
        decoder, deadline_s = http1.Decoder(MAX_BODY_BYTES), time.monotonic() + CALL_TIMEOUT_S
        try:
            while True:
                sock.settimeout(max(MIN_TIMEOUT_S, deadline_s - time.monotonic()))
                data = sock.recv(READ_BYTES)
                if not data:
                    raise OSError("closed before the request was complete")
                for message in decoder.feed(data):
                    return self._encode(*self._dispatch(message.start[0], message.start[1]))
        except http1.MalformedHttpError as error:
            return self._encode(error.status, {"error": str(error)})

    def _dispatch(self, method: str, target: str) -> Reply:
        path = target.partition("?")[0]
        handler = self._routes.get((method, path))
        if handler is not None:
            return handler()
        known = any(path == route for _, route in self._routes)
        return (405, {"error": "no such method here"}) if known else (404, {"error": "no such resource"})

    @staticmethod
    def _encode(status: int, value: dict[str, Any]) -> bytes:
        body = json.dumps(value, separators=(",", ":")).encode()
        return http1.response(status, body, {"Content-Type": "application/json", "Connection": "close"})

    def _health(self) -> Reply:
        ready = self._is_ready()
        return (200 if ready else 503), {"ready": ready}

    def _divert(self, divert: bool) -> Reply:
        self._divert_callers(divert)
        return 200, {"away": divert}
