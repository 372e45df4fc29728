"""The shutdown of many connections by the schedule of a drain, polled by the test."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from functools import partial

import pytest

from reelusher.core.counters import Counters
from reelusher.core.messages import IncomingRequest
from reelusher.drain.connection_shutdown import ConnectionShutdown, unread_bytes
from reelusher.drain.schedule import ConnectionPhase, DrainSchedule
from reelusher.frontends.rpc import connection as connection_module
from reelusher.frontends.rpc.connection import Connection
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import ByteBudget

CONNECTIONS = 50
OPEN_REQUEST = IncomingRequest("run", 0, b"body", 0, lambda answer: None)
READ_S = 10.0  # time that sockets get, however slow the machine: the drain's own timer is due after 20 ms


class ManyConnections:
    """A front end that holds `CONNECTIONS` open connections, and reads them without interpreting the data."""

    def __init__(self, poller: Poller) -> None:
        self.peers: list[socket.socket] = []
        self.open: list[Connection] = []
        for _ in range(CONNECTIONS):
            near, far = socket.socketpair()
            connection = Connection(near, ByteBudget(1 << 20))
            poller.watch(near, partial(self.read_pending, connection))
            self.peers.append(far)
            self.open.append(connection)

    def stop_listening(self) -> None:
        pass

    def connections(self) -> list[Connection]:
        return list(self.open)

    def reject_requests(self) -> None:
        pass

    def read_pending(self, connection: Connection) -> None:
        connection.sock.recv(1 << 16)

    def fail_open_requests(self, connection: Connection) -> None:
        connection.open_requests.clear()


@pytest.fixture
def poller() -> Iterator[Poller]:
    poller = Poller("test-poller", Counters())
    yield poller
    poller.close()


@pytest.fixture
def frontend(poller: Poller) -> Iterator[ManyConnections]:
    with contextlib.ExitStack() as stack:
        frontend = ManyConnections(poller)
        for sock in [*frontend.peers, *(connection.sock for connection in frontend.open)]:
            stack.callback(sock.close)
        yield frontend


@pytest.fixture
def examined(monkeypatch: pytest.MonkeyPatch) -> list[socket.socket]:
    """The sockets whose number of unread bytes the kernel was asked for."""
    sockets: list[socket.socket] = []

    def record(sock: socket.socket) -> int:
        sockets.append(sock)
        return unread_bytes(sock)

    monkeypatch.setattr(connection_module, "unread_bytes", record)
    return sockets


def start(poller: Poller, frontend: ManyConnections, shutdown_s: float) -> Callable[[], bool]:
    """Start a drain that shuts down connections from `shutdown_s` on, and poll it once.

    Returns a function that polls it, and returns whether the front end was idle.
    """
    now = time.monotonic()
    shutdown = ConnectionShutdown(poller, frontend)
    times = (now + shutdown_s, now + shutdown_s, now + shutdown_s, now + 200, now + 201)
    shutdown.follow(DrainSchedule(now, now, *times))
    poller._run_calls()

    def poll() -> bool:
        shutdown._poll()
        assert shutdown.observation is not None
        return shutdown.observation.is_idle

    return poll


def test_polls_before_the_shutdown_ask_the_kernel_about_no_single_connection(
    poller: Poller, frontend: ManyConnections, examined: list[socket.socket]
) -> None:
    """Guard against polls that leave no time to read.

    With hundreds of connections each poll took longer than the time between two polls on a starved core, and
    the poller read one connection after each.
    """
    poll = start(poller, frontend, shutdown_s=100)
    assert poll()
    frontend.peers[7].send(b"request")
    assert not poll()
    poller._run_ready(min_s=READ_S)
    assert poll()
    frontend.open[8].open_requests[1] = OPEN_REQUEST
    assert not poll()
    frontend.open[8].open_requests.clear()
    assert poll()
    assert examined == []
    assert {connection.phase for connection in frontend.open} == {ConnectionPhase.NOTIFIED}


def test_connections_that_are_shut_down_are_not_examined_again(
    poller: Poller, frontend: ManyConnections, examined: list[socket.socket]
) -> None:
    """Guard against the same cost while the last connections are shut down."""
    frontend.open[3].open_requests[1] = OPEN_REQUEST
    frontend.fail_open_requests = lambda connection: None  # type: ignore[method-assign]
    poll = start(poller, frontend, shutdown_s=0)
    phases = [connection.phase for connection in frontend.open]
    assert phases.count(ConnectionPhase.SHUT_DOWN) == CONNECTIONS - 1
    examined.clear()
    poll()
    assert set(examined) == {frontend.open[3].sock}
    frontend.open[3].open_requests.clear()
    poll()
    assert {connection.phase for connection in frontend.open} == {ConnectionPhase.SHUT_DOWN}
