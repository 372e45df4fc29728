"""The second address, for operators alone: HTTP/1.1, one call a connection. docs/operation.md.

Each call has a thread of its own, and nothing here asks the owner: however busy the node is, and whoever
else connects and says nothing, an operator is answered. A 2xx means yes, a 4xx or 5xx no.
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

MOST_CALLS, LEAST_CALLS, CALLS_PART = 24, 4, 16  # at once; of few descriptors one in so many
CALL_S = 6.0  # for a call to come in
MOST_BODY = 1 << 12
Reply = tuple[int, dict[str, Any]]


def most_calls(sockets: int) -> int:
    """Return how many calls there may be at once; past them the oldest makes room: it has had its time."""
    return max(LEAST_CALLS, min(MOST_CALLS, sockets // CALLS_PART))


def descriptors(sockets: int) -> int:
    """Return how many it may hold: the calls, the listener, and one taken while the oldest makes room."""
    return most_calls(sockets) + 2


class OperationsFrontend:
    """Answers operators."""

    def __init__(
        self,
        address: Address,
        counters: Counters,
        ready: Callable[[], bool],
        figures: Callable[[], dict[str, Any]],
        send_away: Callable[[bool], None],
        most: int = MOST_CALLS,
    ) -> None:
        """`ready` and `figures` must not wait; `send_away(True)` sends callers away, False has them back.

        `most` calls at once.
        """
        self._most = most
        self._counters = counters
        self._ready, self._figures, self._send_away = ready, figures, send_away
        self._lock = threading.Lock()
        self._open: dict[socket.socket, None] = {}  # the oldest first
        self._routes: dict[tuple[str, str], Callable[[], Reply]] = {
            ("GET", "/healthcheck"): self._health,
            ("GET", "/stats"): lambda: (200, self._figures()),
            ("POST", "/healthcheck/fail"): lambda: self._away(True),
            ("POST", "/healthcheck/ok"): lambda: self._away(False),
        }
        self._listener = Listener("operator", address, counters, self._serve, self._admit)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()

    def close(self) -> None:
        """Accept no more calls."""
        self._listener.stop()

    def _admit(self, sock: socket.socket) -> bool:
        with self._lock:
            if len(self._open) >= self._most:
                oldest = next(iter(self._open))
                del self._open[oldest]
                try:
                    oldest.shutdown(socket.SHUT_RDWR)  # its thread sees the end
                except OSError as error:
                    logger.debug("operator: {}", error)
            self._open[sock] = None
        return True

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        try:
            with sock:
                self._counters.add("operator.calls")
                sock.sendall(self._answer(sock))
        except OSError as error:  # silent, or gone
            self._counters.add("operator.broken")
            logger.debug("operator: {}", error)
        finally:
            with self._lock:
                self._open.pop(sock, None)

    def _answer(self, sock: socket.socket) -> bytes:
        decoder, until = http1.Decoder(MOST_BODY), time.monotonic() + CALL_S
        try:
            while True:
                sock.settimeout(max(0.001, until - time.monotonic()))
                data = sock.recv(1 << 12)
                if not data:
                    raise OSError("closed before the call was whole")
                for message in decoder.feed(data):
                    return self._written(*self._dispatch(message.start[0], message.start[1]))
        except http1.MalformedHttpError as error:
            return self._written(error.status, {"error": str(error)})

    def _dispatch(self, method: str, target: str) -> Reply:
        path = target.partition("?")[0]
        react = self._routes.get((method, path))
        if react is not None:
            return react()
        known = any(path == there for _, there in self._routes)
        return (405, {"error": "no such method here"}) if known else (404, {"error": "no such resource"})

    @staticmethod
    def _written(status: int, value: dict[str, Any]) -> bytes:
        body = json.dumps(value, separators=(",", ":")).encode()
        return http1.response(status, body, {"Content-Type": "application/json", "Connection": "close"})

    def _health(self) -> Reply:
        good = self._ready()
        return (200 if good else 503), {"ready": good}

    def _away(self, away: bool) -> Reply:
        self._send_away(away)
        return 200, {"away": away}
