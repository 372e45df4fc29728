"""Connections of web servers: their packets, and the table of those that are open."""

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from reelusher.codecs import ajp13

READ_BYTES = 1 << 16
DISCARD_S = 0.2  # how long a connection is still read after its last answer
DISCARD_BYTES = 1 << 18  # and how much of it


class PacketStream:
    """The packets of one connection, one at a time."""

    def __init__(self, sock: socket.socket, max_packet_bytes: int) -> None:
        self.sock = sock
        self._packets = ajp13.PacketDecoder(ajp13.TO_CONTAINER, max_packet_bytes)
        self._received: Iterator[bytes] = iter(())

    def next(self) -> bytes | None:
        """Wait for the next payload; None: the web server has closed."""
        while True:
            for payload in self._received:
                return payload
            data = self.sock.recv(READ_BYTES)
            if not data:
                return None
            self._received = iter(list(self._packets.feed(data)))


def shut_and_discard(sock: socket.socket) -> None:
    """Shut the writing side and discard what still comes: a close would reset the answer on its way."""
    until, remaining_bytes = time.monotonic() + DISCARD_S, DISCARD_BYTES
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while remaining_bytes > 0 and (wait_s := until - time.monotonic()) > 0:
            sock.settimeout(wait_s)
            data = sock.recv(READ_BYTES)
            if not data:
                return
            remaining_bytes -= len(data)


@dataclass(slots=True)
class ConnectionSlot:
    """The entry of one connection in the table."""

    host: str  # of the web server
    since_s: float  # when its present state began
    busy: bool = False  # a request is open on it
    protected: bool = False  # that request has reached the core, or the connection is being closed
    tenant: str = ""  # of the newest request


class Eviction(NamedTuple):
    """What was evicted for a new connection."""

    open_connections: int
    host: str
    host_connections: int


class ConnectionTable:
    """The open connections, of each web server and of each tenant; for any thread."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._slots: dict[socket.socket, ConnectionSlot] = {}
        self._by_tenant: Counter[str] = Counter()  # by the tenant of their newest request
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._slots)

    def __getitem__(self, sock: socket.socket) -> ConnectionSlot:
        return self._slots[sock]

    def snapshot(self) -> dict[socket.socket, ConnectionSlot]:
        """Return all connections at present."""
        with self._lock:
            return dict(self._slots)

    def try_add(self, sock: socket.socket, host: str) -> tuple[bool, Eviction | None]:
        """Add a connection if there is a slot; return whether, and what was evicted for it."""
        with self._lock:
            eviction = self._evict_for(host) if len(self._slots) >= self._max_connections else None
            if len(self._slots) >= self._max_connections and eviction is None:
                return False, None
            self._slots[sock] = ConnectionSlot(host, time.monotonic())
            return True, eviction

    def remove(self, sock: socket.socket) -> None:
        """Remove a connection."""
        with self._lock:
            self._assign(self._slots.pop(sock), "")

    def begin_request(self, sock: socket.socket, tenant: str, max_of_tenant: int) -> bool:
        """Protect a connection and assign it to a tenant; return False where that has too many by now.

        0 for `max_of_tenant` means no limit.
        """
        with self._lock:
            slot = self._slots[sock]
            exceeded = slot.tenant != tenant and self._assign(slot, tenant) > max_of_tenant > 0
            slot.protected = True
            return not exceeded

    def shut_all(self) -> None:
        """Shut all connections, whose threads then end."""
        with self._lock:
            for sock in self._slots:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _assign(self, slot: ConnectionSlot, tenant: str) -> int:
        """Assign a connection to a tenant, or to none; return how many that tenant has now."""
        if slot.tenant:
            self._by_tenant[slot.tenant] -= 1
            if not self._by_tenant[slot.tenant]:
                del self._by_tenant[slot.tenant]
        slot.tenant = tenant
        if tenant:
            self._by_tenant[tenant] += 1
        return self._by_tenant[tenant] if tenant else 0

    def _evict_for(self, host: str) -> Eviction | None:
        """Shut a connection of the host that has most, unless that is the newcomer's.

        One that carries a request which has reached the core is protected; of the others the one goes that
        has been idle, or in the middle of a request, for longest. So no web server can keep the others out.
        """
        counts = Counter(slot.host for slot in self._slots.values())
        largest, count = counts.most_common(1)[0]
        if count <= counts[host] + 1:
            return None
        evictable = [
            sock for sock, slot in self._slots.items() if slot.host == largest and not slot.protected
        ]
        if not evictable:
            return None
        sock = min(evictable, key=lambda candidate: self._slots[candidate].since_s)
        self._slots[sock].protected = True  # from a second eviction
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        return Eviction(len(self._slots), largest, count)
