"""HTTP/1.1, as much as the catalog and the administration API need: messages with counted bodies."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from reelusher.codecs.errors import MalformedError

MOST_HEAD = 1 << 14
MOST_BODY = 1 << 20
MOST_HEADERS = 100
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
    """The bytes are not HTTP/1.1, or pass a limit; `status` says what a server answers to that."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def keeps_open(self) -> bool:
        """Tell whether the connection may carry another message after this one."""
        return self.headers.get("connection", "").lower() != "close" and "HTTP/1.0" not in self.start


class Decoder:
    """Splits a stream into messages."""

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self._buffer = bytearray()
        self._most_body = most_body
        self._head: Message | None = None
        self._size = 0

    def feed(self, data: bytes) -> Iterator[Message]:
        """Take more bytes and yield the messages that are whole by now."""
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
        if max(end, len(self._buffer) if end < 0 else 0) > MOST_HEAD:
            raise MalformedHttpError(f"a head of more than {MOST_HEAD} bytes", 431)
        if end < 0:
            return False
        lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        start = lines[0].split(" ", 2)
        if len(start) < 2 or not (start[0].startswith("HTTP/1.") or start[-1].startswith("HTTP/1.")):
            raise MalformedHttpError("a start line that is not HTTP/1")
        self._head = Message((start[0], start[1], start[2] if len(start) > 2 else ""), _headers(lines[1:]))
        self._size = self._length(self._head)
        return True

    def _length(self, message: Message) -> int:
        if "transfer-encoding" in message.headers:
            raise MalformedHttpError("transfer codings are not supported", 501)
        text = message.headers.get("content-length", "0")
        if not (text.isascii() and text.isdigit()):
            raise MalformedHttpError("a content-length that is no number")
        if len(text) > 12 or int(text) > self._most_body:
            raise MalformedHttpError(f"a body of more than {self._most_body} bytes", 413)
        return int(text)


def _headers(lines: list[str]) -> dict[str, str]:
    if len(lines) > MOST_HEADERS:
        raise MalformedHttpError(f"more than {MOST_HEADERS} headers", 431)
    found: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise MalformedHttpError("a header line without a name")
        if name.lower() == "content-length" and name.lower() in found:
            raise MalformedHttpError("two content-lengths")
        found[name.lower()] = value.strip()
    return found


def request(method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Write a request."""
    return _write(f"{method} {path} HTTP/1.1", {**(headers or {}), "Content-Length": str(len(body))}, body)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Write a response."""
    line = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
    return _write(line, {**(headers or {}), "Content-Length": str(len(body))}, body)


def _write(line: str, headers: dict[str, str], body: bytes) -> bytes:
    head = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body
