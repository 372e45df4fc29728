"""What drains rely on: timers and calls of the poller run on time, and send buffers are sent completely."""

import os
import socket
import threading
import time
from functools import partial
from itertools import pairwise

import pytest
from helpers import wait_until

from reelusher.core.counters import Counters
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import SendBuffer


def test_send_buffer_is_shut_down_only_when_all_is_sent_and_closed_on_release() -> None:
    near, far = socket.socketpair()
    send_buffer = SendBuffer(near, limit=32 << 20)
    send_buffer.send(b"x" * (8 << 20))
    assert send_buffer.backlog
    assert not send_buffer.shutdown_write()
    received = 0
    while received < 8 << 20:
        received += len(far.recv(1 << 20))
    deadline_s = time.monotonic() + 10
    while not send_buffer.shutdown_write():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    assert far.recv(10) == b""
    send_buffer.release()
    far.close()


def test_poller_runs_its_timers_on_time_with_many_readable_sockets() -> None:
    """Guard against phases of a drain that start too late.

    On a starved core, one pass over all readable sockets took seconds, and no timer ran meanwhile.
    """
    poller, timer_runs_s, sockets = Poller("test-poller", Counters()), list[float](), []
    for _ in range(40):
        near, far = socket.socketpair()
        far.send(b"never read")
        poller.watch(near, lambda: time.sleep(0.02))
        sockets += [near, far]
    poller.every(0.05, lambda: timer_runs_s.append(time.monotonic()))
    poller.start()
    time.sleep(1.0)
    poller.close()
    intervals_s = [b - a for a, b in pairwise(timer_runs_s)]
    assert len(timer_runs_s) >= 4
    assert sorted(intervals_s)[len(intervals_s) // 2] < 0.4
    for sock in sockets:
        sock.close()


def test_poller_gives_sockets_as_much_time_as_timers_that_are_always_due() -> None:
    """Guard against slow timers that leave time for one socket in each round.

    On a starved core, a drain polled hundreds of connections for longer than its interval, again and again.
    """
    poller, served, timer_runs, all_served = (
        Poller("test-poller", Counters()),
        set[int](),
        0,
        threading.Event(),
    )
    sockets = [socket.socketpair() for _ in range(100)]

    def slow_timer() -> None:
        nonlocal timer_runs
        timer_runs += not all_served.is_set()
        time.sleep(0.05)

    def read(near: socket.socket) -> None:
        near.recv(100)
        time.sleep(0.001)
        served.add(near.fileno())
        if len(served) == len(sockets):
            all_served.set()

    for near, far in sockets:
        poller.watch(near, partial(read, near))
        far.send(b"request")
    poller.every(0.01, slow_timer)
    time.sleep(0.01)  # the timer is due in the first round already
    poller.start()
    assert all_served.wait(30)
    poller.close()
    assert timer_runs < len(sockets) / 2
    for pair in sockets:
        for sock in pair:
            sock.close()


def test_poller_runs_calls_before_it_reads_ready_sockets() -> None:
    """Guard against a drain that starts late.

    A drain that was requested while the poller was busy began only after all sockets that were ready by then
    had been read.
    """
    poller, order, finished = Poller("test-poller", Counters()), list[str](), threading.Event()
    near, far = socket.socketpair()

    def slow() -> None:
        poller.call(lambda: order.append("call during the slow call"))  # as another thread may do
        order.append("slow")

    def read() -> None:
        near.recv(100)
        order.append("read")
        finished.set()

    poller.watch(near, read)
    far.send(b"here before the poller looks")
    poller.call(slow)
    poller.start()
    assert finished.wait(10)
    poller.close()
    assert order == ["slow", "call during the slow call", "read"]
    near.close()
    far.close()


def test_poller_reads_sockets_although_each_call_queues_another() -> None:
    poller, finished = Poller("test-poller", Counters()), threading.Event()
    near, far = socket.socketpair()

    def queue_again() -> None:
        if not finished.is_set():
            poller.call(queue_again)

    poller.watch(near, finished.set)
    far.send(b"here")
    poller.call(queue_again)
    poller.start()
    assert finished.wait(10)
    poller.close()
    near.close()
    far.close()


def test_call_after_the_close_writes_to_no_descriptor_that_was_reused() -> None:
    """Guard against 8 bytes written to another connection or file, which reuses the closed descriptor."""
    poller = Poller("test-poller", Counters())
    wakeup_fd = poller._wakeup_fd
    poller.start()
    poller.close()
    assert poller._thread is not None
    poller._thread.join(10)
    reused, others = -1, list[int]()
    while reused != wakeup_fd:  # the lowest free descriptor comes next
        reused = os.eventfd(0, os.EFD_NONBLOCK)
        others.append(reused)
    poller.call(lambda: None)
    poller.close()
    with pytest.raises(BlockingIOError):
        os.eventfd_read(reused)
    for descriptor in others:
        os.close(descriptor)


def test_poller_serves_all_sockets_although_each_round_is_cut_short_by_a_timer() -> None:
    """Guard against sockets that are never served while those before them stay readable.

    On a busy core, a flood on some connections kept the listener and all later connections waiting.
    """
    poller, served, sockets = Poller("test-poller", Counters()), set[int](), list[socket.socket]()

    def serve(number: int) -> None:
        served.add(number)
        time.sleep(0.02)  # longer than the interval of the timer

    for number in range(10):
        near, far = socket.socketpair()
        far.send(b"never read")
        poller.watch(near, partial(serve, number))
        sockets += [near, far]
    poller.every(0.01, lambda: None)
    poller.start()
    assert wait_until(lambda: len(served) == 10, timeout_s=5)
    poller.close()
    for sock in sockets:
        sock.close()
