"""Fault proxies on loopback: each link between two endpoints of a run goes through one.

An endpoint is a node, the callers of a zone, the service registry, a downstream service or a runtime.

TCP never loses a byte in the middle of a stream, so faults act on connections as follows: `cut` drops all
data, and when it heals, connections that lost data are reset, as by a peer that gave up; `silent` withholds
data until it heals; `reset` resets open and new connections; `loss` delays a chunk by a retransmission
timeout. Datagrams are really lost, duplicated and reordered, and `cut`, `silent` and `reset` drop them. The
sender of a datagram is identified by its loopback address.
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import cast

from reelusher.config.checked_table import Address
from reelusher.lab.fleet.plan import Fault

RETRANSMIT_S = 0.2  # the minimum retransmission timeout of TCP on Linux
MAX_BUFFER_BYTES = 4 << 20  # buffered for a receiver that does not read; beyond it the connection is reset
# between two chunks: an event loop does not keep the order of callbacks that are due at equal times
ORDER_STEP_S = 1e-6
PROXY_HOST = "127.200.0.1"  # address that the proxies listen on


@dataclass(slots=True)
class Direction:
    """One direction of a link."""

    faults: list[Fault] = field(default_factory=list)
    passed_bytes: int = 0
    dropped_bytes: int = 0  # lost to faults
    last_fault_end_s: float = -1.0  # by the loop's clock

    def active_fault(self, kind: str) -> Fault | None:
        """Return an active fault of this kind, if there is one."""
        return next((fault for fault in self.faults if fault.kind == kind), None)


class Link:
    """A link from one endpoint to another, with both directions."""

    def __init__(self, source: str, target: str, address: Address) -> None:
        self.source, self.target, self.address = source, target, address
        self.forward, self.backward = Direction(), Direction()
        self.connections: set[ProxiedConnection] = set()
        # by the address of the client; also connections that are closed
        self.connection_by_peer: dict[Address, ProxiedConnection] = {}

    def had_fault_since(self, since_s: float) -> bool:
        """Return whether a fault was active on either direction at or after a time of the loop's clock."""
        active = bool(self.forward.faults or self.backward.faults)
        return active or max(self.forward.last_fault_end_s, self.backward.last_fault_end_s) >= since_s

    def heal(self) -> None:
        """Continue or reset the connections after a fault has ended."""
        for connection in list(self.connections):
            connection.heal()


def reset_connection(transport: asyncio.Transport | None) -> None:
    """Abort a connection so that the peer sees a reset instead of an end of stream."""
    if transport is not None and not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class ProxiedConnection:
    """One connection through a link: the sides of the client and of the server."""

    def __init__(self, network: "FaultProxyNetwork", link: Link) -> None:
        self.network, self.link = network, link
        self.client_side, self.server_side = (
            ConnectionSide(self, link.forward),
            ConnectionSide(self, link.backward),
        )
        self.client_side.peer, self.server_side.peer = self.server_side, self.client_side
        self.lost_data = False  # to a cut
        self.delivered_bytes = 0  # from the client, written to the server
        link.connections.add(self)

    async def open(self) -> None:
        """Connect to the target."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.server_side, *self.link.address)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Reset both sides."""
        self.link.connections.discard(self)
        for end in (self.client_side, self.server_side):
            reset_connection(end.transport)

    def heal(self) -> None:
        """Reset the connection if it lost data or links are reset, else send what was withheld."""
        if self.link.forward.active_fault("cut") or self.link.backward.active_fault("cut"):
            return
        if self.lost_data or self.link.forward.active_fault("reset"):
            self.abort()
            return
        self.client_side.release()
        self.server_side.release()


class ConnectionSide(asyncio.Protocol):
    """One side of a connection: data received from it passes to the other side as the faults allow."""

    def __init__(self, connection: ProxiedConnection, direction: Direction) -> None:
        self.connection, self.direction = connection, direction
        self.peer: ConnectionSide = self
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []  # received from the peer side before this side was connected
        self.withheld: list[bytes] = []  # received from this side while its direction was silent
        self.due_s = 0.0  # when the last chunk is due, which later chunks must not overtake

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        link = self.connection.link
        if self is self.connection.client_side:
            if link.forward.active_fault("reset"):
                reset_connection(transport)
            elif link.forward.active_fault("cut") or link.backward.active_fault("cut"):
                self.connection.lost_data = True
            else:
                self.connection.network.spawn(self.connection.open())
            link.connection_by_peer[transport.get_extra_info("peername")] = self.connection
        for data in self.pending:
            self.peer.write(transport, data)
        self.pending.clear()

    def data_received(self, data: bytes) -> None:
        direction, loop = self.direction, asyncio.get_running_loop()
        if direction.active_fault("cut"):
            direction.dropped_bytes += len(data)
            self.connection.lost_data = True
            return
        if direction.active_fault("silent") or self.withheld:
            self.withheld.append(data)
            return
        delay_s = self.connection.network.transit_delay_s(direction)
        if delay_s or self.due_s > loop.time():
            self.due_s = max(self.due_s + ORDER_STEP_S, loop.time() + delay_s)
            loop.call_at(self.due_s, self.deliver, data)
        else:
            self.deliver(data)

    def deliver(self, data: bytes) -> None:
        """Pass a chunk to the other side."""
        peer_transport = self.peer.transport
        if peer_transport is None:
            self.peer.pending.append(data)
        elif not peer_transport.is_closing():
            self.write(peer_transport, data)
            if peer_transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
                self.connection.abort()

    def write(self, peer_transport: asyncio.Transport, data: bytes) -> None:
        """Write a chunk received from this side to the other side."""
        peer_transport.write(data)
        self.direction.passed_bytes += len(data)
        if self is self.connection.client_side:
            self.connection.delivered_bytes += len(data)

    def release(self) -> None:
        """Deliver the withheld data unless the direction is still silent."""
        if not self.direction.active_fault("silent"):
            released, self.withheld = self.withheld, []
            for data in released:
                self.deliver(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.direction.active_fault("cut") or self.direction.active_fault("silent"):
            self.connection.lost_data = True  # the other side learns of it by a reset when the link heals
            return
        self.connection.link.connections.discard(self.connection)
        peer_transport = self.peer.transport
        if peer_transport is not None:
            asyncio.get_running_loop().call_later(
                max(0.0, self.due_s - asyncio.get_running_loop().time()),
                *((reset_connection, peer_transport) if error else (peer_transport.close,)),
            )


class SharedDatagramProxy(asyncio.DatagramProtocol):
    """Receives all datagrams to one endpoint; the sender's address identifies their source."""

    def __init__(self, network: "FaultProxyNetwork", target: str, address: Address) -> None:
        self.network, self.target, self.address = network, target, address
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(
            asyncio.DatagramTransport, transport
        )  # the transports of event loops are no subclass of it

    def datagram_received(self, data: bytes, sender: Address) -> None:
        source = self.network.endpoint_of.get(sender[0], "")
        direction = self.network.link(source, self.target, self.address).forward
        loss, duplicate, reorder = (
            direction.active_fault("loss"),
            direction.active_fault("duplicate"),
            direction.active_fault("reorder"),
        )
        draw = self.network.random.random
        if (
            direction.active_fault("cut")
            or direction.active_fault("silent")
            or direction.active_fault("reset")
            or (loss and draw() < loss.part)
        ):
            direction.dropped_bytes += len(data)
            return
        delay_s = self.network.transit_delay_s(direction, datagram=True)
        for _ in range(2 if duplicate and draw() < duplicate.part else 1):
            extra_s = reorder.ms / 1000 if reorder and draw() < reorder.part else 0.0
            asyncio.get_running_loop().call_later(delay_s + extra_s, self.send, direction, data)

    def send(self, direction: Direction, data: bytes) -> None:
        """Forward a datagram."""
        direction.passed_bytes += len(data)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.address)


class SharedStreamProxy(asyncio.Protocol):
    """Accepts a connection to one endpoint; the client's address identifies the source, and so the link."""

    def __init__(self, network: "FaultProxyNetwork", target: str, address: Address) -> None:
        self.network, self.target, self.address = network, target, address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        source = self.network.endpoint_of.get(transport.get_extra_info("peername")[0], "")
        connection = ProxiedConnection(self.network, self.network.link(source, self.target, self.address))
        cast(asyncio.Transport, transport).set_protocol(connection.client_side)
        connection.client_side.connection_made(transport)


class FaultProxyNetwork:
    """All links of a run and their fault proxies."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoint_of: dict[str, str] = {}  # by its loopback address
        self._active_faults: list[Fault] = []
        self._proxy_addresses: dict[tuple[str, str], Address] = {}
        self._servers: list[asyncio.Server | asyncio.DatagramTransport] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine in the background; the task is kept so that it is not garbage-collected."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def link(self, source: str, target: str, address: Address) -> Link:
        """Return the link between two endpoints; a new one has the faults that are active now."""
        link = self.links.get((source, target))
        if link is None:
            link = self.links[source, target] = Link(source, target, address)
            for fault in self._active_faults:
                self._apply(link, fault)
        return link

    async def open_link_proxy(self, source: str, target: str, address: Address) -> Address:
        """Return the address to which `source` connects to reach `target`, which listens on `address`."""
        proxy_address = self._proxy_addresses.get((source, target))
        if proxy_address is None:
            link = self.link(source, target, address)
            server = await asyncio.get_running_loop().create_server(
                lambda: ProxiedConnection(self, link).client_side, PROXY_HOST, 0, backlog=512
            )
            self._servers.append(server)
            proxy_address = self._proxy_addresses[source, target] = server.sockets[0].getsockname()
        return proxy_address

    async def open_shared_proxy(self, target: str, address: Address, streams: bool = False) -> Address:
        """Return the address to which all sources send datagrams for `target`, which listens on `address`.

        If `streams`, the same address accepts connections too.
        """
        loop = asyncio.get_running_loop()
        port = 0
        if streams:
            server = await loop.create_server(lambda: SharedStreamProxy(self, target, address), PROXY_HOST, 0)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
        transport, proxy = await loop.create_datagram_endpoint(
            lambda: SharedDatagramProxy(self, target, address), (PROXY_HOST, port)
        )
        self._servers.append(transport)
        proxy_address: Address = (
            proxy.transport.get_extra_info("sockname") if proxy.transport else (PROXY_HOST, 0)
        )
        return proxy_address

    def transit_delay_s(self, direction: Direction, datagram: bool = False) -> float:
        """Return the seconds by which faults delay a chunk or datagram; `loss` delays only chunks."""
        delay, loss = direction.active_fault("delay"), direction.active_fault("loss")
        delay_s = delay.ms / 1000 * self.random.uniform(0.9, 1.1) if delay else 0.0
        if loss and not datagram and self.random.random() < loss.part:
            delay_s += RETRANSMIT_S
        return delay_s

    @staticmethod
    def _apply(link: Link, fault: Fault) -> bool:
        forward = fault.affects(link.source, link.target)
        backward = fault.affects(link.target, link.source)
        if forward:
            link.forward.faults.append(fault)
        if backward:
            link.backward.faults.append(fault)
        return forward or backward

    def begin(self, fault: Fault) -> None:
        """Start a fault on existing and future links."""
        self._active_faults.append(fault)
        for link in self.links.values():
            if self._apply(link, fault) and fault.kind == "reset":
                for connection in list(link.connections):
                    connection.abort()

    def end(self, fault: Fault) -> None:
        """End a fault, and continue or reset the connections that it affected."""
        self._active_faults.remove(fault)
        now = asyncio.get_running_loop().time()
        for link in self.links.values():
            affected = False
            for direction in (link.forward, link.backward):
                if fault in direction.faults:
                    direction.faults.remove(fault)
                    direction.last_fault_end_s, affected = now, True
            if affected:
                link.heal()

    def close(self) -> None:
        """Close all proxies and reset the connections through them."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for link in self.links.values():
            for connection in list(link.connections):
                with contextlib.suppress(RuntimeError):
                    connection.abort()
