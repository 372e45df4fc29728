"""Requests that many callers send by halves: the memory and the time that they take on the node."""

import socket
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from core_harness import Backend
from helpers import small_node_settings, wait_until

from reelusher.codecs import msgpack
from reelusher.core.event_loop import Core
from reelusher.frontends.rpc.connection import MAX_FRAME_BYTES
from reelusher.frontends.rpc.frontend import MAX_PARTIAL_BYTES, RpcFrontend

CONNECTIONS = 60
NODE_MEMORY_BYTES = 192 << 20
NODE_CONNECTIONS = 302  # with the 384 descriptors of such a node
HEAD = b"\x94\x00\x01\xa8day-view\x92\xdc\x01\x00"  # of a request with 256 fields that are no map
HALF_REQUESTS = {
    "nested empty maps": HEAD + (b"\xdc\x01\x00" + b"\x80" * 256) * 62,
    "short fields": HEAD + (b"\xde\x01\x00" + b"\xa1a\xa0" * 256) * 20,
    "strings with a wide character": HEAD + (b"\xdc\x01\x00" + (b"\xa8xxxx\xf0\x9f\x98\x80") * 256) * 6,
    "a large body": HEAD + b"\xc5\x3f\x00" + b"x" * 16_000,
}


class Client:
    """A connection that sends what the test wants."""

    def __init__(self, frontend: RpcFrontend) -> None:
        self.sock = socket.create_connection(frontend.address, 10)
        self.decoder = msgpack.Decoder()

    def answer(self) -> Any:
        """Return the next message; None at the end of the connection."""
        while data := self.sock.recv(1 << 16):
            for message in self.decoder.feed(data):
                return message
        return None


@pytest.fixture
def start_frontend() -> Iterator[Callable[..., RpcFrontend]]:
    """Yield a function that starts a front end with some limits."""
    started: list[RpcFrontend] = []

    def start(max_partial_bytes: int = MAX_PARTIAL_BYTES) -> RpcFrontend:
        core = Core(small_node_settings(), [], 1, Backend())
        core.start()
        frontend = RpcFrontend(
            core, ("127.0.0.1", 0), "t", 4 * CONNECTIONS, 1 << 20, max_partial_bytes=max_partial_bytes
        )
        frontend.start()
        started.append(frontend)
        return frontend

    yield start
    for frontend in started:
        frontend.close()
        frontend._core.stop()


@pytest.mark.parametrize("half_request", HALF_REQUESTS.values(), ids=HALF_REQUESTS)
def test_half_requests_on_all_connections_fit_into_the_memory_of_the_node(
    start_frontend: Callable[..., RpcFrontend], half_request: bytes
) -> None:
    """Guard against a process that is killed: each byte of a half request became an object of 72 bytes."""
    frontend = start_frontend()
    clients = [Client(frontend) for _ in range(CONNECTIONS)]
    for client in clients:
        client.sock.sendall(half_request[: MAX_FRAME_BYTES - 100])
    assert wait_until(lambda: all_read(frontend))
    held_bytes = sum(map(decoded_bytes, frontend.connections()))
    assert held_bytes / CONNECTIONS * NODE_CONNECTIONS < NODE_MEMORY_BYTES / 8
    usual = Client(frontend)
    usual.sock.sendall(msgpack.pack([0, 1, "health", [{}]]))
    assert usual.answer()[1] == 1


def all_read(frontend: RpcFrontend) -> bool:
    """Return whether each client was read, or its connection ended."""
    accepted = frontend._core.counters.snapshot().get("platform.accepted")
    return accepted == CONNECTIONS and all(
        connection.ended or not connection.state.unread_bytes for connection in frontend.connections()
    )


def decoded_bytes(connection: Any) -> int:
    """Return the memory of all values that a connection has decoded of its incomplete message."""
    decoder = connection.decoder
    values = [item for container in decoder._open_containers for item in container.items]
    return len(decoder._buffer) + sum(map(size_of, values))


def size_of(value: Any) -> int:
    """Return the memory of a value with all values in it, each with its place in a container."""
    items = value if isinstance(value, list) else [*value, *value.values()] if isinstance(value, dict) else []
    return sys.getsizeof(value) + 8 + sum(map(size_of, items))


def test_a_message_of_too_many_values_ends_its_connection_at_once(
    start_frontend: Callable[..., RpcFrontend],
) -> None:
    """Guard against clients that keep the processor busy: 16,000 values in one message took 30 ms."""
    frontend = start_frontend()
    client, values = Client(frontend), (b"\xdc\x01\x00" + b"\x80" * 256) * 62 + b"\x80" * 194 + b"\x80"
    client.sock.sendall(HEAD + values)
    assert client.answer() is None
    assert frontend._core.counters.snapshot().get("platform.malformed") == 1


def test_half_requests_beyond_their_memory_end_the_connections_that_have_sent_them_for_longest(
    start_frontend: Callable[..., RpcFrontend],
) -> None:
    """Guard against memory that grows with the connections, and against a caller that pays for others."""
    frontend = start_frontend(max_partial_bytes=200_000)
    half_request = HALF_REQUESTS["a large body"][:8000]
    clients = []
    for _ in range(CONNECTIONS):
        clients.append(Client(frontend))
        clients[-1].sock.sendall(half_request)
        assert wait_until(lambda: begun(frontend) == len(clients))
    assert frontend._partial_messages.total_bytes <= 200_000
    assert clients[0].answer() is None
    request = msgpack.pack([0, 1, "health", [{"a": "b"}]])
    usual = Client(frontend)
    usual.sock.sendall(request[:8])
    time.sleep(0.05)
    usual.sock.sendall(request[8:])
    assert usual.answer()[1] == 1


def begun(frontend: RpcFrontend) -> int:
    """Return how many half requests were read, those included that were dropped."""
    dropped = frontend._core.counters.snapshot().get("platform.partial_memory", 0)
    return dropped + sum(bool(connection.partial_since_s) for connection in frontend.connections())
