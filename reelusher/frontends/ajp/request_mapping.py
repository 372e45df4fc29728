"""Translates AJP requests to requests for the core, and its answers to AJP responses."""

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.config.operator.ajp import Ajp
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, IncomingRequest, Result, Verdict
from reelusher.frontends.ajp.connection import PacketStream
from reelusher.frontends.hashing import caller_id, subject_id
from reelusher.policy.settings import Idempotency
from reelusher.tenancy.registry import Match

MAX_BODY_S = 30.0  # limit for a whole body, even if each part of it arrives in time
MAX_KEY_CHARS = 128
ERROR_RETRY_AFTER_S = 1  # the Retry-After of a 503 to a request that never reached the core
REASONS = {
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
Headers = tuple[tuple[str, str], ...]


class RequestError(Exception):
    """A request that gets an error response and never reaches the core."""

    def __init__(self, status: int, reason: str, closes: bool = False) -> None:
        """`closes` tells that the connection can't be used any more."""
        super().__init__(reason)
        self.status, self.closes = status, closes


class Response(NamedTuple):
    """A response before it is split into packets."""

    head: ajp13.ResponseHead
    body: bytes


class RequestMapper:
    """Translates AJP requests to requests for the core."""

    def __init__(self, core: Core, config: Ajp) -> None:
        self._core = core
        self._config = config
        self._run_numbers = itertools.count(1)
        self._run_prefix = f"ajp{core.clock.now():x}x"

    def class_index(self, match: Match) -> int:
        """Return the class of a request as its index in the settings.

        Raises `RequestError` if a reload has removed the class that the tenant's route names.
        """
        class_index = self._core.current_classes.index_of(match.class_name)
        if class_index is None:
            raise RequestError(503, f"the settings have no class {match.class_name} any more")
        return class_index

    def idempotency_key(self, forward: ajp13.ForwardedRequest, match: Match, class_index: int) -> str:
        """Return a request's key, or ""; raise `RequestError` if its class needs a valid one."""
        key = forward.header(match.tenant.key_header) or ""
        idempotency = self._core.settings.classes[class_index].idempotency
        if idempotency is Idempotency.IDEMPOTENCY_KEY and not 0 < len(key) <= MAX_KEY_CHARS:
            raise RequestError(
                400, f"requests of {match.class_name} need the header {match.tenant.key_header}"
            )
        return key

    def request(
        self,
        forward: ajp13.ForwardedRequest,
        match: Match,
        class_index: int,
        key: str,
        body: bytes,
        received_us: int,
        reply: Callable[[Answer], None],
    ) -> IncomingRequest:
        """Return the request for the core; `reply` is called with its answer."""
        return IncomingRequest(
            run_id=f"{self._run_prefix}{next(self._run_numbers):x}",
            class_index=class_index,
            body=body,
            received_us=received_us,
            reply=reply,
            tenant=match.tenant.name,
            tenant_number=match.number,
            caller=caller_id(forward.remote_addr),
            subject=subject_id(forward.uri),
            held_kb=match.tenant.held_kb + len(body) / 1024,
            idempotency_key=key,
            backend_data=forward,
        )

    def read_body(self, stream: PacketStream, forward: ajp13.ForwardedRequest) -> bytes:
        """Read the body of a request. Raises `RequestError`, `MalformedError` and OSError.

        If its length is known, the web server sends the first part unrequested. All others are requested.
        """
        size, max_bytes = forward.body_size(), self._config.max_body_kb * 1024
        if size is not None and size > max_bytes:
            raise RequestError(413, f"a body of {size} bytes, {max_bytes} at most", closes=True)
        body, requested, deadline_s = bytearray(), size is not None, time.monotonic() + MAX_BODY_S
        while size is None or len(body) < size:
            if not requested:
                self._request_part(stream, None if size is None else size - len(body))
            requested = False
            data = _read_part(stream)
            if not data and size is None:
                break
            if not data:
                raise MalformedError("a body shorter than its content-length")
            body += data
            if time.monotonic() > deadline_s:
                raise RequestError(408, "the body takes too long", closes=True)
            if len(body) > max_bytes:
                raise RequestError(413, f"a body of more than {max_bytes} bytes", closes=True)
        if size is not None and len(body) > size:
            raise MalformedError("a body longer than its content-length")
        return bytes(body)

    def _request_part(self, stream: PacketStream, remaining_bytes: int | None) -> None:
        max_size = self._config.packet_size - ajp13.BODY_OVERHEAD
        size = max_size if remaining_bytes is None else min(max_size, remaining_bytes)
        stream.sock.sendall(ajp13.write_reply(ajp13.BodyRequest(size)))


def _read_part(stream: PacketStream) -> bytes:
    payload = stream.next()
    if payload is None:
        raise ConnectionError("the connection was closed before the body was complete")
    return ajp13.read_body(payload)


def response_of(method: str, answer: Answer) -> Response:
    """Return the response that carries the core's answer."""
    if answer.verdict is Verdict.SERVED and answer.result is not None:
        return _served(method, answer.result)
    if answer.verdict is Verdict.REJECTED:
        retry_after_s = max(1, -(-answer.retry_after_us // 1_000_000))
        return _text_response(503, "Full", (("Retry-After", str(retry_after_s)),))
    return _text_response(500, "Failed")


def error_response(error: RequestError) -> Response:
    """Return the response to a request that never reached the core."""
    retry_after = (("Retry-After", str(ERROR_RETRY_AFTER_S)),) if error.status == 503 else ()
    return _text_response(error.status, str(error), retry_after)


def _served(method: str, result: Result) -> Response:
    headers = list(result.headers)
    names = {name.lower() for name, _ in headers}
    has_body = method != "HEAD" and result.status not in (204, 304)
    if "content-type" not in names and has_body:
        headers.append(("Content-Type", "application/octet-stream"))
    if "content-length" not in names and has_body:
        headers.append(("Content-Length", str(len(result.body))))
    head = ajp13.ResponseHead(result.status, str(result.status), tuple(headers))
    return Response(head, result.body if has_body else b"")


def _text_response(status: int, text: str, headers: Headers = ()) -> Response:
    body = f"{text}\n".encode()
    head = ajp13.ResponseHead(
        status,
        REASONS[status],
        (*headers, ("Content-Type", "text/plain"), ("Content-Length", str(len(body)))),
    )
    return Response(head, body)
