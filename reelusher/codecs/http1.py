"""The part of HTTP/1.1 that the service registry, the administration API and the operations endpoint use.

The size of a body is given by Content-Length; transfer codings are not supported.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from reelusher.codecs.errors import MalformedError

MAX_HEAD_BYTES = 1 << 14  # size limit of the start line and all headers together
MAX_BODY_BYTES = 1 << 20
MAX_HEADERS = 100
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}


class MalformedHttpError(MalformedError):
    """The bytes are not HTTP/1.1, or exceed a limit; `status` is the status that a server replies with."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: tuple[str, str, str]  # method, target and version; or version, status and reason
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def keep_alive(self) -> bool:
        """Return whether the connection may carry another message after this one."""
        return self.headers.get("connection", "").lower() != "close" and "HTTP/1.0" not in self.start


class Decoder:
    """Splits a stream into messages."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._buffer = bytearray()
        self._max_body_bytes = max_body_bytes
        self._head: Message | None = None
        self._size = 0

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and yield the messages that are complete. Raises `MalformedHttpError`."""
        self._buffer += data
        while True:
            if self._head is None and not self._read_head():
                return
            assert self._head is not None
            if len(self._buffer) < self._size:
                return
            message, self._head = self._head, None
            message.body = bytes(self._buffer[: self._size])
            del self._buffer[: self._size]
            yield message

    def _read_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if max(end, len(self._buffer) if end < 0 else 0) > MAX_HEAD_BYTES:
            raise MalformedHttpError(f"a head of more than {MAX_HEAD_BYTES} bytes", 431)
        if end < 0:
            return False
        lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        start = lines[0].split(" ", 2)
        if len(start) < 2 or not (start[0].startswith("HTTP/1.") or start[-1].startswith("HTTP/1.")):
            raise MalformedHttpError("a start line that is not HTTP/1")
        self._head = Message((start[0], start[1], start[2] if len(start) > 2 else ""), _headers(lines[1:]))
        self._size = self._read_body_size(self._head)
        return True

    def _read_body_size(self, message: Message) -> int:
        if "transfer-encoding" in message.headers:
            raise MalformedHttpError("transfer codings are not supported", 501)
        text = message.headers.get("content-length", "0")
        if not (text.isascii() and text.isdigit()):
            raise MalformedHttpError("a content-length that is no number")
        if len(text) > 12 or int(text) > self._max_body_bytes:
            raise MalformedHttpError(f"a body of more than {self._max_body_bytes} bytes", 413)
        return int(text)


def _headers(lines: list[str]) -> dict[str, str]:
    if len(lines) > MAX_HEADERS:
        raise MalformedHttpError(f"more than {MAX_HEADERS} headers", 431)
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise MalformedHttpError("a header line without a name")
        if name.lower() == "content-length" and name.lower() in headers:
            raise MalformedHttpError("two content-lengths")
        headers[name.lower()] = value.strip()
    return headers


def request(method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode a request."""
    return _encode(f"{method} {path} HTTP/1.1", {**(headers or {}), "Content-Length": str(len(body))}, body)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode a response."""
    line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return _encode(line, {**(headers or {}), "Content-Length": str(len(body))}, body)


def _encode(line: str, headers: dict[str, str], body: bytes) -> bytes:
    head = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body
