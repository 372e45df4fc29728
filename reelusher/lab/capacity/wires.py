"""Clients of real nodes, for the administration API and for AJP, and workers that answer with their names."""

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

MAX_BODY_BYTES = 1 << 24


@dataclass(slots=True)
class ApiResponse:
    """A response of the administration API, with its decoded JSON body."""

    status: int
    value: Any = None
    headers: dict[str, str] = field(default_factory=dict)


class NodeUnreachableError(Exception):
    """No connection could be opened, so no request was sent."""


async def call_admin_api(
    address: Address,
    method: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> ApiResponse | None:
    """Call a node's administration API over a new connection.

    Returns None if no complete response arrived. Raises `NodeUnreachableError`.
    """
    try:
        async with asyncio.timeout(timeout_s):
            try:
                reader, writer = await asyncio.open_connection(*address)
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
                decoder = http1.Decoder(MAX_BODY_BYTES)
                while data := await reader.read(1 << 16):
                    for message in decoder.feed(data):
                        return ApiResponse(
                            int(message.start[1]),
                            json.loads(message.body) if message.body else None,
                            message.headers,
                        )
            finally:
                writer.close()
    except (OSError, TimeoutError, http1.MalformedHttpError, ValueError):
        pass
    return None


async def wait_until_ready(admin: Address, ajp: Address, alive: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a node that was started responds at both addresses.

    Returns False if it does not in time, or if its process ends.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while alive() and asyncio.get_running_loop().time() < deadline_s:
        with contextlib.suppress(NodeUnreachableError, OSError):
            response = await call_admin_api(admin, "GET", "/v1/status", timeout_s=timeout_s)
            if response is not None and response.status == 200:
                _, writer = await asyncio.open_connection(*ajp)
                writer.close()
                return True
        await asyncio.sleep(0.05)
    return False


class NoAnswerError(Exception):
    """A request got no answer; the text says why."""


class AjpConnection(asyncio.Protocol):
    """A connection to a node's AJP front end, for one request at a time.

    `on_stray` is called for a packet that arrives while no request is pending.
    """

    def __init__(self, on_stray: Callable[[], None]) -> None:
        self.on_stray = on_stray
        self.transport: asyncio.Transport | None = None
        self.packets = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)
        self.answer: asyncio.Future[tuple[int, bytes, bool]] | None = None
        self.status, self.body = 0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Process the packets of an answer."""
        try:
            for payload in self.packets.feed(data):
                if self.answer is None or self.answer.done():
                    self.on_stray()
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
        """Fail the pending request."""
        self.fail(f"closed: {error or 'end of stream'}")

    def fail(self, reason: str) -> None:
        """Fail the pending request, if there is one, with `NoAnswerError`."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(NoAnswerError(reason))

    @property
    def usable(self) -> bool:
        """Return whether a request can be sent over this connection."""
        return self.transport is not None and not self.transport.is_closing()

    async def ask(self, data: bytes, timeout_s: float) -> tuple[int, bytes, bool]:
        """Send a request; return its answer's status and body, and whether the connection can be reused.

        Raises `NoAnswerError`.
        """
        assert self.transport is not None
        self.status, self.body = 0, b""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.answer
        except TimeoutError:
            raise NoAnswerError(f"no answer within {timeout_s:.1f} s") from None


class Callers:
    """The web servers in front of one node, as a pool of connections that are kept between requests."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: list[AjpConnection] = []

    async def ask(self, host: str, timeout_s: float, on_stray: Callable[[], None]) -> tuple[int, str]:
        """Send a request for a tenant's host; return the status and the worker that answered.

        Raises `NoAnswerError` and `NodeUnreachableError`.
        """
        connection = None
        while self.idle and (connection is None or not connection.usable):
            connection = self.idle.pop()
        if connection is None or not connection.usable:
            try:
                async with asyncio.timeout(timeout_s):
                    _, connection = await asyncio.get_running_loop().create_connection(
                        lambda: AjpConnection(on_stray), *self.address
                    )
            except (OSError, TimeoutError) as error:
                raise NodeUnreachableError(str(error)) from None
        connection.on_stray = on_stray
        try:
            status, body, reuse = await connection.ask(
                ajp13.write_forward(ajp13.ForwardedRequest(uri="/look", server_name=host)), timeout_s
            )
        except NoAnswerError:
            self.close_connection(connection)
            raise
        if reuse:
            self.idle.append(connection)
        else:
            self.close_connection(connection)
        return status, body.decode() if status == 200 else ""

    @staticmethod
    def close_connection(connection: AjpConnection) -> None:
        """Close a connection."""
        if connection.transport is not None:
            connection.transport.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            self.close_connection(connection)
        self.idle.clear()


class NamedWorker(StandIn):
    """A stand-in worker whose answers contain its name."""

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
