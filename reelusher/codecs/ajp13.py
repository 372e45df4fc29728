"""AJP13, the protocol between Apache's modules and Tomcat: packets, forwarded requests and responses.

Packets from a web server start with 0x1234, those from a container with "AB".
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from reelusher.codecs.errors import CodecError, MalformedError

TO_CONTAINER, TO_SERVER = b"\x12\x34", b"AB"
FORWARD, SHUTDOWN, PING, CPING = 2, 7, 8, 10  # packet types sent to the container
BODY_CHUNK, HEADERS, END, GET_BODY, CPONG = 3, 4, 5, 6, 9  # packet types sent to the web server
DEFAULT_PACKET_BYTES, MAX_PACKET_BYTES = 8192, 65536
HEADER_BYTES = 4  # the header of a packet: magic and payload length
BODY_OVERHEAD = 6  # bytes that a packet adds to a part of a request's body: header, part length
CHUNK_OVERHEAD = 8  # bytes that a packet adds to a part of a response's body: header, type, part length, zero
MAX_HEADERS = 128
MAX_ATTRIBUTES = 128
ENTRY_BYTES = 256  # memory of a decoded header or attribute beside its text
NULL = 0xFFFF  # the length that stands for a null string

METHODS = dict(
    enumerate(
        [
            "OPTIONS",
            "GET",
            "HEAD",
            "POST",
            "PUT",
            "DELETE",
            "TRACE",
            "PROPFIND",
            "PROPPATCH",
            "MKCOL",
            "COPY",
            "MOVE",
            "LOCK",
            "UNLOCK",
            "ACL",
            "REPORT",
            "VERSION-CONTROL",
            "CHECKIN",
            "CHECKOUT",
            "UNCHECKOUT",
            "SEARCH",
            "MKWORKSPACE",
            "UPDATE",
            "LABEL",
            "MERGE",
            "BASELINE-CONTROL",
            "MKACTIVITY",
        ],
        1,
    )
)
METHOD_CODES = {name: code for code, name in METHODS.items()}
STORED_METHOD = 0xFF  # method code: the attribute `stored_method` has the method's name
REQUEST_HEADERS = dict(
    enumerate(
        [
            "accept",
            "accept-charset",
            "accept-encoding",
            "accept-language",
            "authorization",
            "connection",
            "content-type",
            "content-length",
            "cookie",
            "cookie2",
            "host",
            "pragma",
            "referer",
            "user-agent",
        ],
        0xA001,
    )
)
RESPONSE_HEADERS = dict(
    enumerate(
        [
            "Content-Type",
            "Content-Language",
            "Content-Length",
            "Date",
            "Last-Modified",
            "Location",
            "Set-Cookie",
            "Set-Cookie2",
            "Servlet-Engine",
            "Status",
            "WWW-Authenticate",
        ],
        0xA001,
    )
)
REQUEST_CODES = {name: code for code, name in REQUEST_HEADERS.items()}
RESPONSE_CODES = {name.lower(): code for code, name in RESPONSE_HEADERS.items()}
ATTRIBUTES = {
    0x03: "remote_user",
    0x04: "auth_type",
    0x05: "query_string",
    0x06: "route",
    0x07: "ssl_cert",
    0x08: "ssl_cipher",
    0x09: "ssl_session",
    0x0C: "secret",
    0x0D: "stored_method",
}
ATTRIBUTE_CODES = {name: code for code, name in ATTRIBUTES.items()}
NAMED_ATTRIBUTE, KEY_SIZE, LAST_ATTRIBUTE = 0x0A, 0x0B, 0xFF
FORBIDDEN_ATTRIBUTES = {
    0x01: "context",
    0x02: "servlet_path",
}  # the protocol defines them, but no module of Apache sends them
DEFAULT_ALLOWED_ATTRIBUTES = frozenset(
    {"AJP_REMOTE_PORT", "AJP_LOCAL_ADDR", "AJP_SSL_PROTOCOL", "JK_LB_ACTIVATION"}
)


class ForbiddenAttributeError(CodecError):
    """A well-formed request is rejected for an attribute that no web server sends."""


@dataclass(slots=True)
class ForwardedRequest:
    """A request that a web server forwards. Header names are in lower case."""

    method: str = "GET"
    uri: str = "/"
    protocol: str = "HTTP/1.1"
    remote_addr: str = "127.0.0.1"
    remote_host: str | None = None
    server_name: str = "localhost"
    server_port: int = 80
    is_ssl: bool = False
    headers: list[tuple[str, str]] = field(default_factory=list)
    attributes: dict[str, str] = field(default_factory=dict)
    named_attributes: list[tuple[str, str]] = field(default_factory=list)  # attributes without a code
    ssl_key_size: int | None = None

    def memory_bytes(self) -> int:
        """Return the memory that the decoded headers and attributes take beside their text."""
        return ENTRY_BYTES * (len(self.headers) + len(self.attributes) + len(self.named_attributes))

    def header(self, name: str) -> str | None:
        """Return the first header of this name, given in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def body_size(self) -> int | None:
        """Return the size of the body in bytes; None if it is unknown, so that all of it has to be requested.

        Raises `MalformedError`.
        """
        text = self.header("content-length")
        if text is None:
            return None if "chunked" in (self.header("transfer-encoding") or "").lower() else 0
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise MalformedError("a content-length that is no number")
        return int(text)


class PacketDecoder:
    """Splits a stream into packets that start with `magic`."""

    def __init__(self, magic: bytes, max_packet_bytes: int = DEFAULT_PACKET_BYTES) -> None:
        self._magic = magic
        self._max_payload_bytes = max_packet_bytes - HEADER_BYTES
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield the payloads of complete packets. Raises `MalformedError`."""
        self._buffer += data
        while len(self._buffer) >= 4:
            if self._buffer[:2] != self._magic:
                raise MalformedError("a packet without the magic bytes of AJP13")
            size = self._buffer[2] << 8 | self._buffer[3]
            if size > self._max_payload_bytes:
                raise MalformedError(f"a packet of {size} bytes, {self._max_payload_bytes} at most")
            if len(self._buffer) < 4 + size:
                return
            payload = bytes(self._buffer[4 : 4 + size])
            del self._buffer[: 4 + size]
            yield payload


class Reader:
    """Reads values from a payload. Each method raises `MalformedError` if the payload ends too soon."""

    def __init__(self, payload: bytes) -> None:
        self._data = payload
        self._position = 0

    def take_bytes(self, size: int) -> bytes:
        """Read `size` bytes."""
        end = self._position + size
        if end > len(self._data):
            raise MalformedError("a packet whose payload ends too soon")
        data = self._data[self._position : end]
        self._position = end
        return data

    def byte(self) -> int:
        """Read a byte."""
        return self.take_bytes(1)[0]

    def uint16(self) -> int:
        """Read an unsigned integer of two bytes."""
        data = self.take_bytes(2)
        return data[0] << 8 | data[1]

    def nullable_text(self) -> str | None:
        """Read a string that may be null."""
        size = self.uint16()
        return None if size == NULL else self._text(size)

    def text(self) -> str:
        """Read a string; null counts as empty."""
        return self.nullable_text() or ""

    def header(self, codes: dict[int, str]) -> str:
        """Read a header's name: a string, or a code of two bytes that `codes` translates."""
        size = self.uint16()
        if size & 0xFF00 != 0xA000:
            return self._text(size)
        if size not in codes:
            raise MalformedError(f"an unknown header code {size:#06x}")
        return codes[size]

    def _text(self, size: int) -> str:
        data = self.take_bytes(size + 1)
        if data[-1]:
            raise MalformedError("a string without its terminating zero")
        return data[:-1].decode("latin-1")


def packet(magic: bytes, payload: bytes) -> bytes:
    """Encode a packet with this payload. Raises ValueError if it is too long."""
    if len(payload) > MAX_PACKET_BYTES - HEADER_BYTES:
        raise ValueError("too long for an AJP13 packet")
    return magic + struct.pack(">H", len(payload)) + payload


def _string(text: str | None) -> bytes:
    if text is None:
        return b"\xff\xff"
    data = text.encode("latin-1", "replace")
    if len(data) >= 0xA000:
        raise ValueError("too long for an AJP13 string")
    return struct.pack(">H", len(data)) + data + b"\0"


def _header(name: str, value: str, codes: dict[str, int]) -> bytes:
    code = codes.get(name.lower())
    return (_string(name) if code is None else struct.pack(">H", code)) + _string(value)


def read_forward(payload: bytes, allowed: frozenset[str] = DEFAULT_ALLOWED_ATTRIBUTES) -> ForwardedRequest:
    """Decode the payload of a forwarded request, including its type byte.

    Raises `MalformedError`, and `ForbiddenAttributeError` for an attribute that no web server sends: a named
    one that is not in `allowed`, or one of `FORBIDDEN_ATTRIBUTES`.
    """
    reader = Reader(payload)
    if reader.byte() != FORWARD:
        raise MalformedError("not a forwarded request")
    code = reader.byte()
    request = ForwardedRequest(
        METHODS.get(code, ""),
        protocol=reader.text(),
        uri=reader.text(),
        remote_addr=reader.text(),
        remote_host=reader.nullable_text(),
        server_name=reader.text(),
        server_port=reader.uint16(),
        is_ssl=bool(reader.byte()),
    )
    count = reader.uint16()
    if count > MAX_HEADERS:
        raise MalformedError(f"{count} headers, {MAX_HEADERS} at most")
    request.headers = [(reader.header(REQUEST_HEADERS).lower(), reader.text()) for _ in range(count)]
    if sum(name == "content-length" for name, _ in request.headers) > 1:
        raise MalformedError("two content-lengths")
    forbidden = _read_attributes(reader, request, allowed)
    if code == STORED_METHOD:
        request.method = request.attributes.get("stored_method", "")
    if not request.method:
        raise MalformedError(f"an unknown method {code}")
    if forbidden:
        raise ForbiddenAttributeError(f"the attribute {forbidden} is not one that web servers send")
    return request


def _read_attributes(reader: Reader, request: ForwardedRequest, allowed: frozenset[str]) -> str:
    """Read the attributes; return the name of the first forbidden one, or an empty string."""
    forbidden, count = "", 0
    while (code := reader.byte()) != LAST_ATTRIBUTE:
        count += 1
        if count > MAX_ATTRIBUTES:
            raise MalformedError(f"more than {MAX_ATTRIBUTES} attributes")
        if code in ATTRIBUTES:
            request.attributes[ATTRIBUTES[code]] = reader.text()
        elif code == KEY_SIZE:
            request.ssl_key_size = reader.uint16()
        elif code == NAMED_ATTRIBUTE:
            name, value = reader.text(), reader.text()
            request.named_attributes.append((name, value))
            forbidden = forbidden or ("" if name in allowed else name)
        elif code in FORBIDDEN_ATTRIBUTES:
            reader.text()
            forbidden = forbidden or FORBIDDEN_ATTRIBUTES[code]
        else:
            raise MalformedError(f"an unknown attribute {code:#04x}")
    return forbidden


def write_forward(request: ForwardedRequest) -> bytes:
    """Encode a forwarded request as a packet. Raises ValueError if it or one of its strings is too long."""
    code = METHOD_CODES.get(request.method, STORED_METHOD)
    attributes = dict(request.attributes)
    if code == STORED_METHOD:
        attributes["stored_method"] = request.method
    out = bytearray([FORWARD, code])
    for text in (
        request.protocol,
        request.uri,
        request.remote_addr,
        request.remote_host,
        request.server_name,
    ):
        out += _string(text)
    out += struct.pack(">HBH", request.server_port, request.is_ssl, len(request.headers))
    for name, value in request.headers:
        out += _header(name, value, REQUEST_CODES)
    for name, value in attributes.items():
        out.append(ATTRIBUTE_CODES[name])
        out += _string(value)
    for name, value in request.named_attributes:
        out += bytes([NAMED_ATTRIBUTE]) + _string(name) + _string(value)
    if request.ssl_key_size is not None:
        out += struct.pack(">BH", KEY_SIZE, request.ssl_key_size)
    out.append(LAST_ATTRIBUTE)
    return packet(TO_CONTAINER, bytes(out))


def read_body(payload: bytes) -> bytes:
    """Decode a part of a request's body; an empty part ends the body. Raises `MalformedError`."""
    if not payload:
        return b""
    reader = Reader(payload)
    return reader.take_bytes(reader.uint16())


def write_body(data: bytes) -> bytes:
    """Encode a part of a request's body as a packet; an empty part ends the body."""
    return packet(TO_CONTAINER, struct.pack(">H", len(data)) + data if data else b"")


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The status and headers of a response."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class ResponseBody:
    """A part of a response's body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ResponseEnd:
    """The end of a response; `reuse` says whether the connection may carry another request."""

    reuse: bool


@dataclass(slots=True, frozen=True)
class BodyRequest:
    """A request by the container for up to `size` further bytes of a request's body."""

    size: int


@dataclass(slots=True, frozen=True)
class Pong:
    """The reply to a CPing."""


Reply = ResponseHead | ResponseBody | ResponseEnd | BodyRequest | Pong


def read_reply(payload: bytes) -> Reply:
    """Decode the payload of a packet from a container. Raises `MalformedError`."""
    reader = Reader(payload)
    packet_type = reader.byte()
    if packet_type == HEADERS:
        status, reason, count = reader.uint16(), reader.text(), reader.uint16()
        if count > MAX_HEADERS:
            raise MalformedError(f"{count} headers, {MAX_HEADERS} at most")
        headers = tuple((reader.header(RESPONSE_HEADERS), reader.text()) for _ in range(count))
        return ResponseHead(status, reason, headers)
    if packet_type == BODY_CHUNK:
        return ResponseBody(reader.take_bytes(reader.uint16()))
    if packet_type == END:
        return ResponseEnd(bool(reader.byte()))
    if packet_type == GET_BODY:
        return BodyRequest(reader.uint16())
    if packet_type == CPONG:
        return Pong()
    raise MalformedError(f"an unknown packet type {packet_type}")


def write_reply(reply: Reply) -> bytes:
    """Encode a packet from a container."""
    match reply:
        case ResponseHead(status, reason, headers):
            out = struct.pack(">BH", HEADERS, status) + _string(reason) + struct.pack(">H", len(headers))
            out += b"".join(_header(name, value, RESPONSE_CODES) for name, value in headers)
        case ResponseBody(data):
            out = struct.pack(">BH", BODY_CHUNK, len(data)) + data + b"\0"
        case ResponseEnd(reuse):
            out = bytes([END, reuse])
        case BodyRequest(size):
            out = struct.pack(">BH", GET_BODY, size)
        case Pong():
            out = bytes([CPONG])
    return packet(TO_SERVER, out)


def write_response(
    head: ResponseHead, body: bytes, reuse: bool, max_packet_bytes: int = DEFAULT_PACKET_BYTES
) -> bytes:
    """Encode a complete response: the head, the body in parts that fit into packets, and the end."""
    size = max_packet_bytes - CHUNK_OVERHEAD
    parts = [ResponseBody(body[at : at + size]) for at in range(0, len(body), size)]
    replies: list[Reply] = [head, *parts, ResponseEnd(reuse)]
    return b"".join(map(write_reply, replies))
