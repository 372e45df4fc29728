"""Sends one request over a connection to an AJP worker and reads the response."""

import re
from typing import NamedTuple

from reelusher.backends.ajp.connection import WorkerConnection
from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.core.messages import IncomingRequest, Result

HOP_BY_HOP = frozenset({"connection", "keep-alive", "transfer-encoding", "upgrade", "proxy-connection", "te"})
SESSION_ROUTE_PATTERN = re.compile(r"JSESSIONID=[^;,\s]*?\.([^;,\s]+)", re.IGNORECASE)
MAX_BODY_CHUNK_BYTES = ajp13.DEFAULT_PACKET_BYTES - ajp13.BODY_OVERHEAD


class Response(NamedTuple):
    """A response, and whether the worker keeps the connection open for another request."""

    result: Result
    reuse: bool


def exchange(
    connection: WorkerConnection,
    secret: str,
    forward: ajp13.ForwardedRequest,
    body: bytes,
    max_response_bytes: int,
) -> Response:
    """Send a request and read its response.

    A secret is added to the attributes of `forward`. Raises OSError if the connection fails, `MalformedError`
    for an invalid packet, ValueError for a response of more than `max_response_bytes` or for a request whose
    headers are too long for a packet, of which nothing is sent.
    """
    if secret:
        forward.attributes["secret"] = secret
    sent_bytes = min(len(body), MAX_BODY_CHUNK_BYTES)
    first_chunk = ajp13.write_body(body[:sent_bytes]) if body else b""
    connection.sock.sendall(ajp13.write_forward(forward) + first_chunk)
    head: ajp13.ResponseHead | None = None
    response_body = bytearray()
    while True:
        match connection.next_reply():
            case ajp13.BodyRequest(size):
                chunk = body[sent_bytes : sent_bytes + min(size, MAX_BODY_CHUNK_BYTES)]
                sent_bytes += len(chunk)
                connection.sock.sendall(ajp13.write_body(chunk))
            case ajp13.ResponseHead() as response_head if response_head.status >= 200:
                head = response_head
            case ajp13.ResponseBody(data):
                response_body += data
                if len(response_body) > max_response_bytes:
                    raise ValueError(f"a response of more than {max_response_bytes} bytes")
            case ajp13.ResponseEnd(reuse):
                return Response(_result_of(head, bytes(response_body)), reuse)
            case _:
                pass


def _result_of(head: ajp13.ResponseHead | None, body: bytes) -> Result:
    if head is None:
        raise MalformedError("the response ended without its headers")
    headers = tuple((name, value) for name, value in head.headers if name.lower() not in HOP_BY_HOP)
    return Result(body, head.status, headers)


def forwarded_request(request: IncomingRequest, class_name: str) -> ajp13.ForwardedRequest:
    """Return the request to forward: as received, without hop-by-hop headers and the front end's secret.

    Its content-length is that of the received body, also if the web server announced none. A request that did
    not arrive over AJP is forwarded as a POST to a path named after its class.
    """
    original = request.backend_data
    if not isinstance(original, ajp13.ForwardedRequest):
        headers = [("content-type", "application/octet-stream")]
        original = ajp13.ForwardedRequest("POST", f"/{class_name}", headers=headers)
    headers = [
        (name, value)
        for name, value in original.headers
        if name not in HOP_BY_HOP and name != "content-length"
    ]
    if request.body or original.header("content-length") is not None:
        headers.append(("content-length", str(len(request.body))))
    attributes = {name: value for name, value in original.attributes.items() if name != "secret"}
    return ajp13.ForwardedRequest(
        original.method,
        original.uri,
        original.protocol,
        original.remote_addr,
        original.remote_host,
        original.server_name,
        original.server_port,
        original.is_ssl,
        headers,
        attributes,
        list(original.named_attributes),
        original.ssl_key_size,
    )


def session_route(forward: ajp13.ForwardedRequest) -> str:
    """Return the route in the JSESSIONID of the URI or of a cookie; empty if there is none."""
    for text in (forward.uri, *(value for name, value in forward.headers if name == "cookie")):
        match = SESSION_ROUTE_PATTERN.search(text)
        if match:
            return match.group(1)
    return ""
