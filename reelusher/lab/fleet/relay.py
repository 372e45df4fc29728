"""Links between any two parties, as relays on loopback that can be broken by the timetable.

What a fault means on TCP, which never loses a byte in the middle of a stream: a `cut` link swallows what
crosses it, and a connection that lost something is reset when the cut heals, as by a peer that gave up;
`silent` holds what crosses until it heals; `loss` holds a piece for a retransmission time. Datagrams are
lost, doubled and overtaken for good. A party's datagrams are known by the loopback address they come from.
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

RETRANSMIT_S = 0.2  # the least time-out of TCP on Linux
MOST_BUFFER = 4 << 20  # a relay that holds more for one that does not read ends the connection
ORDER_S = 1e-6  # between two pieces: an event loop does not keep the order of equal times
HOST = "127.200.0.1"  # relays listen here


@dataclass(slots=True)
class Way:
    """One direction of a link."""

    faults: list[Fault] = field(default_factory=list)
    crossed: int = 0  # bytes that went through
    swallowed: int = 0  # bytes that a cut took
    touched: float = -1.0  # when a fault last stood on it, by the loop's clock

    def has(self, kind: str) -> Fault | None:
        """Return the fault of a kind that stands on it."""
        return next((fault for fault in self.faults if fault.kind == kind), None)


class Link:
    """From one party to another, both directions."""

    def __init__(self, source: str, target: str, place: Address) -> None:
        self.source, self.target, self.place = source, target, place
        self.out, self.back = Way(), Way()
        self.pairs: set[Pair] = set()
        self.by_caller: dict[Address, Pair] = {}  # by where the near end comes from, also once over

    def touched_since(self, since_s: float) -> bool:
        """Tell whether a fault has stood on it since a time."""
        stands = bool(self.out.faults or self.back.faults)
        return stands or max(self.out.touched, self.back.touched) >= since_s

    def heal(self) -> None:
        """Go on where no fault stands any longer."""
        for pair in list(self.pairs):
            pair.heal()


def reset(transport: asyncio.Transport | None) -> None:
    """End a connection so that the other side sees a reset, not an end."""
    if transport is not None and not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class Pair:
    """One connection through a link: two ends and what is held between them."""

    def __init__(self, net: "FaultProxyNetwork", link: Link) -> None:
        self.net, self.link = net, link
        self.near, self.far = End(self, link.out), End(self, link.back)
        self.near.other, self.far.other = self.far, self.near
        self.spoilt = False  # it lost bytes
        self.reached = 0  # bytes from the near end that were written to the target
        link.pairs.add(self)

    async def open(self) -> None:
        """Connect to the target."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.far, *self.link.place)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Reset both ends."""
        self.link.pairs.discard(self)
        for end in (self.near, self.far):
            reset(end.transport)

    def heal(self) -> None:
        """End it where it lost something, else send on what was held."""
        if self.link.out.has("cut") or self.link.back.has("cut"):
            return
        if self.spoilt or self.link.out.has("reset"):
            self.abort()
            return
        self.near.release()
        self.far.release()


class End(asyncio.Protocol):
    """What comes from one side goes to the other, by the rules of its direction."""

    def __init__(self, pair: Pair, way: Way) -> None:
        self.pair, self.way = pair, way
        self.other: End = self
        self.transport: asyncio.Transport | None = None
        self.held: list[bytes] = []  # for this end, until it is there
        self.silent: list[bytes] = []  # from this end, until its way speaks again
        self.due_s = 0.0  # pieces keep their order

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        link = self.pair.link
        if self is self.pair.near:
            if link.out.has("reset"):
                reset(transport)
            elif link.out.has("cut") or link.back.has("cut"):
                self.pair.spoilt = True
            else:
                self.pair.net.spawn(self.pair.open())
            link.by_caller[transport.get_extra_info("peername")] = self.pair
        for data in self.held:
            self.other.write(transport, data)
        self.held.clear()

    def data_received(self, data: bytes) -> None:
        way, loop = self.way, asyncio.get_running_loop()
        if way.has("cut"):
            way.swallowed += len(data)
            self.pair.spoilt = True
            return
        if way.has("silent") or self.silent:
            self.silent.append(data)
            return
        wait_s = self.pair.net.wait_s(way)
        if wait_s or self.due_s > loop.time():
            self.due_s = max(self.due_s + ORDER_S, loop.time() + wait_s)
            loop.call_at(self.due_s, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Hand a piece to the other end."""
        out = self.other.transport
        if out is None:
            self.other.held.append(data)
        elif not out.is_closing():
            self.write(out, data)
            if out.get_write_buffer_size() > MOST_BUFFER:
                self.pair.abort()

    def write(self, out: asyncio.Transport, data: bytes) -> None:
        """Write a piece that came from this end."""
        out.write(data)
        self.way.crossed += len(data)
        if self is self.pair.near:
            self.pair.reached += len(data)

    def release(self) -> None:
        """Send on what silence held."""
        if not self.way.has("silent"):
            held, self.silent = self.silent, []
            for data in held:
                self.pass_on(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.pair.link.pairs.discard(self.pair)
        if self.way.has("cut") or self.way.has("silent"):
            self.pair.spoilt = True  # the other side does not hear of it
            return
        out = self.other.transport
        if out is not None:
            asyncio.get_running_loop().call_later(
                max(0.0, self.due_s - asyncio.get_running_loop().time()),
                *((reset, out) if error else (out.close,)),
            )


class Inlet(asyncio.DatagramProtocol):
    """All datagrams to one party; whose they are is told by the address they come from."""

    def __init__(self, net: "FaultProxyNetwork", target: str, place: Address) -> None:
        self.net, self.target, self.place = net, target, place
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # which that of an event loop is not

    def datagram_received(self, data: bytes, came_from: Address) -> None:
        source = self.net.endpoint_of.get(came_from[0], "")
        way = self.net.link(source, self.target, self.place).out
        loss, twice, late = way.has("loss"), way.has("duplicate"), way.has("reorder")
        draw = self.net.random.random
        if way.has("cut") or way.has("silent") or way.has("reset") or (loss and draw() < loss.part):
            way.swallowed += len(data)
            return
        wait_s = self.net.wait_s(way, datagram=True)
        for _ in range(2 if twice and draw() < twice.part else 1):
            again_s = late.ms / 1000 if late and draw() < late.part else 0.0
            asyncio.get_running_loop().call_later(wait_s + again_s, self.send, way, data)

    def send(self, way: Way, data: bytes) -> None:
        """Pass a datagram on."""
        way.crossed += len(data)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.place)


class Door(asyncio.Protocol):
    """A connection to one party from whoever its address says; it becomes a pair of the link between them."""

    def __init__(self, net: "FaultProxyNetwork", target: str, place: Address) -> None:
        self.net, self.target, self.place = net, target, place

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        source = self.net.endpoint_of.get(transport.get_extra_info("peername")[0], "")
        pair = Pair(self.net, self.net.link(source, self.target, self.place))
        cast(asyncio.Transport, transport).set_protocol(pair.near)
        pair.near.connection_made(transport)


class FaultProxyNetwork:
    """All links of a run."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoint_of: dict[str, str] = {}  # by loopback address
        self._standing: list[Fault] = []
        self._doors: dict[tuple[str, str], Address] = {}
        self._open: list[asyncio.Server | asyncio.DatagramTransport] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run something beside all else; kept so that it is not collected."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def link(self, source: str, target: str, place: Address) -> Link:
        """Return the link between two parties, with the faults that stand on it by now."""
        found = self.links.get((source, target))
        if found is None:
            found = self.links[source, target] = Link(source, target, place)
            for fault in self._standing:
                self._stand(found, fault)
        return found

    async def through(self, source: str, target: str, place: Address) -> Address:
        """Return where `source` is to connect to reach `target` at `place`."""
        door = self._doors.get((source, target))
        if door is None:
            link = self.link(source, target, place)
            server = await asyncio.get_running_loop().create_server(
                lambda: Pair(self, link).near, HOST, 0, backlog=512
            )
            self._open.append(server)
            door = self._doors[source, target] = server.sockets[0].getsockname()
        return door

    async def open_shared_proxy(self, target: str, place: Address, streams: bool = False) -> Address:
        """Return where datagrams to `target` at `place` are to be sent, and connections too for `streams`."""
        loop = asyncio.get_running_loop()
        port = 0
        if streams:
            server = await loop.create_server(lambda: Door(self, target, place), HOST, 0)
            self._open.append(server)
            port = server.sockets[0].getsockname()[1]
        made, inlet = await loop.create_datagram_endpoint(lambda: Inlet(self, target, place), (HOST, port))
        self._open.append(made)
        found: Address = inlet.transport.get_extra_info("sockname") if inlet.transport else (HOST, 0)
        return found

    def wait_s(self, way: Way, datagram: bool = False) -> float:
        """Return how long a piece is held on its way."""
        delay, loss = way.has("delay"), way.has("loss")
        wait = delay.ms / 1000 * self.random.uniform(0.9, 1.1) if delay else 0.0
        if loss and not datagram and self.random.random() < loss.part:
            wait += RETRANSMIT_S
        return wait

    @staticmethod
    def _stand(link: Link, fault: Fault) -> bool:
        out = fault.stands_between(link.source, link.target)
        back = fault.stands_between(link.target, link.source)
        if out:
            link.out.faults.append(fault)
        if back:
            link.back.faults.append(fault)
        return out or back

    def begin(self, fault: Fault) -> None:
        """Let a fault stand, on the links there are and those to come."""
        self._standing.append(fault)
        for link in self.links.values():
            if self._stand(link, fault) and fault.kind == "reset":
                for pair in list(link.pairs):
                    pair.abort()

    def end(self, fault: Fault) -> None:
        """Let a fault end."""
        self._standing.remove(fault)
        now = asyncio.get_running_loop().time()
        for link in self.links.values():
            hit = False
            for way in (link.out, link.back):
                if fault in way.faults:
                    way.faults.remove(fault)
                    way.touched, hit = now, True
            if hit:
                link.heal()

    def close(self) -> None:
        """Close all relays and what goes through them."""
        for task in self._tasks:
            task.cancel()
        for door in self._open:
            door.close()
        for link in self.links.values():
            for pair in list(link.pairs):
                with contextlib.suppress(RuntimeError):
                    pair.abort()
