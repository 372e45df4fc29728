"""Connections of web servers: reading their packets, and the table of open connections."""

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from reelusher.codecs import ajp13
from reelusher.frontends.ajp.request_memory import RequestHold

READ_BYTES = 1 << 16
DISCARD_S = 0.2  # a connection is still read for this long after its last answer
DISCARD_BYTES = 1 << 18  # and for this many bytes, whichever limit is reached first


class PacketStream:
    """Reads the packets of one connection, one at a time."""

    def __init__(self, sock: socket.socket, max_packet_bytes: int, hold: RequestHold) -> None:
        """`hold` counts what is read for the present request."""
        self.sock = sock
        self.hold = hold
        self._packets = ajp13.PacketDecoder(ajp13.TO_CONTAINER, max_packet_bytes)
        self._received: Iterator[bytes] = iter(())

    def next(self) -> bytes | None:
        """Wait for the next packet and return its payload; None if the web server has closed the connection.

        Raises `MalformedError`, `RequestMemoryError`, and OSError if the connection is broken or times out.
        """
        while True:
            for payload in self._received:
                return payload
            data = self.sock.recv(READ_BYTES)
            self.hold.acquire(len(data))
            if not data:
                return None
            self._received = iter(list(self._packets.feed(data)))


def shut_and_discard(sock: socket.socket) -> None:
    """Shut down the writing side, then read and discard incoming data for a while.

    A close with unread data would reset the connection, and lose an answer that is still on its way.
    """
    end_s, remaining_bytes = time.monotonic() + DISCARD_S, DISCARD_BYTES
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while remaining_bytes > 0 and (wait_s := end_s - time.monotonic()) > 0:
            sock.settimeout(wait_s)
            data = sock.recv(READ_BYTES)
            if not data:
                return
            remaining_bytes -= len(data)


@dataclass(slots=True)
class ConnectionSlot:
    """The entry of one connection in the table."""

    host: str  # address of the web server
    since_s: float  # when it last became busy or idle
    busy: bool = False  # a request is open on it
    protected: bool = False  # never evicted: its request has reached the core, or it was evicted already
    tenant: str = ""  # tenant of its newest request


class Eviction(NamedTuple):
    """The eviction of a connection to make room for a new one."""

    open_connections: int
    host: str  # whose connection was evicted
    host_connections: int  # connections that it had before


class ConnectionTable:
    """The open connections, counted by web server and by tenant. Any thread may call the methods."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._slots: dict[socket.socket, ConnectionSlot] = {}
        self._by_tenant: Counter[str] = Counter()  # connections by the tenant of their newest request
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._slots)

    def __getitem__(self, sock: socket.socket) -> ConnectionSlot:
        return self._slots[sock]

    def snapshot(self) -> dict[socket.socket, ConnectionSlot]:
        """Return a copy of the table."""
        with self._lock:
            return dict(self._slots)

    def try_add(self, sock: socket.socket, host: str) -> tuple[bool, Eviction | None]:
        """Add a connection if there is room; return whether it was added, and the eviction that this took.

        An evicted connection counts until its thread removes it, so the table exceeds its limit for a moment.
        """
        with self._lock:
            eviction = self._evict_for(host) if len(self._slots) >= self._max_connections else None
            if len(self._slots) >= self._max_connections and eviction is None:
                return False, None
            self._slots[sock] = ConnectionSlot(host, time.monotonic())
            return True, eviction

    def remove(self, sock: socket.socket) -> None:
        """Remove a connection, and count it for its tenant no longer."""
        with self._lock:
            self._assign(self._slots.pop(sock), "")

    def begin_request(self, sock: socket.socket, tenant: str, max_of_tenant: int) -> bool:
        """Protect a connection from eviction and assign it to a tenant.

        Returns False if this newly assigned the connection, and the tenant now has more than `max_of_tenant`
        connections; 0 means no limit. A connection that the tenant had already is never refused.
        """
        with self._lock:
            slot = self._slots[sock]
            exceeded = slot.tenant != tenant and self._assign(slot, tenant) > max_of_tenant > 0
            slot.protected = True
            return not exceeded

    def shut_all(self) -> None:
        """Shut down all connections, so that their threads end."""
        with self._lock:
            for sock in self._slots:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _assign(self, slot: ConnectionSlot, tenant: str) -> int:
        """Assign a connection to a tenant, or to none (""); return how many that tenant now has."""
        if slot.tenant:
            self._by_tenant[slot.tenant] -= 1
            if not self._by_tenant[slot.tenant]:
                del self._by_tenant[slot.tenant]
        slot.tenant = tenant
        if tenant:
            self._by_tenant[tenant] += 1
        return self._by_tenant[tenant] if tenant else 0

    def _evict_for(self, host: str) -> Eviction | None:
        """Shut down a connection of the host that has the most, to make room for one of `host`.

        Nothing is evicted unless that host has at least two more than `host`. So no web server can keep the
        others out. Connections whose request has reached the core are protected; of the others, the one is
        evicted that has been idle, or in the middle of a request, for the longest time. Returns None if
        nothing was evicted. The lock is held.
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
        self._slots[sock].protected = True  # so that it is not evicted again
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        return Eviction(len(self._slots), largest, count)
