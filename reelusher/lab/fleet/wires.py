"""The stand-ins' ends of the wires: list over HTTP, service below, runtime, and callers' connections."""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from reelusher.codecs import http1, lines, msgpack
from reelusher.codecs.errors import MalformedError
from reelusher.config.checked_table import Address
from reelusher.lab.fleet.account import Try
from reelusher.lab.fleet.callers import Caller
from reelusher.lab.fleet.relay import FaultProxyNetwork, Link
from reelusher.lab.fleet.services import Below, Job, ListService, Runtime, result_of

MOST_OPEN = 32  # requests on one connection, by the protocol
KEPT_NOTICES = 4000
CROSSING_S = 0.05  # a request may cross a close for so long; it then never ran
VERDICTS = {"Full": "refused"}


class Wire(asyncio.Protocol):
    """A connection; what is malformed ends it."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def write(self, data: bytes) -> None:
        """Write, unless it has ended."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.take(data)
        except (ValueError, KeyError, MalformedError):
            self.transport.abort()

    def take(self, data: bytes) -> None:
        raise NotImplementedError


class ListWire(Wire):
    """One node's connection to the list service."""

    def __init__(self, service: ListService) -> None:
        self.service, self.decoder = service, http1.Decoder()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.service.away:
            self.transport.abort()

    def take(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.service.report(message.start[1].rsplit("/", 1)[-1], lambda: self.write(http1.response(204)))
            if self.service.away:
                self.transport.abort()


class DownstreamCallDecoder:
    """Splits what a node sends to a service below into words, call and body."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[tuple[str, str, bytes]]:
        """Take more bytes and return what is whole by now."""
        self.buffer += data
        found = []
        while b"\r\n" in self.buffer:
            head, rest = self.buffer.split(b"\r\n", 1)
            words = head.decode().split(" ")
            size = int(words[3]) if words[0] == "ask" else -2
            if len(rest) < size + 2:
                break
            found.append((words[0], words[1], rest[: max(size, 0)]))
            self.buffer = rest[size + 2 :]
        return found


class BelowWire(Wire):
    """One connection of a node to a service below."""

    def __init__(self, service: Below) -> None:
        self.service, self.decoder, self.open = service, DownstreamCallDecoder(), dict[str, int]()

    def take(self, data: bytes) -> None:
        for word, call, _ in self.decoder.feed(data):
            self.service.give_up(self.open.pop(call, 0))
            if word == "ask":
                self.ask(call)

    def ask(self, call: str) -> None:
        """Have the service take a call."""
        number = self.service.call(partial(self.reply, call))
        if number:
            self.open[call] = number

    def reply(self, call: str, word: str) -> None:
        """Write a reply."""
        self.open.pop(call, None)
        self.write(f"{call} yes 2\r\nok\r\n".encode() if word == "yes" else f"{call} {word}\r\n".encode())

    def connection_lost(self, error: Exception | None) -> None:
        for number in self.open.values():
            self.service.give_up(number)
        self.open.clear()


class RuntimeHost:
    """A node's runtime with its notices, which outlive links."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime, self.link = runtime, None
        runtime.ended, runtime.wants = self.ended, self.wants
        self.restart()

    link: "RuntimeWire | None"

    def restart(self) -> None:
        """Number notices from 1, as at each start of the node."""
        self.serial = 0
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=KEPT_NOTICES)
        self.waiting: dict[str, float] = {}  # what is left of runs that wait for their call, ms

    def notice(self, **fields: Any) -> None:
        """Say something that counts also over a broken link."""
        self.serial += 1
        line = lines.encode_json_line({**fields, "serial": self.serial})
        self.notices.append((self.serial, line))
        if self.link is not None:
            self.link.write(line)

    def ended(self, job: Job) -> None:
        """Tell the end of a run."""
        took_ms = (self.runtime.line.time() - job.began_s) * 1000
        self.notice(
            msg="end", call=job.call, how="ok", duration=took_ms, blob=lines.encode_body(result_of(job))
        )

    def wants(self, job: Job, ms: float) -> None:
        """Tell that a run waits for its call."""
        self.waiting[job.call] = ms
        self.notice(msg="wants", call=job.call, blob=lines.encode_body(job.body))


class RuntimeWire(Wire):
    """A link of a node to its runtime."""

    def __init__(self, host: RuntimeHost) -> None:
        self.host, self.decoder = host, lines.JsonLineDecoder()

    def take(self, data: bytes) -> None:
        host = self.host
        for message in self.decoder.feed(data):
            call = str(message.get("call", ""))
            match message["msg"]:
                case "sync":
                    host.link = self
                    up_ms = (host.runtime.line.time() - host.runtime.began_s) * 1000
                    self.write(lines.encode_json_line({"msg": "ready", "how": "warm", "duration": up_ms}))
                    for serial, line in host.notices:
                        if serial > message["serial"]:
                            self.write(line)
                case "gauges":
                    self.write(
                        lines.encode_json_line(
                            {"msg": "load", "cookie": message["cookie"], "stats": host.runtime.gauges()}
                        )
                    )
                case "start":
                    host.runtime.start(call, message["service"], lines.decode_body(message["blob"]))
                case "give" | "omit" if call in host.waiting:
                    host.runtime.go_on(call, host.waiting.pop(call), message["msg"] == "omit")

    def connection_lost(self, error: Exception | None) -> None:
        if self.host.link is self:
            self.host.link = None


class NodeLine(Wire):
    """A caller's connection to a node."""

    def __init__(
        self,
        caller: Caller,
        node: str,
        link: Link,
        done: Callable[["NodeLine"], None],
        alive: Callable[[str], bool],
    ) -> None:
        self.caller, self.node, self.link, self.done, self.alive = caller, node, link, done, alive
        self.decoder, self.numbers = msgpack.Decoder(), itertools.count(1)
        self.open: dict[int, Try] = {}
        self.past: dict[int, Try] = {}
        self.told = False
        self.written = 0  # bytes
        self.upto: dict[int, int] = {}  # of open tries: the bytes written with them

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.address = transport.get_extra_info("sockname")

    def ask(self, one: Try) -> None:
        """Write a try."""
        number, ask = next(self.numbers), one.ask
        fields = {
            "txn": one.call,
            "lb": str(self.caller.number),
            "ram": "10",
            "cpu": f"{ask.kind.work_ms:.2f}",
            "door": str(time.time_ns() // 1_000_000),
        }
        if ask.key:
            fields["unique"] = ask.key
        data = msgpack.pack([0, number, ask.kind.name, [fields, ask.body]])
        self.write(data)
        self.written += len(data)
        self.upto[number] = self.written
        one.sent_s = self.caller.line.time() - self.caller.account.zero_s
        self.open[number] = one

    def take(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            if message[0] == 2:
                self.told = True
                self.done(self)
                continue
            _, number, error, result = message
            one = self.open.pop(number, None)
            if one is None:  # a second answer, or one to nothing that was asked
                if number in self.past:
                    self.caller.answered(self.past[number], "again", {}, b"")
                else:
                    self.caller.account.violations.append(f"{self.node} answered {number}, which is not open")
                continue
            self.past[number] = one
            if error:
                self.caller.answered(one, VERDICTS.get(error[0], "failed"), error[1], b"")
            else:
                self.caller.answered(one, "served", result[1], result[0])
        if self.told and not self.open:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.done(self)
        now = self.caller.line.time()
        open_, self.open = self.open, {}
        account, pair = self.caller.account, self.link.by_caller.pop(self.address, None)
        for number, one in open_.items():
            age_s = now - account.zero_s - one.sent_s
            touched = not self.alive(self.node) or self.link.touched_since(now - age_s)
            # what the relay could not hand on never came to the node
            unread = pair is None or pair.reached < self.upto[number]
            crossed = age_s <= CROSSING_S + account.blind_since(one.sent_s)
            self.caller.broken(one, touched or unread or crossed, ran=not unread and not crossed)


class Lines:
    """The connections of all callers to all nodes; a `callers.Way`."""

    def __init__(
        self,
        net: FaultProxyNetwork,
        places: dict[str, Address],
        alive: Callable[[str], bool],
        read: Callable[[str], None],
    ) -> None:
        self.net, self.places, self.alive, self.read = net, places, alive, read
        self.free: dict[tuple[int, str], NodeLine] = {}

    def send(self, caller: Caller, one: Try) -> None:
        """Send a try on the caller's connection to the node, or on a new one."""
        line = self.free.get((caller.number, one.node))
        if line is not None and not line.transport.is_closing() and len(line.open) < MOST_OPEN:
            line.ask(one)
            self.read(one.node)
            return
        self.net.spawn(self._open(caller, one))

    async def _open(self, caller: Caller, one: Try) -> None:
        loop, node = asyncio.get_running_loop(), one.node
        place = await self.net.through(caller.party, node, self.places[node])
        link = self.net.links[caller.party, node]
        try:
            _, line = await loop.create_connection(
                lambda: NodeLine(caller, node, link, self._done, self.alive), *place
            )
        except OSError:
            caller.broken(one, True, ran=False)
            return
        self.free[caller.number, node] = line
        line.ask(one)
        self.read(node)

    def _done(self, line: NodeLine) -> None:
        if self.free.get((line.caller.number, line.node)) is line:
            del self.free[line.caller.number, line.node]
