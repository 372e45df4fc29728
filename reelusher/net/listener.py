"""A listening socket: a thread for each connection, or one connection at a time for a poller."""

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

BACKLOG = 512  # connections that the system holds until they are accepted
ACCEPT_TIMEOUT_S = 0.1  # after which a listener checks whether it is to stop
MAX_STOP_S = 4 * ACCEPT_TIMEOUT_S
RESOURCES_WAIT_S = 0.05  # pause of accepting while there is no descriptor
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionResourcesError(OSError):
    """There is no descriptor or memory for another connection; callers wait in the backlog."""


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
        max_connections: int = 0,
    ) -> None:
        """Bind the address and listen.

        Connections for which `admit` returns False, and those beyond `max_connections` (0: no limit), are
        closed at once. `shared`: another process of this user may listen on the address too. Without
        `serve` there is no thread: whoever polls `sock` calls `accept`.
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
        """Start to accept."""
        self._thread = start_thread(f"{self._name}-accept", self._run)

    def stop(self) -> None:
        """Accept what has connected by now, since what was sent there must be read, and nothing more."""
        self._open = False
        if self._thread is None:
            self.sock.close()
        elif self._thread is not threading.current_thread():
            self._thread.join(MAX_STOP_S)

    def accept(self) -> tuple[socket.socket, Address] | None:
        """Accept one connection; return None where that failed or it was turned away.

        Raises BlockingIOError or TimeoutError where none waits, and `ConnectionResourcesError`.
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
        with contextlib.suppress(OSError):  # closed already: its reader sees that
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
        while True:
            try:
                accepted = self.accept()
            except TimeoutError:
                if not self._open:
                    break
                continue
            except ConnectionResourcesError:
                time.sleep(RESOURCES_WAIT_S)
                continue
            if accepted is None:
                continue
            try:
                start_thread(f"{self._name}-reader", partial(self._serve_connection, *accepted))
            except RuntimeError as error:
                logger.error("{}: no thread for a connection: {}", self._name, error)
                accepted[0].close()
                self._release_slot()
        self.sock.close()
