"""Requests between members over TCP: one sealed request and one sealed reply for each connection."""

import socket
import time
from collections.abc import Callable
from functools import reduce
from operator import or_
from typing import Any, TypeVar

from loguru import logger

from reelusher.config.checked_table import ConfigError, address_of
from reelusher.fleet.membership.codec import MessageCodec
from reelusher.fleet.membership.messages import MAX_STATE_BYTES
from reelusher.net.sockets import connect

REQUEST_TIMEOUT_S = 2.0
READ_CHUNK_BYTES = 1 << 16
LENGTH_PREFIX_BYTES = 4
T = TypeVar("T")


class MemberRequestError(Exception):
    """A request to another member failed."""


class MemberUnreachableError(MemberRequestError):
    """The member can't be reached; nothing was sent."""


class NoReplyError(MemberRequestError):
    """The connection was opened, but no valid reply arrived: the member may have acted on the request."""


class RequestChannel:
    """Sends requests to other members and answers theirs. Thread-safe."""

    def __init__(self, codec: MessageCodec, source_host: str) -> None:
        """Connections are opened from `source_host`, by which other members can tell nodes apart."""
        self._codec, self._source_host = codec, source_host
        # By type of request, called in the thread of the connection; one that returns None sends no reply.
        self.handlers: dict[type, Callable[[Any], Any]] = {}

    def request(
        self, address: str, request: Any, reply_type: type[T], timeout_s: float = REQUEST_TIMEOUT_S
    ) -> T | None:
        """Return the reply of a member; None if it can't be reached or does not reply in time."""
        try:
            return self.request_once(address, request, reply_type, timeout_s)
        except MemberRequestError as error:
            logger.debug("fleet: no reply from {}: {}", address, error)
            return None

    def request_once(
        self, address: str, request: Any, reply_type: type[T], timeout_s: float = REQUEST_TIMEOUT_S
    ) -> T:
        """Return the reply; raise `MemberUnreachableError` if nothing was sent, else `NoReplyError`.

        Opening the connection takes up to `REQUEST_TIMEOUT_S`; sending the request and receiving the reply
        then take up to `timeout_s` each.
        """
        data = self._codec.seal(request)
        try:
            sock = connect(address_of(address, "address"), REQUEST_TIMEOUT_S, (self._source_host, 0))
        except (OSError, ConfigError) as error:
            raise MemberUnreachableError(str(error)) from None
        try:
            with sock:
                sock.settimeout(timeout_s)
                sock.sendall(_with_length(data))
                reply_data = _read_message(sock, timeout_s)
        except OSError as error:
            raise NoReplyError(str(error)) from None
        reply: T | None = self._codec.open(reply_data, reply_type, MAX_STATE_BYTES)
        if reply is None:
            raise NoReplyError("the reply was rejected")
        return reply

    def serve_connection(self, sock: socket.socket) -> None:
        """Answer one request, if there is a handler for its type."""
        try:
            with sock:
                sock.settimeout(REQUEST_TIMEOUT_S)
                data = _read_message(sock, REQUEST_TIMEOUT_S)
                request = self._codec.open(data, reduce(or_, self.handlers), MAX_STATE_BYTES)
                reply = self.handlers[type(request)](request) if request is not None else None
                if reply is None:
                    return
                sock.settimeout(REQUEST_TIMEOUT_S)
                sock.sendall(_with_length(self._codec.seal(reply)))
        except OSError as error:
            logger.debug("fleet: a request was not answered: {}", error)


def _with_length(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_PREFIX_BYTES) + data


def _read_message(sock: socket.socket, timeout_s: float) -> bytes:
    """Read a message with a length prefix; raise OSError if it is not complete within the time-out."""
    until_s = time.monotonic() + timeout_s
    size = int.from_bytes(_read_exactly(sock, LENGTH_PREFIX_BYTES, until_s))
    if size > MAX_STATE_BYTES:
        raise OSError(f"message of {size} bytes is too long")
    return _read_exactly(sock, size, until_s)


def _read_exactly(sock: socket.socket, size: int, until_s: float) -> bytes:
    received = bytearray()
    while len(received) < size:
        sock.settimeout(max(0.001, until_s - time.monotonic()))
        data = sock.recv(min(READ_CHUNK_BYTES, size - len(received)))
        if not data:
            raise OSError("connection closed within a message")
        received += data
    return bytes(received)
