"""Leaving: the plan of a drain, the time of its signal, the end of connections, and a node on little CPU."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Collection, Iterator, Sequence
from itertools import pairwise
from pathlib import Path

import pytest
import scenario
import starved
from hypothesis import given
from hypothesis import strategies as st
from test_core import CoreHarness

from reelusher.core.counters import Counters
from reelusher.core.messages import DrainRequested, Verdict
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.drain.schedule import Facts, Quiet, Stages, Step, cheapest_first, next_step, stages
from reelusher.drain.signals import SignalWatch
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import SendBuffer

ROOT = Path(__file__).parent.parent
PLAN = Stages(0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0)


def times(plan: Stages) -> list[float]:
    """Return the times of a plan in their order."""
    return [plan.signal_s, plan.tell_s, plan.refuse_s, plan.answer_s, plan.shut_s, plan.leave_s, plan.stop_s]


@given(st.floats(0, 1e6), st.floats(0.05, 60), st.floats(0, 20), st.floats(-1, 100), st.floats(0, 100))
def test_the_stages_of_a_drain_come_in_order_and_never_later_on_a_later_process(
    signal_s: float, span_s: float, grace_s: float, late_s: float, later_s: float
) -> None:
    plan = stages(signal_s, span_s, grace_s, late_s)
    assert times(plan) == sorted(times(plan))
    assert plan.stop_s == signal_s + span_s
    assert plan.leave_s < plan.stop_s or span_s < 1e-6 * signal_s
    assert plan.tell_s - signal_s <= min(grace_s, span_s / 2) + 1e-6 * (1 + signal_s)
    worse = stages(signal_s, span_s, grace_s, max(late_s, later_s))
    assert all(a <= b + 1e-9 * (1 + signal_s) for a, b in zip(times(worse), times(plan), strict=True))
    joined = worse.no_later_than(plan)
    assert times(joined) == sorted(times(joined))
    over = plan.over_at(plan.tell_s)
    assert times(over) == sorted(times(over))
    assert over.leave_s <= plan.leave_s


@pytest.mark.parametrize(
    ("step", "facts", "now_s", "wanted"),
    [
        (Step.SERVED, Facts(0, 0, 0), 0.5, Step.SERVED),
        (Step.SERVED, Facts(3, 0, 0), 1.0, Step.TOLD),
        (Step.TOLD, Facts(0, 0, 0), 3.9, Step.TOLD),  # a request may still cross what it was told
        (Step.TOLD, Facts(0, 0, 0), 4.0, Step.SHUT),
        (Step.TOLD, Facts(1, 0, 0), 4.5, Step.TOLD),
        (Step.TOLD, Facts(0, 9, 0), 4.5, Step.TOLD),
        (Step.TOLD, Facts(1, 9, 0), 5.0, Step.SHUT),  # no time is left for what is owed
        (Step.TOLD, Facts(0, 0, 1), 5.0, Step.TOLD),  # never with bytes that nobody has read
        (Step.SHUT, Facts(0, 0, 0), 4.9, Step.SHUT),
        (Step.SHUT, Facts(0, 0, 0), 5.0, Step.ENDED),
    ],
)
def test_a_connection_is_shut_once_nothing_is_owed_on_it(
    step: Step, facts: Facts, now_s: float, wanted: Step
) -> None:
    assert next_step(step, facts, now_s, PLAN) is wanted


def test_what_costs_least_comes_first_when_time_is_short() -> None:
    facts = [Facts(1, 5000, 0), Facts(0, 0, 900), Facts(2, 0, 0), Facts(0, 0, 0), Facts(0, 0, 40)]
    assert [facts.index(one) for one in sorted(facts, key=cheapest_first)] == [3, 2, 4, 1, 0]


def test_a_drain_ends_early_only_after_fresh_looks_found_nothing_for_the_time_of_a_crossing() -> None:
    quiet, nothing = Quiet(), Facts(0, 0, 0)
    assert not quiet.over([(nothing, 1.0)], 1.0, PLAN)
    assert not quiet.over([(nothing, 1.1), (Facts(0, 0, 7), 1.1)], 1.1, PLAN)
    assert not quiet.over([(nothing, 1.25)], 1.25, PLAN)
    assert not quiet.over([(nothing, 1.25), None], 1.32, PLAN)  # a front that has not looked yet
    assert not quiet.over([(nothing, 1.3)], 1.5, PLAN)  # who looks has not run since
    assert not quiet.over([(nothing, 1.69)], 1.69, PLAN)
    assert quiet.over([(nothing, 1.71)], 1.71, PLAN)


def test_the_worst_lateness_fades() -> None:
    pace = SchedulingLag()
    pace.observe(0.4, 10.0)
    pace.observe(0.01, 10.1)
    assert 0.35 < pace.lag_s(10.1) < 0.4
    assert pace.lag_s(12.0) == pytest.approx(0.2)
    assert pace.lag_s(40.0) < 0.001


def test_the_earliest_time_of_a_signal_is_proved_however_late_the_watch_runs() -> None:
    """The thread that looks gets its turn two seconds late each time; the signal comes at 103.4."""
    now, looks = 100.0, list[float]()

    def sleep(seconds: float) -> None:
        nonlocal now
        now += seconds + 2.0

    def pending() -> Collection[signal.Signals]:
        looks.append(now)
        return {signal.SIGUSR1, signal.SIGCHLD} if now >= 103.4 else {signal.SIGCHLD}

    before = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        signal.raise_signal(signal.SIGUSR1)
        watch = SignalWatch([signal.SIGUSR1], lambda: now, pending)
        while (found := watch.look()) is None:
            sleep(0.05)
        came, earliest_s = found
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert came is signal.SIGUSR1
    assert earliest_s == looks[-2] <= 103.4 < looks[-1]


def test_a_pending_signal_that_another_thread_takes_first_holds_nothing_up() -> None:
    """A thread that blocks nothing may take it between the look and the wait, which then never ended."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
    try:
        watch = SignalWatch([signal.SIGUSR1], pending=lambda: {signal.SIGUSR1})  # which is gone by then
        found: list[object] = []
        thread = threading.Thread(target=lambda: found.append(watch.look()), daemon=True)
        thread.start()
        thread.join(5)
        assert found == [None]
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


# A thread that was there before the program, as one of a preloaded library is, and blocks no signal.
FOREIGN = """
import runpy, sys, threading, time
threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
runpy.run_module("reelusher", run_name="__main__", alter_sys=True)
"""


@contextlib.contextmanager
def program(
    folder: Path, stop_ms: int, words: Sequence[str] = ("-m", "reelusher")
) -> Iterator["subprocess.Popen[bytes]"]:
    """Run the program until the end of the block; it serves when that begins."""
    path = folder / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as free:
        place = "{}:{}".format(*free.getsockname())
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": place,
                "runtime": "127.0.0.1:1",
                "stop_ms": stop_ms,
                "settings": scenario.SETTINGS,
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-O", *words],
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        while b"listens on" not in (line := process.stderr.readline()):
            assert line, "it has ended"
        yield process
    finally:
        process.kill()


def test_signals_are_still_taken_after_the_process_was_stopped_and_continued(tmp_path: Path) -> None:
    """A platform that limits CPU does so; an interrupted wait once ended the thread for signals."""
    with program(tmp_path, 1000) as process:
        for _ in range(20):  # longer than a look, so that each wait is over when it goes on
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.06)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=30)
        assert process.returncode == 0
        assert b"a thread failed" not in errors


def test_a_signal_given_to_a_thread_that_blocks_none_drains_as_any_other(tmp_path: Path) -> None:
    """The fleet's bench delivers signals past the mask: SIGTERM ended nodes at once, with all in hand."""
    with program(tmp_path, 1000, ("-c", FOREIGN)) as process:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=30)
        assert b"reload: new addresses: none" in errors
        assert b"left after" in errors
        assert process.returncode == 0


def test_the_grace_counts_from_the_signal_and_a_later_order_only_shortens() -> None:
    harness = CoreHarness()
    began = harness.time
    harness.process(
        DrainRequested(began + 4_000_000, began - 500_000)
    )  # noticed half a second late; the grace is 2 s
    harness.process(DrainRequested(began + 5_000_000, began - 500_000))
    assert harness.core.requests.stop_us == began + 4_000_000
    harness.time += 1_490_000
    harness.process(harness.request("in time"))
    harness.time += 20_000
    harness.process(harness.request("after"))
    assert ("start", "in time") in harness.backend.said
    assert harness.verdicts("after") == [Verdict.REJECTED]
    harness.process(DrainRequested(began + 3_000_000, began - 500_000))
    assert harness.core.requests.stop_us == began + 3_000_000


def test_an_outbox_is_shut_only_when_all_is_sent_and_is_closed_by_its_last_user() -> None:
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


def test_a_poller_looks_at_the_clock_however_much_comes_in() -> None:
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


def test_a_poller_does_what_was_asked_for_before_it_reads_what_came_meanwhile() -> None:
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


def test_a_poller_reads_though_what_it_is_asked_for_asks_again_each_time() -> None:
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


def test_a_drain_begins_while_a_reload_waits_for_its_file(tmp_path: Path) -> None:
    """One thread took all signals, so a file that could not be read held SIGTERM up until the kill."""
    with program(tmp_path, 2000) as process:
        path = tmp_path / "config.json"
        path.unlink()
        os.mkfifo(path)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


@pytest.mark.parametrize(
    "load",
    [
        starved.Load(busy=9, rate=120.0, connects=0.0, seed=1),
        starved.Load(busy=9, rate=40.0, connects=230.0, seed=2, hup_s=0.2),
    ],
    ids=["callers", "connections"],
)
def test_a_drain_on_a_tenth_of_a_core_keeps_the_rules(load: starved.Load) -> None:
    tally = starved.play(load)
    broken = tally.broken()
    broken.pop("late", None)  # how late a starved node answers depends on the machine
    assert broken == {}, f"{dict(tally)}\n{tally.log}"
    assert tally["served"] > 0, f"{dict(tally)}\n{tally.log}"
