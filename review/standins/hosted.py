"""Stand-ins around a hosted node: a client of the administration API, an AJP worker, a web server."""

import http.client
import json
import socket
import threading
from dataclasses import dataclass, field
from typing import Any

from reelusher.codecs import ajp13
from standins.case import LOOPBACK, CouldNotRunError, Record

TOKEN = "a-token-for-a-review-0001"


@dataclass
class AdminReply:
    """The reply to a call; status 0 where nobody answers."""

    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


class AdminClient:
    """Calls the administration API of one node."""

    def __init__(self, name: str, address: tuple[str, int], record: Record) -> None:
        self._name, self._address, self._record = name, address, record

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        quiet: bool = False,
    ) -> AdminReply:
        """Make a call. `quiet`: leave it out of the record."""
        connection = http.client.HTTPConnection(*self._address, timeout=10)
        sent = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        data = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, data, sent)
            response = connection.getresponse()
            content = response.read()
            reply = AdminReply(
                response.status, json.loads(content) if content.strip() else None, dict(response.getheaders())
            )
        except (OSError, http.client.HTTPException) as error:
            reply = AdminReply(0, repr(error))
        finally:
            connection.close()
        if not quiet:
            self._record(
                f"operator at {self._name}: {method} {path} answered {reply.status} {str(reply.body)[:300]}"
            )
        return reply


class Worker:
    """An AJP worker: answers CPing, and each request with 200 and a body of its own."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.requests: list[tuple[str, str, str, bytes]] = []  # method, URI, key and body of each request
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        decoder = ajp13.PacketDecoder(ajp13.TO_CONTAINER, ajp13.MAX_PACKET_BYTES)
        request, body = None, b""
        try:
            while data := sock.recv(1 << 16):
                for payload in decoder.feed(data):
                    if request is None and payload == bytes([ajp13.CPING]):
                        sock.sendall(ajp13.write_reply(ajp13.Pong()))
                        continue
                    if request is None:
                        request, body = ajp13.read_forward(payload), b""
                    else:
                        body += ajp13.read_body(payload)
                    if len(body) < (request.body_size() or 0):
                        if body:
                            sock.sendall(ajp13.write_reply(ajp13.BodyRequest(8186)))
                        continue
                    self._answer(sock, request, body)
                    request = None
        except OSError:
            pass
        sock.close()

    def _answer(self, sock: socket.socket, request: ajp13.ForwardedRequest, body: bytes) -> None:
        key = request.header("x-request-key") or "-"
        self.requests.append((request.method, request.uri, key, body))
        self._record(f"worker: runs {request.method} {request.uri}, key {key}, body {body!r}")
        result = f"run {len(self.requests)}".encode()
        headers = (("Content-Type", "text/plain"), ("Content-Length", str(len(result))))
        sock.sendall(ajp13.write_response(ajp13.ResponseHead(200, "OK", headers), result, True))


def forward(
    address: tuple[str, int],
    record: Record,
    method: str,
    uri: str,
    host: str,
    key: str = "",
    body: bytes = b"",
) -> tuple[int, bytes]:
    """Forward one request as a web server does, on a new connection; return the status and the body."""
    request = ajp13.ForwardedRequest(method, uri, server_name=host)
    if key:
        request.headers.append(("x-request-key", key))
    if body:
        request.headers.append(("content-length", str(len(body))))
    record(f"web server: forwards {method} {uri} of {host}, key {key or '-'}")
    with socket.create_connection(address, 5) as sock:
        sock.settimeout(20)
        sock.sendall(ajp13.write_forward(request) + (ajp13.write_body(body) if body else b""))
        decoder = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)
        status, answer = 0, b""
        while data := sock.recv(1 << 16):
            for payload in decoder.feed(data):
                match ajp13.read_reply(payload):
                    case ajp13.ResponseHead() as head:
                        status = head.status
                    case ajp13.ResponseBody(part):
                        answer += part
                    case ajp13.ResponseEnd():
                        record(f"web server: answered {status} {answer[:60]!r}")
                        return status, answer
    raise CouldNotRunError("the web server got no whole answer")
