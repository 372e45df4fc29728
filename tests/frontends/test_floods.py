"""Clients that send at full speed: how much of the poller's time one connection gets in a row."""

import time
from typing import Any

import pytest
from helpers import wait_until
from test_crossings import Peer, caller_frontend, on_poller, only_connection
from test_crossings import environment as environment

from reelusher.codecs import msgpack
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.frontends.rpc import frontend as rpc_frontend
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.frontends.rpc.idle_limits import IdleLimits

UNSOUND_REQUEST = msgpack.pack([0, 1, "day-view", [[{}] * 240, {}]])
MAX_REQUESTS = 4096 // len(UNSOUND_REQUEST) + 1  # that one connection may have handled in a row
UNREAD_BYTES = 32_000


@pytest.fixture
def handled(environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """Return the list of the messages that a front end has handled."""
    messages: list[Any] = []
    on_message = RpcFrontend._on_message

    def record(frontend: RpcFrontend, connection: Any, message: Any) -> None:
        messages.append(message)
        on_message(frontend, connection, message)

    monkeypatch.setattr(RpcFrontend, "_on_message", record)
    return messages


@pytest.mark.parametrize("step", ["a turn", "the end"])
def test_flood_of_unsound_requests_gets_a_short_time_in_a_row(
    environment: dict[str, Any], handled: list[Any], monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    """Guard against late answers to others: 128 KB of one connection were decoded in a row, for 0.3 s."""
    monkeypatch.setattr(rpc_frontend, "MAX_LAST_READ_S", 0.0, raising=False)
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node)
    connection = only_connection(frontend)

    def read_flood() -> None:
        peer.sock.sendall(UNSOUND_REQUEST * (2 * UNREAD_BYTES // len(UNSOUND_REQUEST)))
        assert wait_until(lambda: unread_bytes(connection.sock) >= UNREAD_BYTES)
        connection.rejecting_since_s = time.monotonic() - 10
        if step == "a turn":
            frontend._read(connection)
        else:
            frontend._check(connection, time.monotonic(), IdleLimits(5.0, 5.0, 5.0))
        counts.append(len(handled))

    counts: list[int] = []
    on_poller(frontend, read_flood)
    assert 0 < counts[0] <= MAX_REQUESTS
