"""Two events that cross, on real connections, the bad order made to happen: docs/crossings.md."""

import contextlib
import socket
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import parties
import pytest
from helpers import soon
from scenario import standing

from reelusher.drain.ending import unread_bytes
from reelusher.fronts import platform
from reelusher.fronts.platform import Connection, PlatformFront
from reelusher.net import Address, Listener
from reelusher.server import Node
from reelusher.wire import ajp13, msgpack

GARBAGE = b"\xc1" * 40_000  # more than one look at a socket takes


class Peer:
    """A caller by hand: what it sends, what came back, and how its connection ended."""

    def __init__(self, node: Node, receive_bytes: int = 0) -> None:
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.settimeout(parties.PATIENCE_S)
        self.sock.connect(node.fronts["platform"].address)

    def ask(self, *numbers: int, method: str = "slot-search") -> None:
        """Ask so many requests in one piece."""
        self.sock.sendall(b"".join(asked(number, method) for number in numbers))

    def until_end(self) -> list[Any]:
        """Read to the end of the connection; a reset is an error."""
        decoder = msgpack.Decoder(1 << 14)
        came: list[Any] = []
        while data := self.sock.recv(1 << 16):
            came += decoder.feed(data)
        return came

    def answer(self) -> Any:
        """Read one answer."""
        decoder = msgpack.Decoder(1 << 14)
        while data := self.sock.recv(1 << 16):
            for message in decoder.feed(data):
                return message
        raise AssertionError("closed without an answer")


def asked(number: int, method: str = "slot-search", **more: str) -> bytes:
    fields = {"txn": f"{number:016x}", "door": str(time.time_ns() // 1_000_000), "lb": "1", "ram": "10",
              "cpu": "5", **more}
    return msgpack.pack([0, number, method, [fields] if method == "health" else [fields, b"body"]])


@pytest.fixture
def world(request: pytest.FixtureRequest) -> Iterator[dict[str, Any]]:
    changes = dict(getattr(request, "param", {}))
    with tempfile.TemporaryDirectory() as folder, standing(folder, changes) as made:
        yield made


def front_of(world: dict[str, Any]) -> PlatformFront:
    front = world["node"].node.fronts["platform"]
    assert isinstance(front, PlatformFront)
    return front


def on_poller(front: PlatformFront, work: Callable[[], object]) -> None:
    """Have the front's own thread do something, and wait for it."""
    done = threading.Event()

    def step() -> None:
        work()
        done.set()

    front._poller.call(step)
    assert done.wait(parties.PATIENCE_S)


def only(front: PlatformFront) -> Connection:
    assert soon(lambda: front.open_connections() == 1)
    return front._all()[0]


def test_a_request_between_the_last_look_and_the_close_resets_nothing(
        world: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
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
    late = [Peer(world["node"].node) for _ in range(3 * platform.SPARE)]
    for number, peer in enumerate(late, 101):
        peer.ask(number)
    for number, peer in enumerate(late, 101):
        (answer,) = peer.until_end()
        assert (answer[1], answer[2][0]) == (number, "Full")
    assert world["node"].node.counters.snapshot()["requests.read"] == len(busy)


def test_what_comes_behind_too_many_bad_requests_is_refused_and_not_run(world: dict[str, Any]) -> None:
    peer = Peer(world["node"].node)
    peer.sock.sendall(b"".join(asked(number, "no-such-class") for number in range(1, platform.MOST_BAD + 1))
                      + asked(90) + asked(91))
    errors = {message[1]: message[2][0] for message in peer.until_end()}
    assert (errors[90], errors[91], len(errors)) == ("Full", "Full", platform.MOST_BAD + 2)
    world["runtime"].expect(["nothing"])


def test_half_a_request_is_closed_without_a_reset_of_the_answer_before_it(
        world: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform, "FRAME_S", 0.2)
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
        world: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
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
        world: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform, "FRAME_S", 0.2)
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
    late = [Peer(world["node"].node) for _ in range(platform.SPARE + 4)]
    for peer in late:
        peer.ask(1, method="health")
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
