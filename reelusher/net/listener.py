"""Accepts connections: each with a thread of its own, or one by one for a poller."""

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
LOOK_S = 0.1  # between looks whether a listener is to stop
FULL_WAIT_S = 0.05  # accept rests this long while there is no descriptor to be had


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
        self._thread = start_thread(f"{self._name}-accept", self._accept)

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
                start_thread(f"{self._name}-reader", partial(self._carry, *taken))
            except RuntimeError as error:
                logger.error("{}: no thread for a connection: {}", self._name, error)
                taken[0].close()
                self._free_place()
        self.sock.close()
