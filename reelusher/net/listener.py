"""A listening socket whose connections get a thread each, or are accepted one by one by a poller."""

import contextlib
import errno
import socket
import threading
import time
from collections.abc import Callable
from functools import partial

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.net.sockets import Address
from reelusher.net.threads import start_thread

BACKLOG = 512  # connections that the kernel queues until they are accepted
ACCEPT_TIMEOUT_S = 0.1  # the accepting thread checks this often whether it has been stopped
MAX_ACCEPTED_AFTER_STOP = 2 * BACKLOG  # the backlog, and those that come while it is accepted
MAX_STOP_S = 4 * ACCEPT_TIMEOUT_S  # `stop` waits at most this long for the accepting thread
ACCEPT_PAUSE_S = 0.05  # accepting pauses this long when no descriptor or memory is available
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionResourcesError(OSError):
    """No descriptor or memory is available for another connection; new ones wait in the listen backlog."""


class Listener:
    """Accepts connections on one address, with a thread for each, or one by one for a poller."""

    def __init__(
        self,
        name: str,
        address: Address,
        counters: Counters,
        serve: Callable[[socket.socket, Address], None] | None = None,
        admit: Callable[[socket.socket], bool] = lambda sock: True,
        shared: bool = False,
        max_connections: int = 0,
    ) -> None:
        """Bind the address and listen.

        Connections for which `admit` returns False, and those beyond `max_connections` (0 means no limit),
        are closed at once. With `shared`, another process of the same user may listen on the address too.

        With `serve`, `start` runs an accepting thread, and `serve` runs in a thread for each connection.
        Without it, `sock` is non-blocking, and the poller that watches it calls `accept`.
        """
        self._name = name
        self._admit = admit
        self._counters = counters
        self._serve = serve
        self._slots = threading.BoundedSemaphore(max_connections) if max_connections else None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.settimeout(ACCEPT_TIMEOUT_S if serve else 0.0)
        self.address: Address = self.sock.getsockname()
        self._open = True
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._thread = start_thread(f"{self._name}-accept", self._run)

    def stop(self) -> None:
        """Stop accepting.

        The accepting thread first accepts the connections in the backlog, since requests that were sent on
        them must be read, and then closes the socket, however many others keep coming. Another thread that
        calls this waits for its end, for at most `MAX_STOP_S`. Without an accepting thread, the socket is
        closed at once.
        """
        self._open = False
        if self._thread is None:
            self.sock.close()
        elif self._thread is not threading.current_thread():
            self._thread.join(MAX_STOP_S)

    def accept(self) -> tuple[socket.socket, Address] | None:
        """Accept one connection; return None if that failed or if the connection was rejected.

        Raises BlockingIOError or TimeoutError if no connection waits, and `ConnectionResourcesError`.
        """
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, TimeoutError):
            raise
        except OSError as error:
            self._counters.add(f"{self._name}.accept_failed")
            if error.errno in RESOURCE_ERRORS:
                self._counters.warn(
                    f"{self._name}.accept_rested",
                    "{}: out of descriptors or memory, accepting is paused",
                    self._name,
                )
                raise ConnectionResourcesError(*error.args) from None
            return None
        if not self._admit(sock) or not self._acquire_slot():
            self._counters.add(f"{self._name}.turned_away")
            sock.close()
            return None
        self._counters.add(f"{self._name}.accepted")
        with contextlib.suppress(OSError):  # already closed: its reader will notice
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, peer

    def _serve_connection(self, sock: socket.socket, peer: Address) -> None:
        assert self._serve is not None
        try:
            self._serve(sock, peer)
        finally:
            self._release_slot()

    def _acquire_slot(self) -> bool:
        return self._slots is None or self._slots.acquire(blocking=False)

    def _release_slot(self) -> None:
        if self._slots is not None:
            self._slots.release()

    def _run(self) -> None:
        while self._open:
            with contextlib.suppress(TimeoutError):
                self._accept_and_serve()
        self.sock.settimeout(0.0)
        with contextlib.suppress(BlockingIOError):
            for _ in range(MAX_ACCEPTED_AFTER_STOP):
                self._accept_and_serve()
        self.sock.close()

    def _accept_and_serve(self) -> None:
        """Accept a connection and start its thread. Raises BlockingIOError or TimeoutError if none waits."""
        try:
            accepted = self.accept()
        except ConnectionResourcesError:
            time.sleep(ACCEPT_PAUSE_S)
            return
        if accepted is None:
            return
        try:
            start_thread(f"{self._name}-reader", partial(self._serve_connection, *accepted))
        except RuntimeError as error:
            logger.error("{}: cannot start a thread for a connection: {}", self._name, error)
            accepted[0].close()
            self._release_slot()
