"""The end of a listener with an accepting thread, which a drain waits for."""

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from helpers import LOOPBACK, wait_until

from reelusher.core.counters import Counters
from reelusher.net.listener import MAX_STOP_S, Listener
from reelusher.net.sockets import Address

CONNECTIONS_PER_S = 200


def echo(sock: socket.socket, peer: Address) -> None:
    with sock:
        sock.sendall(sock.recv(16))


@pytest.fixture
def listener() -> Iterator[Listener]:
    listener = Listener("ajp", (LOOPBACK, 0), Counters(), echo)
    yield listener
    listener.stop()


def test_listener_stops_while_connections_keep_coming(listener: Listener) -> None:
    """Guard against a drain that accepts until the process ends: the last requests were reset unanswered."""
    listener.start()
    refused, lost = threading.Event(), []

    def connect() -> None:
        while not refused.is_set():
            try:
                sock = socket.create_connection(listener.address, 5)
            except ConnectionRefusedError:
                refused.set()
                return
            with sock:
                try:
                    sock.sendall(b"request")
                    if sock.recv(16) != b"request":
                        lost.append("no answer")
                except OSError as error:
                    lost.append(repr(error))
            time.sleep(1 / CONNECTIONS_PER_S)

    thread = threading.Thread(target=connect, daemon=True)
    thread.start()
    time.sleep(0.1)
    began_s = time.monotonic()
    listener.stop()
    assert time.monotonic() - began_s < MAX_STOP_S
    assert wait_until(refused.is_set, MAX_STOP_S)
    # one connection may complete between the last accept and the close
    assert len(lost) <= 1, lost


def test_connections_that_wait_when_the_listener_is_stopped_are_served(listener: Listener) -> None:
    """Guard against the other fault: a listener that is closed resets what waits to be accepted."""
    waiting = [socket.create_connection(listener.address, 5) for _ in range(50)]
    for sock in waiting:
        sock.sendall(b"request")
    listener.start()
    listener.stop()
    for sock in waiting:
        sock.settimeout(5)
        assert sock.recv(16) == b"request"
        sock.close()
