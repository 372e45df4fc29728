"""Two events that cross, on real connections, the bad order made to happen: docs/crossings.md."""

import contextlib
import socket
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

import parties
import pytest
from helpers import MUST_CALL, SAFE, settings, soon
from scenario import platform_config, retuned, standing
from test_core import Backend

from reelusher.backends.runtime import RuntimeLink, UnacknowledgedCommands
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
from reelusher.frontends.rpc.frontend import Connection, RpcFrontend
from reelusher.net import listener as listener_module
from reelusher.net import threads
from reelusher.net.listener import Listener
from reelusher.net.send_buffer import SendBuffer
from reelusher.net.sockets import Address
from reelusher.node import Node

GARBAGE = b"\xc1" * 40_000  # more than one look at a socket takes


class Peer:
    """A caller by hand: what it sends, what came back, and how its connection ended."""

    def __init__(self, node: Node, receive_bytes: int = 0, ask: int = 0) -> None:
        """`ask`: how many health checks it sends as soon as it can."""
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.settimeout(parties.PATIENCE_S)
        self.came: deque[Any] = deque()
        self.decoder = msgpack.Decoder(1 << 14)
        self.sock.connect(node.fronts["platform"].address)
        self.ask(*range(1, ask + 1), method="health")

    def ask(self, *numbers: int, method: str = "slot-search") -> None:
        """Ask so many requests in one piece."""
        self.sock.sendall(b"".join(asked(number, method) for number in numbers))

    def more(self) -> bool:
        """Read what has come; False at the end. A reset is an error."""
        data = self.sock.recv(1 << 16)
        self.came.extend(self.decoder.feed(data))
        return bool(data)

    def until_end(self) -> list[Any]:
        """Read to the end of the connection; return all that came."""
        while self.more():
            pass
        return list(self.came)

    def answer(self) -> Any:
        """Return the next answer."""
        while not self.came:
            assert self.more(), "closed without an answer"
        return self.came.popleft()


def asked(number: int, method: str = "slot-search", **more: str) -> bytes:
    fields = {
        "txn": f"{number:016x}",
        "door": str(time.time_ns() // 1_000_000),
        "lb": "1",
        "ram": "10",
        "cpu": "5",
        **more,
    }
    return msgpack.pack([0, number, method, [fields] if method == "health" else [fields, b"body"]])


@pytest.fixture
def world(request: pytest.FixtureRequest) -> Iterator[dict[str, Any]]:
    changes = dict(getattr(request, "param", {}))
    with tempfile.TemporaryDirectory() as folder, standing(folder, changes) as made:
        yield made


def front_of(world: dict[str, Any]) -> RpcFrontend:
    front = world["node"].node.fronts["platform"]
    assert isinstance(front, RpcFrontend)
    return front


def on_poller(front: RpcFrontend, work: Callable[[], object]) -> None:
    """Have the front's own thread do something, and wait for it."""
    done = threading.Event()

    def step() -> None:
        work()
        done.set()

    front._poller.call(step)
    assert done.wait(parties.PATIENCE_S)


def only(front: RpcFrontend) -> Connection:
    assert soon(lambda: front.open_connections() == 1)
    return front._all()[0]


def test_a_request_between_the_last_look_and_the_close_resets_nothing(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    front, peer = front_of(world), Peer(world["node"].node)
    peer.ask(1, method="health")
    connection = only(front)
    assert soon(lambda: connection.heard)
    shut, release = connection.outbox.shut, connection.outbox.release
    crossed: list[bool] = []

    def crossing(step: Callable[[], Any]) -> Any:
        if not crossed:
            crossed.append(True)
            peer.ask(2)  # now: the node has seen nothing and closes
            assert soon(lambda: unread_bytes(connection.sock) > 0)
        return step()

    monkeypatch.setattr(connection.outbox, "shut", lambda: crossing(shut))
    monkeypatch.setattr(connection.outbox, "release", lambda: crossing(release))
    on_poller(front, lambda: front._close_idle(connection))
    assert [message[1] for message in peer.until_end()] == [1]
    assert peer.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # a reset would be told here
    world["runtime"].expect(["nothing"])  # what crossed the close is not run: its caller sends it again
    peer.sock.close()
    assert soon(lambda: not front._lingering)


def test_answers_on_their_way_survive_bytes_that_can_not_be_read(world: dict[str, Any]) -> None:
    peer, count = Peer(world["node"].node, receive_bytes=4096), 4000
    for first in range(1, count + 1, 500):
        peer.ask(*range(first, first + 500), method="health")
    peer.sock.sendall(GARBAGE)
    assert soon(lambda: world["node"].node.counters.snapshot().get("platform.malformed"))
    assert len(peer.until_end()) == count


@pytest.mark.parametrize("world", [{"sockets": "32"}], indirect=True)
def test_a_caller_for_whom_there_is_no_room_is_refused_before_it_is_closed(world: dict[str, Any]) -> None:
    front = front_of(world)
    busy = [Peer(world["node"].node) for _ in range(front._most)]
    for number, peer in enumerate(busy, 1):
        peer.ask(number)  # owed an answer, so none of them is closed for others
    assert soon(lambda: front.open_connections() == front._most)
    late = [Peer(world["node"].node) for _ in range(3 * rpc_frontend.SPARE)]
    for number, peer in enumerate(late, 101):
        peer.ask(number)
    for number, peer in enumerate(late, 101):
        (answer,) = peer.until_end()
        assert (answer[1], answer[2][0]) == (number, "Full")
    assert world["node"].node.counters.snapshot()["requests.read"] == len(busy)


@pytest.mark.parametrize("state", ["refused", "half asking"])
def test_what_lies_unread_when_the_time_of_a_connection_is_over_is_answered(
    world: dict[str, Any], state: str
) -> None:
    """On a busy core the sweep came before the read."""
    front, peer, whole = front_of(world), Peer(world["node"].node), asked(1, "health")
    peer.sock.sendall(whole[:20])
    connection = only(front)
    assert soon(lambda: connection.partial_since)

    def late() -> None:
        if state == "refused":
            connection.refused_since = time.monotonic() - rpc_frontend.LINGER_S - 1
        connection.partial_since = time.monotonic() - rpc_frontend.FRAME_S - 1
        peer.sock.sendall(whole[20:])
        assert soon(lambda: unread_bytes(connection.sock) > 0)
        front._look_at(connection, time.monotonic(), 100.0, 100.0)

    on_poller(front, late)
    assert peer.answer()[1] == 1


def test_a_close_that_crosses_the_end_of_a_backlog_waits_for_it(world: dict[str, Any]) -> None:
    """The backlog is empty, but its writer has not gone yet, so the connection can't be shut by half."""
    front, peer = front_of(world), Peer(world["node"].node, ask=1)
    connection = only(front)
    assert peer.answer()[1] == 1
    connection.outbox._writer = True
    on_poller(front, lambda: front._close_idle(connection))
    assert front.open_connections() == 1
    connection.outbox._writer = False
    on_poller(front, lambda: front._close_idle(connection))
    assert peer.until_end() == []
    assert front.open_connections() == 0


def test_what_comes_behind_too_many_bad_requests_is_refused_and_not_run(world: dict[str, Any]) -> None:
    peer = Peer(world["node"].node)
    peer.sock.sendall(
        b"".join(asked(number, "no-such-class") for number in range(1, rpc_frontend.MOST_BAD + 1))
        + asked(90)
        + asked(91)
    )
    errors = {message[1]: message[2][0] for message in peer.until_end()}
    assert (errors[90], errors[91], len(errors)) == ("Full", "Full", rpc_frontend.MOST_BAD + 2)
    world["runtime"].expect(["nothing"])


def test_half_a_request_is_closed_without_a_reset_of_the_answer_before_it(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rpc_frontend, "FRAME_S", 0.2)
    front, peer = front_of(world), Peer(world["node"].node)
    end = front._end

    def cross(connection: Connection, *args: Any, **more: Any) -> None:
        peer.sock.sendall(asked(2)[40:] + GARBAGE)  # now: the node has given up on it
        assert soon(lambda: unread_bytes(connection.sock) > 0)
        end(connection, *args, **more)

    monkeypatch.setattr(front, "_end", cross)
    peer.sock.sendall(asked(1, "health") + asked(2)[:40])
    assert [message[1] for message in peer.until_end()] == [1]
    world["runtime"].expect(["nothing"])


def test_a_request_that_crosses_the_close_of_an_idle_ajp_connection_meets_no_reset(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    front = world["node"].node.fronts["ajp"]
    web = socket.socket()
    web.settimeout(parties.PATIENCE_S)

    def cross(sock: socket.socket) -> bool:
        web.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
        assert soon(lambda: unread_bytes(sock) > 0)
        return False

    monkeypatch.setattr(front, "_wait", cross)
    web.connect(front.address)
    assert web.recv(100) == b""


@pytest.mark.parametrize("world", [{"sockets": "32"}], indirect=True)
def test_callers_that_read_no_answer_do_not_hold_their_places(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rpc_frontend, "FRAME_S", 0.2)
    front, take = front_of(world), Listener.take

    def narrow(listener: Listener) -> tuple[socket.socket, Address] | None:
        taken = take(listener)
        if taken:
            taken[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return taken

    monkeypatch.setattr(Listener, "take", narrow)
    deaf = [Peer(world["node"].node, receive_bytes=2048) for _ in range(front._most)]
    big = asked(1, "health") * 500
    for peer in deaf:  # until the node has answers that nobody takes
        peer.sock.settimeout(0.05)
        with pytest.raises(TimeoutError):
            while True:
                peer.sock.sendall(big)
                if front.open_connections() and all(one.outbox.backlog for one in front._all()):
                    raise TimeoutError
    late = [Peer(world["node"].node, ask=1) for _ in range(rpc_frontend.SPARE + 4)]
    assert [peer.answer()[1] for peer in late] == [1] * len(late)


def test_a_flood_on_a_connection_that_is_to_be_closed_holds_up_nobody_else(world: dict[str, Any]) -> None:
    front, peer = front_of(world), Peer(world["node"].node)
    peer.ask(1, method="health")
    connection, over = only(front), threading.Event()

    def flood() -> None:
        with contextlib.suppress(OSError):
            while not over.is_set():
                peer.sock.sendall(asked(1, "health") * 200)

    def take() -> None:
        with contextlib.suppress(OSError):
            while peer.sock.recv(1 << 16):
                pass

    workers = [threading.Thread(target=work) for work in (flood, take)]
    for worker in workers:
        worker.start()
    try:
        on_poller(front, lambda: front._close_idle(connection))
        other = Peer(world["node"].node)
        other.ask(2, method="health")
        assert other.answer()[1] == 2
    finally:
        over.set()
        peer.sock.shutdown(socket.SHUT_RDWR)
        for worker in workers:
            worker.join()


@pytest.mark.parametrize("world", [{"max_connections": "1"}], indirect=True)
def test_ajp_connections_too_many_are_read_out_a_few_at_a_time(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    front, hold = world["node"].node.fronts["ajp"], threading.Event()
    parting: list[socket.socket] = []

    def part(sock: socket.socket) -> None:
        parting.append(sock)
        hold.wait(parties.PATIENCE_S)

    monkeypatch.setattr(front, "_part", part)
    webs = [socket.create_connection(front.address, parties.PATIENCE_S) for _ in range(30)]
    counters = world["node"].node.counters
    try:
        assert soon(lambda: counters.snapshot().get("ajp.too_many_connections") == 29)
        assert len(parting) <= ajp_frontend.MOST_TURNED
    finally:
        hold.set()
        for web in webs:
            web.close()


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_keyed_request_runs_once_though_the_clock_is_stepped_between_its_tries(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    runtime, peer = world["runtime"], Peer(world["node"].node)
    runtime.at_once = True
    peer.sock.sendall(asked(1, "book-visit", unique="k"))
    assert peer.answer()[2] is None
    runtime.expect(["start", "*", "book-visit"])
    monkeypatch.setattr(time, "time_ns", lambda read=time.time_ns: read() + step_s * 1_000_000_000)
    node = world["node"].node
    monkeypatch.setattr(
        node.core.clock, "_unix_ns" if hasattr(node.core.clock, "_unix_ns") else "_read", time.time_ns
    )
    peer.sock.sendall(asked(2, "book-visit", unique="k") + asked(3))
    came = {message[1]: message[2] for message in (peer.answer(), peer.answer())}
    assert came == {2: None, 3: None}  # both served: the repeat from what was kept
    runtime.expect(["start", "*", "slot-search"])
    runtime.expect(["nothing"])


def moved_twice(runtime: RuntimeLink, first: Address, second: Address) -> None:
    """Move to one address and at once to another, as soon as the first move has its link ready."""
    take_up, now = threading.Event(), threading.Event()
    opened = runtime._open

    def late() -> socket.socket | None:
        now.set()
        assert take_up.wait(parties.PATIENCE_S)
        return opened()

    runtime._open = late  # type: ignore[method-assign]
    runtime.move(first)
    assert now.wait(parties.PATIENCE_S)  # the old link is down, the moved one is about to be taken up
    runtime.move(second)
    take_up.set()


def test_a_move_back_that_crosses_a_move_wins(world: dict[str, Any]) -> None:
    runtime = world["node"].node.runtime
    moved_twice(runtime, world["runtime2"].address, world["runtime"].address)
    assert soon(lambda: runtime.up and runtime._linked == world["runtime"].address)
    world["runtime"].at_once, peer = True, Peer(world["node"].node)
    peer.ask(1)
    assert peer.answer()[3][0] == b"r"


def test_a_link_that_is_opened_while_the_node_closes_is_let_go(world: dict[str, Any]) -> None:
    runtime, opened = world["node"].node.runtime, threading.Event()
    open_one = runtime._open

    def crossing() -> socket.socket | None:
        sock: socket.socket | None = open_one()
        opened.set()
        runtime.close()  # now: the link is open, and nobody knows it yet
        return sock

    runtime._open = crossing
    world["runtime"].close([])
    assert opened.wait(parties.PATIENCE_S)
    world["runtime"].expect(["closed"])
    world["runtime"].expect(["closed"])


def test_commands_kept_for_a_runtime_that_is_away_are_bounded(world: dict[str, Any]) -> None:
    node, peer = world["node"].node, Peer(world["node"].node)
    world["runtime"].close(["listener"])
    assert soon(lambda: not node.runtime.up)
    for first in range(1, 200, 20):
        peer.ask(*range(first, first + 20), method="day-view")
        for _ in range(18):  # two may wait for their time to pass
            peer.answer()
    most = node.config.settings.max_runnable_per_core * node.config.settings.cores
    assert len(node.runtime._sent) <= 3 * most


def test_a_runtime_that_answers_no_gauges_fills_no_memory() -> None:
    sent = UnacknowledgedCommands()
    for number in range(1000):
        sent.mark(f"t{number}")
    assert len(sent._marks) <= 64


def test_a_notice_that_is_spoilt_on_its_way_is_asked_for_again(world: dict[str, Any]) -> None:
    """It counted as taken before: its run never ended for the node, and kept its place on the cores."""
    runtime, peer = world["runtime"], Peer(world["node"].node)
    peer.ask(1)
    runtime.expect(["start", "*", "as", "X"])
    call = world["names"]["X"]
    runtime.send(["raw", f'{{"msg":"end","serial":1,"call":"{call}","how":"ok","duration":3,"blob":"?"}}'])
    runtime.expect(["closed"])
    runtime.expect(["sync", "0"])  # and not 1
    runtime.send(["end", call, "ok", "r"])
    assert peer.answer()[3][0] == b"r"


def test_a_notice_that_stays_unreadable_ends_its_run_and_the_link_goes_on(world: dict[str, Any]) -> None:
    runtime, peer = world["runtime"], Peer(world["node"].node)
    peer.ask(1)
    runtime.expect(["start", "*", "as", "X"])
    call = world["names"]["X"]
    for _ in range(2):
        runtime.send(["raw", f'{{"msg":"end","serial":1,"call":"{call}","how":"odd","duration":3}}'])
        if _ == 0:
            runtime.expect(["closed"])
            runtime.expect(["sync", "0"])
    assert peer.answer()[2][0] == "Error"
    peer.ask(2)
    runtime.expect(["start", "*"])


class Reloads:
    """Has a node take up one file after the other."""

    def __init__(self, world: dict[str, Any]) -> None:
        self.world, self.node = world, world["node"].node

    def read(self, **changes: Any) -> Config:
        told = platform_config(self.world, **changes)
        return merge(parse_platform(told, {}), self.node.config.operator)


def test_a_reload_for_which_the_owner_has_no_time_changes_nothing_later(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    reloads, hold = Reloads(world), threading.Event()
    node = reloads.node
    ask = node.core.run_on_loop
    monkeypatch.setattr(node.core, "run_on_loop", lambda action, timeout=0.1: ask(action, timeout))
    node.core.post(EventLoopTask(lambda: hold.wait(parties.PATIENCE_S), Future()))
    try:
        assert not node.reload(lambda: reloads.read(settings=retuned({"add": "extra"})))
    finally:
        hold.set()
    monkeypatch.setattr(node.core, "run_on_loop", ask)
    assert (
        node.core.run_on_loop(lambda: "extra" in node.core.class_names) is False
    )  # behind what was given up
    assert node.core.stats.snapshot()["sighup_rejected"] == 1


def test_a_reload_that_fails_half_way_is_counted_and_said(
    world: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    reloads = Reloads(world)

    def fails(address: Address) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(reloads.node.vault, "move", fails)
    assert not reloads.node.reload(reloads.read)
    assert reloads.node.core.stats.snapshot()["sighup_rejected"] == 1


def test_many_reloads_behind_a_file_that_can_not_be_read_yet_take_two_threads(world: dict[str, Any]) -> None:
    reloads, hold = Reloads(world), threading.Event()

    def slow() -> Config:
        hold.wait(parties.PATIENCE_S)
        return reloads.read()

    threads = [threading.Thread(target=lambda: reloads.node.reload(slow)) for _ in range(20)]
    for thread in threads:
        thread.start()
    assert soon(lambda: sum(thread.is_alive() for thread in threads) == 2)
    hold.set()
    for thread in threads:
        thread.join()
    assert reloads.node.core.stats.snapshot()["sighup_applied"] == 2


def test_a_class_dropped_just_before_another_reload_is_still_taken(world: dict[str, Any]) -> None:
    reloads, peer = Reloads(world), Peer(world["node"].node)
    assert reloads.node.reload(lambda: reloads.read(settings=retuned({"drop": "day-view"})))
    assert reloads.node.reload(lambda: reloads.read(settings=retuned({"drop": "day-view", "add": "extra"})))
    peer.ask(1, method="day-view")
    world["runtime"].expect(["start", "*", "day-view"])


def test_a_part_of_a_message_that_went_out_counts_as_sent() -> None:
    """The vault makes a call again on a False; it may have run."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    outbox = SendBuffer(near, limit=1000)
    assert outbox.send(b"x" * 1_000_000) is True
    assert outbox.closed
    assert outbox.send(b"x") is False
    far.close()
    outbox.release()


def test_the_file_of_a_reload_does_not_make_a_cold_node_warm() -> None:
    made = Core(settings(SAFE, cold_start=True), [], 1, Backend())
    made.begin()
    made.apply_settings(settings(SAFE, MUST_CALL, cold_start=False), [], ["safe", "must"])
    assert made.settings.cold_start
    assert made._controller.concurrency.is_warming_up(made.now_us)


def test_a_listener_serves_so_many_at_once_and_gives_a_place_back_where_no_thread_is_to_be_had(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hold, counters = threading.Event(), Counters()
    served: list[Address] = []
    failed: list[str] = []

    def serve(sock: socket.socket, peer: Address) -> None:
        with sock:
            served.append(peer)
            hold.wait(parties.PATIENCE_S)

    listener = Listener("some", ("127.0.0.1", 0), counters, serve, most=2)
    listener.start()
    start = threads.start_thread

    def no_thread(name: str, work: Callable[[], object]) -> threading.Thread:
        failed.append(name)
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(listener_module, "start_thread", no_thread)
    for number in range(3):  # each would keep its place for good
        with socket.create_connection(listener.address, parties.PATIENCE_S) as sock:
            assert sock.recv(1) == b""
            assert len(failed) == number + 1
    monkeypatch.setattr(listener_module, "start_thread", start)
    socks = [socket.create_connection(listener.address, parties.PATIENCE_S) for _ in range(5)]
    assert soon(lambda: counters.snapshot().get("some.turned_away") == 3)
    assert len(served) == 2
    hold.set()
    listener.stop()
    for sock in socks:
        sock.close()
