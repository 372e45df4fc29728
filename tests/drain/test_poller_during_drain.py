"""What a drain relies on: the timers and calls of the poller, and send buffers that end completely."""

import socket
import threading
import time
from itertools import pairwise

from reelusher.core.counters import Counters
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import SendBuffer


def test_send_buffer_is_shut_down_only_when_all_is_sent_and_closed_by_its_last_user() -> None:
    near, far = socket.socketpair()
    outbox = SendBuffer(near, limit=32 << 20)
    outbox.send(b"x" * (8 << 20))
    assert outbox.backlog
    assert not outbox.shut()
    got = 0
    while got < 8 << 20:
        got += len(far.recv(1 << 20))
    until = time.monotonic() + 10
    while not outbox.shut():
        assert time.monotonic() < until
        time.sleep(0.01)
    assert far.recv(10) == b""
    outbox.release()
    far.close()


def test_poller_runs_its_timers_however_much_arrives() -> None:
    """A round through all sockets took seconds on a starved core, and the stages of a drain came too late."""
    poller, looks, pairs = Poller("test-poller", Counters()), list[float](), []
    for _ in range(40):
        near, far = socket.socketpair()
        far.send(b"never read")
        poller.watch(near, lambda: time.sleep(0.02))
        pairs += [near, far]
    poller.every(0.05, lambda: looks.append(time.monotonic()))
    poller.start()
    time.sleep(1.0)
    poller.close()
    gaps = [b - a for a, b in pairwise(looks)]
    assert len(looks) >= 4
    assert sorted(gaps)[len(gaps) // 2] < 0.4
    for sock in pairs:
        sock.close()


def test_poller_runs_calls_before_it_reads_what_arrived_meanwhile() -> None:
    """A drain that was asked for while the poller was late came behind what the poller had found to read."""
    poller, order, over = Poller("test-poller", Counters()), list[str](), threading.Event()
    near, far = socket.socketpair()

    def slow() -> None:
        poller.call(lambda: order.append("asked for meanwhile"))  # as another thread would meanwhile
        order.append("slow")

    def read() -> None:
        near.recv(100)
        order.append("read")
        over.set()

    poller.watch(near, read)
    far.send(b"here before the poller looks")
    poller.call(slow)
    poller.start()
    assert over.wait(10)
    poller.close()
    assert order == ["slow", "asked for meanwhile", "read"]
    near.close()
    far.close()


def test_poller_reads_although_each_call_calls_again() -> None:
    poller, over = Poller("test-poller", Counters()), threading.Event()
    near, far = socket.socketpair()

    def again() -> None:
        if not over.is_set():
            poller.call(again)

    poller.watch(near, over.set)
    far.send(b"here")
    poller.call(again)
    poller.start()
    assert over.wait(10)
    poller.close()
    near.close()
    far.close()
