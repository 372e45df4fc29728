"""Web servers that close a connection on which a request is open."""

import socket
import struct
import tempfile
import threading
from collections.abc import Iterator
from concurrent.futures import Future
from typing import Any

import parties
import pytest
from helpers import wait_until
from scenario import scenario_environment

from reelusher.codecs import ajp13
from reelusher.core.messages import EventLoopTask
from reelusher.frontends.ajp.disconnect_watcher import DisconnectWatcher


@pytest.fixture
def environment() -> Iterator[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder, scenario_environment(folder, {}) as running:
        yield running


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
def test_held_request_of_a_web_server_that_has_gone_is_not_run(
    environment: dict[str, Any], resets: bool
) -> None:
    """Guard against runs for nobody: the connection was not looked at between a request and its answer."""
    node, hold = environment["node"].node, threading.Event()
    node.parts.core.post(EventLoopTask(lambda: hold.wait(parties.EXPECT_TIMEOUT_S), Future()))
    web_server = socket.create_connection(environment["places"]["ajp"], parties.EXPECT_TIMEOUT_S)
    web_server.sendall(ajp13.write_forward(ajp13.ForwardedRequest("GET", "/days", server_name="clinic")))
    assert wait_until(lambda: node.parts.frontends["ajp"]._disconnects._watched)
    if resets:
        web_server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    web_server.close()
    counters = node.parts.counters
    assert wait_until(lambda: counters.snapshot().get("ajp.closed_unanswered") == 1)
    hold.set()
    assert wait_until(lambda: counters.snapshot().get("answers.undeliverable") == 1)
    environment["w1"].expect(["nothing"])
    environment["w2"].expect(["nothing"])


def test_event_of_an_earlier_connection_with_the_same_descriptor_is_ignored() -> None:
    """Guard against a caller that is cut off for another one's end: descriptors are given again."""
    watcher, near_and_far = DisconnectWatcher(), socket.socketpair()
    closed: list[bool] = []
    watcher.watch(near_and_far[0], lambda: closed.append(True))
    watcher._on_event(near_and_far[0].fileno())  # what an earlier connection had caused
    assert not closed
    near_and_far[1].close()
    watcher._on_event(near_and_far[0].fileno())
    assert closed
    watcher.unwatch(near_and_far[0])
    watcher._on_event(near_and_far[0].fileno())
    assert len(closed) == 1
