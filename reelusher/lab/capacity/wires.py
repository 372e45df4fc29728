"""What the live proof speaks to nodes: the administration API, AJP, and workers that tell their names."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from reelusher.codecs import ajp13, http1
from reelusher.codecs.errors import MalformedError
from reelusher.config.checked_table import Address
from reelusher.lab.fleet.census import RIG_ADMIN_TOKEN
from reelusher.lab.load import StandIn
from reelusher.lab.plan import Worker

MOST_BODY = 1 << 24


@dataclass(slots=True)
class Told:
    """An answer of the administration API."""

    status: int
    value: Any = None
    headers: dict[str, str] = field(default_factory=dict)


class NodeUnreachableError(Exception):
    """Nobody listens there: nothing was asked."""


async def call_admin_api(
    place: Address,
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    most_s: float = 10.0,
) -> Told | None:
    """Ask a node over a connection of its own; None where no answer came. Raises `NodeUnreachableError`."""
    try:
        async with asyncio.timeout(most_s):
            try:
                reader, writer = await asyncio.open_connection(*place)
            except OSError:
                raise NodeUnreachableError from None
            try:
                body = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    http1.request(
                        method,
                        path,
                        body,
                        {
                            "Authorization": f"Bearer {RIG_ADMIN_TOKEN}",
                            "Connection": "close",
                            **(headers or {}),
                        },
                    )
                )
                decoder = http1.Decoder(MOST_BODY)
                while data := await reader.read(1 << 16):
                    for message in decoder.feed(data):
                        return Told(
                            int(message.start[1]),
                            json.loads(message.body) if message.body else None,
                            message.headers,
                        )
            finally:
                writer.close()
    except (OSError, TimeoutError, http1.MalformedHttpError, ValueError):
        pass
    return None


async def wait_until_ready(admin: Address, ajp: Address, alive: Callable[[], bool], most_s: float) -> bool:
    """Wait until a node that was started answers at both addresses; tell whether it came to that."""
    ends_s = asyncio.get_running_loop().time() + most_s
    while alive() and asyncio.get_running_loop().time() < ends_s:
        with contextlib.suppress(NodeUnreachableError, OSError):
            told = await call_admin_api(admin, "GET", "/v1/status", most_s=most_s)
            if told is not None and told.status == 200:
                _, writer = await asyncio.open_connection(*ajp)
                writer.close()
                return True
        await asyncio.sleep(0.05)
    return False


class NoAnswerError(Exception):
    """A request had none; the text says why."""


class AjpLine(asyncio.Protocol):
    """A connection to a node's AJP front: one request at a time, and a word of what nobody asked for."""

    def __init__(self, stray: Callable[[], None]) -> None:
        self.stray = stray
        self.transport: asyncio.Transport | None = None
        self.packets = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)
        self.answer: asyncio.Future[tuple[int, bytes, bool]] | None = None
        self.status, self.body = 0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Take packets."""
        try:
            for payload in self.packets.feed(data):
                if self.answer is None or self.answer.done():
                    self.stray()
                    return
                match ajp13.read_reply(payload):
                    case ajp13.ResponseHead() as head:
                        self.status = head.status
                    case ajp13.ResponseBody(piece):
                        self.body += piece
                    case ajp13.ResponseEnd(reuse):
                        self.answer.set_result((self.status, self.body, reuse))
                    case _:
                        pass
        except MalformedError as error:
            self.fail(f"malformed: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """Note that it has ended."""
        self.fail(f"closed: {error or 'at its end'}")

    def fail(self, why: str) -> None:
        """End a request that waits."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(NoAnswerError(why))

    @property
    def usable(self) -> bool:
        """Tell whether a request may go over it."""
        return self.transport is not None and not self.transport.is_closing()

    async def ask(self, data: bytes, most_s: float) -> tuple[int, bytes, bool]:
        """Send a request; return status and body of its answer, and whether the connection goes on."""
        assert self.transport is not None
        self.status, self.body = 0, b""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            async with asyncio.timeout(most_s):
                return await self.answer
        except TimeoutError:
            raise NoAnswerError(f"none within {most_s:.1f} s") from None


class Callers:
    """Web servers before one node: connections that are kept between requests."""

    def __init__(self, place: Address) -> None:
        self.place = place
        self.idle: list[AjpLine] = []

    async def ask(self, host: str, most_s: float, stray: Callable[[], None]) -> tuple[int, str]:
        """Send a request of a tenant; return status and worker.

        Raises `NoAnswerError` and `NodeUnreachableError`.
        """
        line = None
        while self.idle and (line is None or not line.usable):
            line = self.idle.pop()
        if line is None or not line.usable:
            try:
                async with asyncio.timeout(most_s):
                    _, line = await asyncio.get_running_loop().create_connection(
                        lambda: AjpLine(stray), *self.place
                    )
            except (OSError, TimeoutError) as error:
                raise NodeUnreachableError(str(error)) from None
        line.stray = stray
        try:
            status, body, reuse = await line.ask(
                ajp13.write_forward(ajp13.ForwardedRequest(uri="/look", server_name=host)), most_s
            )
        except NoAnswerError:
            self.end(line)
            raise
        if reuse:
            self.idle.append(line)
        else:
            self.end(line)
        return status, body.decode() if status == 200 else ""

    @staticmethod
    def end(line: AjpLine) -> None:
        """Close a connection."""
        if line.transport is not None:
            line.transport.close()

    def close(self) -> None:
        """Close what is idle."""
        for line in self.idle:
            self.end(line)
        self.idle.clear()


class NamedWorker(StandIn):
    """A worker whose answers tell its name."""

    def __init__(self, name: str, service_ms: float) -> None:
        super().__init__(Worker(("127.0.0.1", 0), 1000, service_ms))
        self.name = name.encode()

    async def run(self, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        await asyncio.sleep(self.worker.service_ms / 1000)
        self.completed_runs += 1
        headers = (("Content-Type", "text/plain"), ("Content-Length", str(len(self.name))))
        with contextlib.suppress(OSError):
            writer.write(
                ajp13.write_response(
                    ajp13.ResponseHead(200, "OK", headers), self.name, True, ajp13.DEFAULT_PACKET_BYTES
                )
            )
