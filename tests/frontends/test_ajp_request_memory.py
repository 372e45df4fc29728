"""Requests over AJP that many connections send slowly: the memory that they take together."""

import socket
import tempfile
import threading
from collections.abc import Iterator
from typing import Any

import parties
import pytest
from helpers import wait_until
from scenario import scenario_environment

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.frontends.ajp.frontend import AjpFrontend
from reelusher.frontends.ajp.request_memory import RequestMemory, RequestMemoryError

CONNECTIONS = 24
PART = b"x" * 8000
MAX_BYTES = 500_000  # that the requests of all connections may take, fewer than these send


@pytest.fixture
def environment() -> Iterator[dict[str, Any]]:
    with (
        tempfile.TemporaryDirectory() as folder,
        scenario_environment(folder, {"max_body_kb": "1024"}) as running,
    ):
        ajp_frontend(running)._memory = RequestMemory(MAX_BYTES)
        yield running


def ajp_frontend(environment: dict[str, Any]) -> AjpFrontend:
    frontend = environment["node"].node.parts.frontends["ajp"]
    assert isinstance(frontend, AjpFrontend)
    return frontend


def send_half_a_body(environment: dict[str, Any]) -> socket.socket:
    """Send the head of a request, and a part of the body that it announces."""
    sock = socket.create_connection(environment["places"]["ajp"], parties.EXPECT_TIMEOUT_S)
    headers = [("content-length", "900000")]
    request = ajp13.ForwardedRequest("POST", "/days", server_name="clinic", headers=headers)
    sock.sendall(ajp13.write_forward(request) + ajp13.write_body(PART) * 10)
    return sock


def test_half_bodies_on_many_connections_take_a_limited_memory(environment: dict[str, Any]) -> None:
    """Guard against a process that is killed: only the body of each single request was limited."""
    frontend, counters = ajp_frontend(environment), environment["node"].node.parts.counters
    socks = [send_half_a_body(environment) for _ in range(CONNECTIONS)]
    too_many = CONNECTIONS - MAX_BYTES // (10 * len(PART))
    assert wait_until(lambda: counters.snapshot().get("ajp.request_memory", 0) >= too_many)
    assert frontend._memory._available_bytes >= 0
    usual = parties.Web(environment)
    usual.send(["POST", "/days", "host=clinic", "body=20000*x"])
    environment["w1"].expect(["POST", "/days", "20000*x"])
    environment["w1"].send(["200", "ok"])
    usual.expect(["200", "ok"])
    for sock in socks:
        sock.close()
    assert wait_until(lambda: frontend._memory._available_bytes == MAX_BYTES)


def test_connection_whose_request_is_given_up_is_answered(environment: dict[str, Any]) -> None:
    oldest = send_half_a_body(environment)
    assert wait_until(lambda: ajp_frontend(environment)._memory._available_bytes < MAX_BYTES)
    socks = [send_half_a_body(environment) for _ in range(CONNECTIONS)]
    decoder = ajp13.PacketDecoder(ajp13.TO_SERVER)
    replies: list[ajp13.Reply] = []
    while data := oldest.recv(1 << 16):
        replies += map(ajp13.read_reply, decoder.feed(data))
    heads = [reply for reply in replies if isinstance(reply, ajp13.ResponseHead)]
    assert [head.status for head in heads] == [503]
    for sock in [oldest, *socks]:
        sock.close()


def test_head_of_very_many_attributes_is_malformed() -> None:
    """Guard against a head whose bytes are few, and whose decoded attributes take 60 times their memory."""
    request = ajp13.ForwardedRequest(named_attributes=[("AJP_LOCAL_ADDR", "")] * (ajp13.MAX_ATTRIBUTES + 1))
    payload = ajp13.write_forward(request)[ajp13.HEADER_BYTES :]
    with pytest.raises(MalformedError, match="attributes"):
        ajp13.read_forward(payload)


def test_request_that_was_read_keeps_its_memory() -> None:
    memory, socks = RequestMemory(100), socket.socketpair()
    read, other = memory.hold(socks[0]), memory.hold(socks[1])
    read.acquire(90)
    read.end_reading()
    with pytest.raises(RequestMemoryError):
        other.acquire(20)
    assert not read.evicted
    read.release()
    other.acquire(100)


def test_request_that_is_evicted_as_its_last_part_is_read_is_given_up() -> None:
    """Guard against a request that ends unanswered: its connection looked like one that was closed."""
    memory, socks = RequestMemory(100), socket.socketpair()
    slow, other = memory.hold(socks[0]), memory.hold(socks[1])
    slow.acquire(90)
    with pytest.raises(RequestMemoryError):
        other.acquire(20)  # `slow` is evicted, and releases nothing in time
    with pytest.raises(RequestMemoryError):
        slow.end_reading()


def test_request_waits_for_the_memory_of_the_one_that_is_evicted_for_it() -> None:
    memory, socks = RequestMemory(100), socket.socketpair()
    slow, other = memory.hold(socks[0]), memory.hold(socks[1])
    slow.acquire(90)

    def release_when_evicted() -> None:
        assert wait_until(lambda: slow.evicted)
        slow.release()

    releaser = threading.Thread(target=release_when_evicted)
    releaser.start()
    other.acquire(20)
    releaser.join()
    assert socks[0].recv(1) == b""  # its thread reads the end
