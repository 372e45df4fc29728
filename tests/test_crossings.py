"""Races of two events on real connections, each forced into the order that caused a fault.

See docs/crossings.md.
"""

import contextlib
import socket
import struct
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

import parties
import pytest
from core_harness import Backend
from helpers import MUST_CALL, SAFE, small_node_settings, wait_until
from loguru import logger
from scenario import changed_settings, platform_config, scenario_environment

from reelusher.backends import runtime as runtime_module
from reelusher.backends.runtime import RuntimeLink
from reelusher.backends.unacknowledged_commands import UnacknowledgedCommands
from reelusher.codecs import ajp13, msgpack
from reelusher.config import Config
from reelusher.config.load import merge
from reelusher.config.platform_config import parse as parse_platform
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import EventLoopTask
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.frontends.ajp import frontend as ajp_frontend
from reelusher.frontends.rpc import frontend as rpc_frontend
from reelusher.frontends.rpc.connection import Connection
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.frontends.rpc.half_closed import LINGER_S
from reelusher.frontends.rpc.idle_limits import IdleLimits
from reelusher.net import listener as listener_module
from reelusher.net import threads
from reelusher.net.listener import Listener
from reelusher.net.send_buffer import SendBuffer
from reelusher.net.sockets import Address
from reelusher.node import Node

GARBAGE = b"\xc1" * 40_000  # more than the node reads from a socket at once


class Peer:
    """A caller whose messages, answers and end of connection are under the control of the test."""

    def __init__(self, node: Node, receive_bytes: int = 0, health_checks: int = 0) -> None:
        """Connect and send `health_checks` health requests; `receive_bytes` limits the receive buffer."""
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.settimeout(parties.EXPECT_TIMEOUT_S)
        self.received: deque[Any] = deque()
        self.decoder = msgpack.Decoder(1 << 14)
        self.sock.connect(node.parts.frontends["platform"].address)
        self.send(*range(1, health_checks + 1), method="health")

    def send(self, *numbers: int, method: str = "slot-search") -> None:
        """Send requests with these message ids in one write."""
        self.sock.sendall(b"".join(request_bytes(number, method) for number in numbers))

    def read(self) -> bool:
        """Read once; return False at the end of the connection. Raises `ConnectionError` at a reset."""
        data = self.sock.recv(1 << 16)
        self.received.extend(self.decoder.feed(data))
        return bool(data)

    def until_end(self) -> list[Any]:
        """Read to the end of the connection; return all messages that were not taken by `answer`."""
        while self.read():
            pass
        return list(self.received)

    def reset(self) -> None:
        """Close the connection by a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def answer(self) -> Any:
        """Return the next message."""
        while not self.received:
            assert self.read(), "closed without an answer"
        return self.received.popleft()


def request_bytes(number: int, method: str = "slot-search", **changes: str) -> bytes:
    """Return an encoded request; `changes` add or replace fields."""
    fields = {
        "txn": f"{number:016x}",
        "door": str(time.time_ns() // 1_000_000),
        "lb": "1",
        "ram": "10",
        "cpu": "5",
        **changes,
    }
    return msgpack.pack([0, number, method, [fields] if method == "health" else [fields, b"body"]])


@pytest.fixture
def environment(request: pytest.FixtureRequest) -> Iterator[dict[str, Any]]:
    """Yield the environment of a running node; a parameter holds changes of its configuration."""
    changes = dict(getattr(request, "param", {}))
    with tempfile.TemporaryDirectory() as folder, scenario_environment(folder, changes) as running:
        yield running
        print_connections(running)  # pytest shows it if the test has failed


def print_connections(environment: dict[str, Any]) -> None:
    """Print how connections of callers have ended, and the state of those that are open."""
    print("counters:", environment["node"].node.parts.counters.summary())
    for connection in caller_frontend(environment).connections():
        print("open:", connection.state, connection.messages_read, "messages read, ended:", connection.ended)


def caller_frontend(environment: dict[str, Any]) -> RpcFrontend:
    """Return the front end for callers."""
    frontend = environment["node"].node.parts.frontends["platform"]
    assert isinstance(frontend, RpcFrontend)
    return frontend


def on_poller(frontend: RpcFrontend, work: Callable[[], object]) -> None:
    """Run a function on the poller's thread of a front end, and wait for its end."""
    done = threading.Event()

    def step() -> None:
        work()
        done.set()

    frontend._poller.call(step)
    assert done.wait(parties.EXPECT_TIMEOUT_S)


def only_connection(frontend: RpcFrontend) -> Connection:
    """Wait until a front end has one connection, and return it."""
    assert wait_until(lambda: frontend.open_connections() == 1)
    return frontend.connections()[0]


def test_request_between_the_last_check_and_the_close_causes_no_reset(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node)
    peer.send(1, method="health")
    connection = only_connection(frontend)
    assert wait_until(lambda: connection.messages_read)
    shutdown_write, release = connection.send_buffer.shutdown_write, connection.send_buffer.release
    crossed: list[bool] = []

    def send_before(step: Callable[[], Any]) -> Any:
        if not crossed:
            crossed.append(True)
            peer.send(2)  # the node has decided to close, and has not seen this request
            assert wait_until(lambda: unread_bytes(connection.sock) > 0)
        return step()

    monkeypatch.setattr(connection.send_buffer, "shutdown_write", lambda: send_before(shutdown_write))
    monkeypatch.setattr(connection.send_buffer, "release", lambda: send_before(release))
    on_poller(frontend, lambda: frontend._close_idle(connection))
    assert [message[1] for message in peer.until_end()] == [1]
    assert peer.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # it would hold a reset
    # A request that crossed the close is not run: its caller sends it again.
    environment["runtime"].expect(["nothing"])
    peer.sock.close()
    assert wait_until(lambda: not frontend._half_closed)


def test_bytes_that_are_discarded_or_reset_at_the_end_of_a_connection_are_counted(
    environment: dict[str, Any],
) -> None:
    """Guard against a request that is lost at the end of its connection without a trace."""
    frontend, counters = caller_frontend(environment), environment["node"].node.parts.counters
    late = request_bytes(2, "health")

    peer = Peer(environment["node"].node, health_checks=1)
    assert peer.answer()[1] == 1
    connection = only_connection(frontend)
    on_poller(frontend, lambda: frontend._close_idle(connection))
    peer.sock.sendall(late)
    assert wait_until(lambda: counters.snapshot().get("platform.discarded_bytes") == len(late))
    peer.sock.close()
    assert wait_until(lambda: not frontend._half_closed)
    assert "platform.closed_unread" not in counters.snapshot()

    peer = Peer(environment["node"].node, health_checks=1)
    assert peer.answer()[1] == 1
    connection = only_connection(frontend)

    def release_before_reading() -> None:
        peer.sock.sendall(late)
        assert wait_until(lambda: unread_bytes(connection.sock) > 0)
        frontend._release(connection)

    on_poller(frontend, release_before_reading)
    assert counters.snapshot().get("platform.closed_unread") == 1


def test_sent_answers_survive_malformed_bytes_behind_their_requests(environment: dict[str, Any]) -> None:
    peer, count, unread = Peer(environment["node"].node, receive_bytes=4096), 4000, 500
    for first in range(1, count - unread + 1, unread):
        numbers = range(first, first + unread)
        peer.send(*numbers, method="health")
        assert [peer.answer()[1] for _ in numbers] == list(numbers)
    # Behind a full receive buffer, the kernel discards acknowledgements too and stalls what it still has to
    # send: all that the node must have while nothing is read goes out at once.
    last = range(count - unread + 1, count + 1)
    peer.sock.sendall(b"".join(request_bytes(number, "health") for number in last) + GARBAGE)
    assert wait_until(lambda: environment["node"].node.parts.counters.snapshot().get("platform.malformed"))
    assert [message[1] for message in peer.until_end()] == list(last)


@pytest.mark.parametrize("ending", ["malformed", "reset"])
def test_end_of_a_connection_with_a_copied_run_id_leaves_the_run_its_caller(
    environment: dict[str, Any], ending: str
) -> None:
    """Guard against a lost answer: the end of any connection that used a run id dropped the run's answer."""
    node, runtime = environment["node"].node, environment["runtime"]
    caller, copying_client, hold = Peer(node), Peer(node), threading.Event()
    caller.sock.sendall(request_bytes(1, txn="00000000000000aa"))
    runtime.expect(["start", "00000000000000aa"])
    node.parts.core.post(EventLoopTask(lambda: hold.wait(parties.EXPECT_TIMEOUT_S), Future()))
    copy = request_bytes(1, txn="00000000000000aa")
    copying_client.sock.sendall(copy + (b"\xc1" if ending == "malformed" else b""))
    counters = node.parts.counters
    if ending == "reset":
        frontend = caller_frontend(environment)
        assert wait_until(lambda: sum(c.unanswered for c in frontend.connections()) == 2)
        copying_client.reset()
    counter = "platform.malformed" if ending == "malformed" else "platform.closed_broken"
    assert wait_until(lambda: counters.snapshot().get(counter) == 1)
    hold.set()
    assert wait_until(lambda: counters.snapshot().get("requests.name_taken") == 1)
    runtime.send(["end", "00000000000000aa", "ok", "r"])
    assert caller.answer()[3][0] == b"r"


@pytest.mark.parametrize("reset_before", ["a send", "reading"])
def test_requests_of_a_reset_connection_are_not_run(environment: dict[str, Any], reset_before: str) -> None:
    """Guard against runs for nobody: a send or unread data hid the reset, and held requests ran after it."""
    node, frontend, hold = environment["node"].node, caller_frontend(environment), threading.Event()
    node.parts.core.post(EventLoopTask(lambda: hold.wait(parties.EXPECT_TIMEOUT_S), Future()))
    peer = Peer(node)
    connection = only_connection(frontend)

    def reset_before_a_send() -> None:
        peer.reset()
        assert wait_until(lambda: not connection.send_buffer.send(b"answer"))

    def reset_before_reading() -> None:
        peer.send(1, 2, 3)
        assert wait_until(lambda: unread_bytes(connection.sock) >= len(request_bytes(1) * 3))
        peer.reset()
        time.sleep(0.05)

    if reset_before == "a send":
        peer.send(1, 2, 3)
        assert wait_until(lambda: connection.unanswered == 3)
        on_poller(frontend, reset_before_a_send)
    else:
        on_poller(frontend, reset_before_reading)
    assert wait_until(lambda: frontend.open_connections() == 0)
    hold.set()
    environment["runtime"].expect(["nothing"])
    undeliverable = node.parts.counters.snapshot().get("answers.undeliverable", 0)
    assert undeliverable == (3 if reset_before == "a send" else 0)


@pytest.mark.parametrize("environment", [{"sockets": "32"}], indirect=True)
def test_connection_beyond_the_limit_is_rejected_before_it_is_closed(environment: dict[str, Any]) -> None:
    frontend = caller_frontend(environment)
    busy = [Peer(environment["node"].node) for _ in range(frontend.max_connections)]
    for number, peer in enumerate(busy, 1):
        peer.send(number)  # has no answer yet, so its connection is not closed to make room
    assert wait_until(lambda: frontend.open_connections() == frontend.max_connections)
    later = [Peer(environment["node"].node) for _ in range(3 * rpc_frontend.MAX_SPARE)]
    for number, peer in enumerate(later, 101):
        peer.send(number)
    for number, peer in enumerate(later, 101):
        (answer,) = peer.until_end()
        assert (answer[1], answer[2][0]) == (number, "Full")
    assert environment["node"].node.parts.counters.snapshot()["requests.read"] == len(busy)


@pytest.mark.parametrize("state", ["rejected", "incomplete"])
def test_unread_request_is_answered_when_the_time_of_its_connection_is_over(
    environment: dict[str, Any], state: str
) -> None:
    """On a busy core the time limits may be checked before received bytes are read: the request was lost."""
    frontend, peer, data = (
        caller_frontend(environment),
        Peer(environment["node"].node),
        request_bytes(1, "health"),
    )
    peer.sock.sendall(data[:20])
    connection = only_connection(frontend)
    assert wait_until(lambda: connection.partial_since_s)

    def check_late() -> None:
        if state == "rejected":
            connection.rejecting_since_s = time.monotonic() - LINGER_S - 1
        connection.partial_since_s = time.monotonic() - rpc_frontend.MAX_FRAME_S - 1
        peer.sock.sendall(data[20:])
        assert wait_until(lambda: unread_bytes(connection.sock) > 0)
        frontend._check(connection, time.monotonic(), IdleLimits(100.0, 100.0, 100.0))

    on_poller(frontend, check_late)
    assert peer.answer()[1] == 1


@pytest.mark.parametrize("reason", ["silent", "idle", "no room"])
def test_connection_with_an_unread_request_is_sent_no_last_call(
    environment: dict[str, Any], reason: str
) -> None:
    """Guard against a connection that its caller has to give up: after a pause, requests may be unread."""
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node)
    connection = only_connection(frontend)
    if reason != "silent":
        peer.send(1, method="health")
        assert peer.answer()[1] == 1

    def check_late() -> None:
        connection.last_used_s = time.monotonic() - 10
        peer.send(2, method="health")
        assert wait_until(lambda: unread_bytes(connection.sock) > 0)
        if reason == "no room":
            frontend._evict_idle()
        else:
            frontend._check(connection, time.monotonic(), IdleLimits(5.0, 5.0, 5.0))

    on_poller(frontend, check_late)
    peer.send(3, method="health")
    assert [peer.answer()[:2] for _ in range(2)] == [[1, 2], [1, 3]]  # no notice, which would begin with 2
    assert frontend.open_connections() == 1


def test_close_waits_for_the_writer_of_an_empty_send_buffer(environment: dict[str, Any]) -> None:
    """The buffer is empty, but its writer has not ended yet, so the connection can't be half-closed."""
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node, health_checks=1)
    connection = only_connection(frontend)
    assert peer.answer()[1] == 1
    connection.send_buffer._has_writer = True
    on_poller(frontend, lambda: frontend._close_idle(connection))
    assert frontend.open_connections() == 1
    connection.send_buffer._has_writer = False
    on_poller(frontend, lambda: frontend._close_idle(connection))
    assert peer.until_end() == []
    assert frontend.open_connections() == 0


def test_requests_behind_too_many_bad_ones_are_rejected_and_not_run(environment: dict[str, Any]) -> None:
    peer = Peer(environment["node"].node)
    peer.sock.sendall(
        b"".join(
            request_bytes(number, "no-such-class") for number in range(1, rpc_frontend.MAX_BAD_REQUESTS + 1)
        )
        + request_bytes(90)
        + request_bytes(91)
    )
    errors = {message[1]: message[2][0] for message in peer.until_end()}
    assert (errors[90], errors[91], len(errors)) == ("Full", "Full", rpc_frontend.MAX_BAD_REQUESTS + 2)
    environment["runtime"].expect(["nothing"])


def test_incomplete_request_is_closed_without_a_reset_of_the_answer_before_it(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rpc_frontend, "MAX_FRAME_S", 0.2)
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node)
    end_connection = frontend._end

    def send_before_end(connection: Connection, *args: Any, **kwargs: Any) -> None:
        peer.sock.sendall(request_bytes(2)[40:] + GARBAGE)  # the node has given the request up
        assert wait_until(lambda: unread_bytes(connection.sock) > 0)
        end_connection(connection, *args, **kwargs)

    monkeypatch.setattr(frontend, "_end", send_before_end)
    peer.sock.sendall(request_bytes(1, "health") + request_bytes(2)[:40])
    assert [message[1] for message in peer.until_end()] == [1]
    environment["runtime"].expect(["nothing"])


def test_request_that_crosses_the_close_of_an_idle_ajp_connection_meets_no_reset(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    frontend = environment["node"].node.parts.frontends["ajp"]
    web_server = socket.socket()
    web_server.settimeout(parties.EXPECT_TIMEOUT_S)

    def send_and_report_idle(sock: socket.socket) -> bool:
        web_server.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
        assert wait_until(lambda: unread_bytes(sock) > 0)
        return False

    monkeypatch.setattr(frontend, "_wait_for_request", send_and_report_idle)
    web_server.connect(frontend.address)
    assert web_server.recv(100) == b""


def use_small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the kernel take few bytes of the answers on each connection, and shorten `MAX_FRAME_S`."""
    monkeypatch.setattr(rpc_frontend, "MAX_FRAME_S", 0.2)
    accept = Listener.accept

    def accept_with_small_buffer(listener: Listener) -> tuple[socket.socket, Address] | None:
        accepted = accept(listener)
        if accepted:
            accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return accepted

    monkeypatch.setattr(Listener, "accept", accept_with_small_buffer)


def fill_with_unread_answers(environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> list[Peer]:
    """Open all connections that the node accepts, each with answers that it can't send.

    Each sends requests as soon as it is connected: in a full table, the node closes connections that are
    silent for a second.
    """
    use_small_send_buffers(monkeypatch)
    frontend = caller_frontend(environment)
    silent_peers: list[Peer] = []
    requests = request_bytes(1, "health") * 500
    for count in range(1, frontend.max_connections + 1):
        silent_peers.append(Peer(environment["node"].node, receive_bytes=2048))
        silent_peers[-1].sock.settimeout(0.05)
        with pytest.raises(TimeoutError):
            while True:
                silent_peers[-1].sock.sendall(requests)
                if frontend.open_connections() == count and all(
                    connection.send_buffer.backlog for connection in frontend.connections()
                ):
                    raise TimeoutError
    return silent_peers


@pytest.mark.parametrize("environment", [{"sockets": "32"}], indirect=True)
def test_callers_that_read_no_answers_do_not_keep_their_connections(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    silent_peers = fill_with_unread_answers(environment, monkeypatch)
    later = [Peer(environment["node"].node, health_checks=1) for _ in range(rpc_frontend.MAX_SPARE + 4)]
    assert [peer.answer()[1] for peer in later] == [1] * len(later)
    assert silent_peers


@pytest.mark.parametrize("environment", [{"sockets": "32"}], indirect=True)
def test_connections_that_are_read_no_more_and_read_no_answers_make_room(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a table that stays full for the longest deadline: these were never evicted."""
    use_small_send_buffers(monkeypatch)
    frontend, node = caller_frontend(environment), environment["node"].node
    silent_peers = [Peer(node, 2048, health_checks=1) for _ in range(frontend.max_connections)]
    assert wait_until(lambda: len(frontend.connections()) == len(silent_peers))

    def end_with_backlog() -> None:
        for connection in frontend.connections():
            connection.send_buffer.send(bytes(200_000))
            frontend._end(connection, peer_closed=False)

    on_poller(frontend, end_with_backlog)
    connections = frontend.connections()
    assert all(connection.send_buffer.backlog for connection in connections)
    assert wait_until(
        lambda: all(c.send_buffer.stalled_for(time.monotonic()) > 0.3 for c in connections), timeout_s=5
    )
    peer = Peer(node)
    peer.send(1)
    environment["runtime"].expect(["start", "*", "slot-search"])
    assert "platform.turned_away" not in node.parts.counters.snapshot()


def test_flood_on_a_closing_connection_delays_no_other(environment: dict[str, Any]) -> None:
    frontend, peer = caller_frontend(environment), Peer(environment["node"].node)
    peer.send(1, method="health")
    connection, stop = only_connection(frontend), threading.Event()

    def flood() -> None:
        with contextlib.suppress(OSError):
            while not stop.is_set():
                peer.sock.sendall(request_bytes(1, "health") * 200)

    def read_answers() -> None:
        with contextlib.suppress(OSError):
            while peer.sock.recv(1 << 16):
                pass

    workers = [threading.Thread(target=work) for work in (flood, read_answers)]
    for worker in workers:
        worker.start()
    try:
        on_poller(frontend, lambda: frontend._close_idle(connection))
        other = Peer(environment["node"].node)
        other.send(2, method="health")
        assert other.answer()[1] == 2
    finally:
        stop.set()
        peer.sock.shutdown(socket.SHUT_RDWR)
        for worker in workers:
            worker.join()


@pytest.mark.parametrize("environment", [{"max_connections": "1"}], indirect=True)
def test_ajp_connections_beyond_the_limit_are_read_a_few_at_a_time(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    frontend, hold = environment["node"].node.parts.frontends["ajp"], threading.Event()
    closing: list[socket.socket] = []

    def hold_closing(sock: socket.socket) -> None:
        closing.append(sock)
        hold.wait(parties.EXPECT_TIMEOUT_S)

    monkeypatch.setattr(ajp_frontend, "shut_and_discard", hold_closing)
    web_servers = [socket.create_connection(frontend.address, parties.EXPECT_TIMEOUT_S) for _ in range(30)]
    counters = environment["node"].node.parts.counters
    try:
        assert wait_until(lambda: counters.snapshot().get("ajp.too_many_connections") == 29)
        assert len(closing) <= ajp_frontend.MAX_REJECTED_CONNECTIONS
    finally:
        hold.set()
        for web_server in web_servers:
            web_server.close()


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_keyed_request_runs_once_although_the_clock_is_stepped_before_its_retry(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    runtime, peer = environment["runtime"], Peer(environment["node"].node)
    runtime.ends_runs_at_once = True
    peer.sock.sendall(request_bytes(1, "book-visit", unique="k"))
    assert peer.answer()[2] is None
    runtime.expect(["start", "*", "book-visit"])
    monkeypatch.setattr(time, "time_ns", lambda read=time.time_ns: read() + step_s * 1_000_000_000)
    node = environment["node"].node
    monkeypatch.setattr(node.parts.core.clock, "_unix_ns", time.time_ns)
    peer.sock.sendall(request_bytes(2, "book-visit", unique="k") + request_bytes(3))
    received = {message[1]: message[2] for message in (peer.answer(), peer.answer())}
    assert received == {2: None, 3: None}  # both are served, the retry from the stored result
    runtime.expect(["start", "*", "slot-search"])
    runtime.expect(["nothing"])


def move_twice(runtime: RuntimeLink, first: Address, second: Address) -> None:
    """Move to one address, and to another while the link to the first one is being opened."""
    proceed, ready = threading.Event(), threading.Event()
    open_link = runtime._open

    def open_when_allowed() -> socket.socket | None:
        ready.set()
        assert proceed.wait(parties.EXPECT_TIMEOUT_S)
        return open_link()

    runtime._open = open_when_allowed  # type: ignore[method-assign]
    runtime.move(first)
    assert ready.wait(parties.EXPECT_TIMEOUT_S)  # the old link is closed, and the new one not yet open
    runtime.move(second)
    proceed.set()


def test_move_back_that_crosses_a_move_wins(environment: dict[str, Any]) -> None:
    runtime = environment["node"].node.parts.runtime
    move_twice(runtime, environment["runtime2"].address, environment["runtime"].address)
    assert wait_until(lambda: runtime.up and runtime._linked_address == environment["runtime"].address)
    environment["runtime"].ends_runs_at_once, peer = True, Peer(environment["node"].node)
    peer.send(1)
    assert peer.answer()[3][0] == b"r"


def test_link_that_is_opened_while_the_node_closes_is_closed(environment: dict[str, Any]) -> None:
    runtime, opened = environment["node"].node.parts.runtime, threading.Event()
    open_link = runtime._open

    def open_then_close() -> socket.socket | None:
        sock: socket.socket | None = open_link()
        opened.set()
        runtime.close()  # the link is open, but the node has not stored it yet
        return sock

    runtime._open = open_then_close
    environment["runtime"].close([])
    assert opened.wait(parties.EXPECT_TIMEOUT_S)
    environment["runtime"].expect(["closed"])
    environment["runtime"].expect(["closed"])


def test_commands_buffered_for_an_unreachable_runtime_are_bounded(environment: dict[str, Any]) -> None:
    node, peer = environment["node"].node, Peer(environment["node"].node)
    environment["runtime"].close(["listener"])
    assert wait_until(lambda: not node.parts.runtime.up)
    for first in range(1, 200, 20):
        peer.send(*range(first, first + 20), method="day-view")
        for _ in range(18):  # up to two stay queued until their deadline
            peer.answer()
    max_runnable = node.config.settings.max_runnable_per_core * node.config.settings.cores
    assert len(node.parts.runtime._unacknowledged) <= 3 * max_runnable


def test_runtime_that_answers_no_gauges_fills_no_memory() -> None:
    commands = UnacknowledgedCommands()
    for number in range(1000):
        commands.mark(f"t{number}")
    assert len(commands._marks) <= 64


def test_corrupted_notice_is_requested_again(environment: dict[str, Any]) -> None:
    """Acknowledged as received, the notice was lost: its run never ended for the node and occupied a core."""
    runtime, peer = environment["runtime"], Peer(environment["node"].node)
    peer.send(1)
    runtime.expect(["start", "*", "as", "X"])
    run_id = environment["names"]["X"]
    runtime.send(["raw", f'{{"msg":"end","serial":1,"call":"{run_id}","how":"ok","duration":3,"blob":"?"}}'])
    runtime.expect(["closed"])
    runtime.expect(["sync", "0"])  # not 1: the notice is not acknowledged
    runtime.send(["end", run_id, "ok", "r"])
    assert peer.answer()[3][0] == b"r"


def test_notice_that_stays_malformed_ends_its_run_and_not_the_link(environment: dict[str, Any]) -> None:
    runtime, peer = environment["runtime"], Peer(environment["node"].node)
    peer.send(1)
    runtime.expect(["start", "*", "as", "X"])
    run_id = environment["names"]["X"]
    for _ in range(2):
        runtime.send(["raw", f'{{"msg":"end","serial":1,"call":"{run_id}","how":"odd","duration":3}}'])
        if _ == 0:
            runtime.expect(["closed"])
            runtime.expect(["sync", "0"])
    assert peer.answer()[2][0] == "Error"
    peer.send(2)
    runtime.expect(["start", "*"])


class Reloads:
    """Reads changed configurations for reloads of a node."""

    def __init__(self, environment: dict[str, Any]) -> None:
        self.environment, self.node = environment, environment["node"].node

    def read(self, **changes: Any) -> Config:
        config = platform_config(self.environment, **changes)
        return merge(parse_platform(config, {}), self.node.config.operator)


def test_reload_for_which_the_event_loop_has_no_time_changes_nothing_later(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    reloads, hold = Reloads(environment), threading.Event()
    node = reloads.node
    run_on_loop = node.parts.core.run_on_loop
    monkeypatch.setattr(
        node.parts.core, "run_on_loop", lambda function, timeout_s=0.1: run_on_loop(function, timeout_s)
    )
    node.parts.core.post(EventLoopTask(lambda: hold.wait(parties.EXPECT_TIMEOUT_S), Future()))
    try:
        assert not node.reload(lambda: reloads.read(settings=changed_settings({"add": "extra"})))
    finally:
        hold.set()
    monkeypatch.setattr(node.parts.core, "run_on_loop", run_on_loop)
    # This task runs after the cancelled one.
    assert node.parts.core.run_on_loop(lambda: "extra" in node.parts.core.class_names) is False
    assert node.parts.core.stats.snapshot()["sighup_rejected"] == 1


def test_reload_that_fails_half_way_is_counted(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    reloads = Reloads(environment)

    def failing_move(address: Address) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(reloads.node.parts.downstream, "move", failing_move)
    assert not reloads.node.reload(reloads.read)
    assert reloads.node.parts.core.stats.snapshot()["sighup_rejected"] == 1


def test_reload_that_fails_half_way_names_what_is_in_use_and_the_next_one_takes_up_the_rest(
    environment: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a log line that denies the change, and an address that no later reload takes up."""
    reloads, new_settings = Reloads(environment), changed_settings({"add": "extra"})
    node, lines = reloads.node, list[str]()
    old_address, new_address = environment["runtime"].address, environment["runtime2"].address

    def read() -> Config:
        return reloads.read(settings=new_settings, runtime="{}:{}".format(*new_address))

    def no_thread(name: str, function: Callable[[], object]) -> threading.Thread:
        raise RuntimeError("can't start new thread")

    sink = logger.add(lambda line: lines.append(str(line)), level="ERROR")
    with monkeypatch.context() as patch:
        patch.setattr(runtime_module, "start_thread", no_thread)
        assert not node.reload(read)
    logger.remove(sink)
    assert "extra" in node.parts.core.class_names
    platform = node.config.platform
    assert (platform.class_names[-1], platform.runtime) == ("extra", old_address)
    assert any("in use since this reload: settings, gauges, class_names" in line for line in lines), lines
    assert node.reload(read)
    environment["runtime2"].expect(["sync", "0"])
    assert node.config.platform.runtime == new_address


def test_reloads_behind_an_unreadable_file_use_two_threads(environment: dict[str, Any]) -> None:
    reloads, hold = Reloads(environment), threading.Event()

    def slow() -> Config:
        hold.wait(parties.EXPECT_TIMEOUT_S)
        return reloads.read()

    threads = [threading.Thread(target=lambda: reloads.node.reload(slow)) for _ in range(20)]
    for thread in threads:
        thread.start()
    assert wait_until(lambda: sum(thread.is_alive() for thread in threads) == 2)
    hold.set()
    for thread in threads:
        thread.join()
    assert reloads.node.parts.core.stats.snapshot()["sighup_applied"] == 2


def test_class_dropped_just_before_another_reload_is_still_accepted(environment: dict[str, Any]) -> None:
    reloads, peer = Reloads(environment), Peer(environment["node"].node)
    assert reloads.node.reload(lambda: reloads.read(settings=changed_settings({"drop": "day-view"})))
    assert reloads.node.reload(
        lambda: reloads.read(settings=changed_settings({"drop": "day-view", "add": "extra"}))
    )
    peer.send(1, method="day-view")
    environment["runtime"].expect(["start", "*", "day-view"])


def test_partly_sent_message_counts_as_sent() -> None:
    """If `send` returned False, the downstream client would send a call again that may have run."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    send_buffer = SendBuffer(near, limit=1000)
    assert send_buffer.send(b"x" * 1_000_000) is True
    assert send_buffer.closed
    assert send_buffer.send(b"x") is False
    far.close()
    send_buffer.release()


def test_reload_does_not_make_a_cold_node_warm() -> None:
    core = Core(small_node_settings(SAFE, cold_start=True), [], 1, Backend())
    core.begin()
    core.apply_settings(small_node_settings(SAFE, MUST_CALL, cold_start=False), [], ["safe", "must"])
    assert core.settings.cold_start
    assert core._controller.concurrency.is_warming_up(core.now_us)


def test_listener_bounds_its_connections_and_frees_a_slot_when_no_thread_can_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hold, counters = threading.Event(), Counters()
    served: list[Address] = []
    failed: list[str] = []

    def serve(sock: socket.socket, peer: Address) -> None:
        with sock:
            served.append(peer)
            hold.wait(parties.EXPECT_TIMEOUT_S)

    listener = Listener("some", ("127.0.0.1", 0), counters, serve, max_connections=2)
    listener.start()
    start = threads.start_thread

    def fail_to_start(name: str, work: Callable[[], object]) -> threading.Thread:
        failed.append(name)
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(listener_module, "start_thread", fail_to_start)
    for number in range(3):  # each would keep its slot if the failure did not free it
        with socket.create_connection(listener.address, parties.EXPECT_TIMEOUT_S) as sock:
            assert sock.recv(1) == b""
            assert len(failed) == number + 1
    monkeypatch.setattr(listener_module, "start_thread", start)
    socks = [socket.create_connection(listener.address, parties.EXPECT_TIMEOUT_S) for _ in range(5)]
    assert wait_until(lambda: counters.snapshot().get("some.turned_away") == 3)
    assert len(served) == 2
    hold.set()
    listener.stop()
    for sock in socks:
        sock.close()
