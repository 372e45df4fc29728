"""Measure the drain of a node that shares one core with busy processes.

The node is the program itself in a process of its own, pinned to one core together with the busy processes.
Its callers and its runtime run in the event loop of this process, on the other cores. They count the outcomes
of the requests, and how often a rule of the drain was violated. Used by the tests, and by hand:

    PYTHONPATH=. python tests/starved.py --busy 0 1 3 7 --runs 3 --connects 230
"""

import argparse
import array
import asyncio
import base64
import contextlib
import dataclasses
import fcntl
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import termios
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import scenario
from helpers import free_address

from reelusher.codecs import lines, msgpack
from reelusher.core.scheduling_lag import SchedulingLag

ROOT = Path(__file__).parent.parent
BUSY_PROGRAM = "import os, time\nwhile os.getppid() == {parent}:\n    for _ in range(100000): pass"
SLACK_S = 0.08 + 0.05  # by which an answer may exceed its deadline: answer_slack_us, and 50 ms for sockets
# A request that was sent this shortly before the end of its connection crossed the close: its caller sends it
# again, so it is not lost.
CROSSING_S = 0.05
MOST_ON_ONE = 32
LAG_INTERVAL_S = 0.01  # between two observations of how late the callers' event loop runs
TIMEOUT_MARGIN_S = 8.0  # margin of the time limit of one drain


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """The load of the callers, the settings of the drain, and the share of a core that the node gets."""

    busy_processes: int = 0  # which share the core of the node
    requests_per_s: float = 120.0
    new_connections_per_s: float = 0.0  # connections that stay open; one request is sent when they open
    load_before_s: float = 1.5  # from the start of the load to SIGTERM
    arrivals_after_s: float = 3.5  # from SIGTERM to the end of the load: callers learn late of a drain
    stop_ms: int = 4000
    grace_ms: int = 1500
    work_ms: float = 15.0  # processor time of each run
    seed: int = 1
    sighup_before_s: float = -1.0  # from SIGHUP to SIGTERM; negative: no SIGHUP


@dataclasses.dataclass(slots=True, frozen=True)
class LostRequest:
    """A lost request as its caller saw it; times in seconds after the start of the load."""

    port: int  # of the caller
    body: str
    connected_s: float
    sent_s: float
    ended_s: float
    last_call_s: float | None  # when the notice `lastCall` was read, if it was
    ended_by: str
    answered_before: int  # requests that were answered on the connection
    unacknowledged_bytes: int  # that the kernel of the node had not acknowledged
    caller_lag_s: float  # the largest recent lag of the callers' event loop


class Tally(Counter[str]):
    """Counts of served, refused and failed requests, of refused connections and of violations of `RULES`."""

    exit_ms = 0.0
    status: int | None = None
    log = ""

    def __init__(self) -> None:
        super().__init__()
        self.lost_requests: list[LostRequest] = []

    def violations(self) -> dict[str, int]:
        """Return how often each rule was violated, without those that hold."""
        return {name: self[name] for name in RULES if self[name]}


# Counts that must stay 0: requests without an answer at the end of their connection, answers after the
# deadline, second answers, answers to no request or with a wrong body, runs of requests that were sent after
# the grace period, second runs of a key, and processes that did not exit with status 0 in time.
RULES = ("lost", "late", "twice", "bad_answer", "run_after_grace", "key_run_twice", "not_left")


class Runtime:
    """A stand-in for the runtime: runs each request for `work_ms` on one of two cores, and answers gauges."""

    def __init__(self, load: Load, tally: Tally, rig: "Rig") -> None:
        self.load, self.tally, self.rig = load, tally, rig
        self.serial, self.running, self.core_free_at_s = 0, 0, [0.0, 0.0]
        self.busy_spans: list[tuple[float, float]] = []
        self.keys: Counter[str] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            message = json.loads(line)
            match message["msg"]:
                case "sync":
                    writer.write(lines.encode_json_line({"msg": "ready", "how": "warm", "duration": 60000}))
                case "gauges":
                    now = time.monotonic()
                    self.busy_spans = [span for span in self.busy_spans if span[1] > now - 0.5]
                    used = sum(
                        min(now, end) - max(begin, now - 0.5) for begin, end in self.busy_spans if begin < now
                    )
                    writer.write(
                        lines.encode_json_line(
                            {
                                "msg": "load",
                                "cookie": message["cookie"],
                                "stats": [min(1.0, max(0.0, used)), self.running, 0.1, 3],
                            }
                        )
                    )
                case "start":
                    self.start(writer, message)

    def start(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        run_id, now = message["call"], time.monotonic()
        body = base64.b64decode(message["blob"]).decode()
        if self.rig.grace_end_s is not None and self.rig.sent_at_s.get(run_id, 0.0) > self.rig.grace_end_s:
            self.tally["run_after_grace"] += 1
        if body.startswith("key-"):
            self.keys[body] += 1
            self.tally["key_run_twice"] += self.keys[body] > 1
        core = self.core_free_at_s.index(min(self.core_free_at_s))
        begin = max(now, self.core_free_at_s[core])
        end = self.core_free_at_s[core] = begin + self.load.work_ms / 1000
        self.busy_spans.append((begin, end))
        self.running += 1
        asyncio.get_running_loop().call_later(end - now, self.end, writer, run_id, body)

    def end(self, writer: asyncio.StreamWriter, run_id: str, body: str) -> None:
        self.running -= 1
        self.serial += 1
        if not writer.is_closing():
            writer.write(
                lines.encode_json_line(
                    {
                        "msg": "end",
                        "serial": self.serial,
                        "call": run_id,
                        "how": "ok",
                        "duration": self.load.work_ms,
                        "blob": lines.encode_body(body.encode()),
                    }
                )
            )


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, which sends requests and checks their answers."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.decoder, self.numbers = rig, msgpack.Decoder(), itertools.count(1)
        self.unanswered: dict[int, tuple[str, float, str]] = {}  # run id, time of sending and body
        self.answered: set[int] = set()
        self.last_call_received = self.closed = False
        self.connected_s = time.monotonic()
        self.last_call_s: float | None = None
        self.ended_by = "the end of the measurement"
        self.transport: asyncio.Transport | None = None
        self.new = True  # no request was answered on this connection yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send_request(self, method: str, body: str, key: str) -> None:
        number, now, rig = next(self.numbers), time.monotonic(), self.rig
        run_id = f"{next(rig.sequence):016x}"
        fields = {"txn": run_id, "lb": "1", "ram": "10", "cpu": "5", "door": str(time.time_ns() // 1_000_000)}
        if key:
            fields["unique"] = key
        assert self.transport is not None
        self.transport.write(msgpack.pack([0, number, method, [fields, body.encode()]]))
        self.unanswered[number] = run_id, now, body
        rig.sent_at_s[run_id] = now
        rig.tally["asked"] += 1

    def data_received(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.handle_message(message)
        if self.last_call_received and not self.unanswered and self.transport is not None:
            self.ended_by = "the caller"
            self.transport.close()

    def eof_received(self) -> None:
        self.ended_by = "the node"

    def handle_message(self, message: Any) -> None:
        tally, now = self.rig.tally, time.monotonic()
        if message[0] == 2:
            self.last_call_received, self.last_call_s = True, now
            return
        _, number, error, result = message
        if number in self.answered:
            tally["twice"] += 1
            return
        if number not in self.unanswered:
            tally["bad_answer"] += 1
            return
        _, sent_at_s, body = self.unanswered.pop(number)
        self.answered.add(number)
        self.new = False
        if error is None:
            tally["bad_answer"] += result[0] != body.encode()
        deadline_s = 1.0 if body.startswith("day-") else 7.7
        tally["late"] += now - sent_at_s > deadline_s + SLACK_S
        tally["served" if error is None else "refused" if error[0] == "Full" else "failed"] += 1

    def connection_lost(self, error: Exception | None) -> None:
        if self.closed:
            return
        now, self.closed = time.monotonic(), True
        self.rig.connections.discard(self)
        if error is not None:
            self.ended_by = repr(error)
        for _, sent_at_s, body in self.unanswered.values():
            crossed = self.new or now - sent_at_s <= CROSSING_S
            self.rig.tally["crossed" if crossed else "lost"] += 1
            if not crossed:
                self.rig.tally.lost_requests.append(self.trace(sent_at_s, body, now))

    def trace(self, sent_at_s: float, body: str, ended_s: float) -> LostRequest:
        assert self.transport is not None
        sock, begin_s = self.transport.get_extra_info("socket"), self.rig.begin_s
        return LostRequest(
            self.transport.get_extra_info("sockname")[1],
            body,
            round(self.connected_s - begin_s, 4),
            round(sent_at_s - begin_s, 4),
            round(ended_s - begin_s, 4),
            None if self.last_call_s is None else round(self.last_call_s - begin_s, 4),
            self.ended_by,
            len(self.answered),
            unacknowledged_bytes(sock),
            round(self.rig.lag.lag_s(ended_s), 4),
        )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes were written to a TCP socket and not acknowledged by its peer's kernel."""
    size = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    return size[0]


class Rig:
    """One node with its callers and its runtime, from its start to its end."""

    def __init__(self, load: Load) -> None:
        self.load, self.tally, self.random = load, Tally(), random.Random(load.seed)
        self.sequence = itertools.count(1)
        self.connections: set[CallerConnection] = set()
        self.sent_at_s: dict[str, float] = {}
        self.grace_end_s: float | None = None
        self.listen_address = ("127.0.0.1", 0)
        self.begin_s = 0.0
        self.lag = SchedulingLag()  # of the event loop that runs the callers and the runtime
        self.tasks: set[asyncio.Task[None]] = set()
        self.runtime = Runtime(load, self.tally, self)

    async def run(self) -> Tally:
        self.listen_address = free_address()
        server = await asyncio.start_server(self.runtime.serve, "127.0.0.1", 0)
        runtime = "{}:{}".format(*server.sockets[0].getsockname())
        rules = {**scenario.SETTINGS["rules"], "drain_grace_us": self.load.grace_ms * 1000}
        family_info = {**scenario.SETTINGS["family_info"], "class_calls": [False] * 3, "ram_kb": 200_000.0}
        settings = {**scenario.SETTINGS, "rules": rules, "family_info": family_info}
        with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
            path, log = Path(folder) / "config.json", Path(folder) / "log"
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": "{}:{}".format(*self.listen_address),
                        "runtime": runtime,
                        "seed": "8c1f",
                        "stop_ms": self.load.stop_ms,
                        "settings": settings,
                        "limits": {"sockets": 1024},
                    }
                )
            )
            node = stack.enter_context(
                pinned([sys.executable, "-O", "-m", "reelusher"], log, {"PROXY_CONFIG": str(path)})
            )
            await self.wait_until_up(node)
            for _ in range(self.load.busy_processes):
                stack.enter_context(
                    pinned([sys.executable, "-c", BUSY_PROGRAM.format(parent=os.getpid())], None, {})
                )
            await self.run_drain(node)
            self.tally.log = "\n".join([*map(str, self.tally.lost_requests), log.read_text()])
        server.close()
        return self.tally

    async def wait_until_up(self, node: "subprocess.Popen[bytes]") -> None:
        until = time.monotonic() + 60
        while time.monotonic() < until and node.poll() is None:
            with contextlib.suppress(OSError):
                await self.connect()
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the node did not start")

    async def connect(self) -> CallerConnection:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: CallerConnection(self), *self.listen_address
        )
        self.connections.add(connection)
        return connection

    async def run_drain(self, node: "subprocess.Popen[bytes]") -> None:
        load, loop = self.load, asyncio.get_running_loop()
        self.begin_s = loop.time()
        tasks = [
            asyncio.ensure_future(self.arrivals(load.requests_per_s, False)),
            asyncio.ensure_future(self.observe_lag()),
        ]
        if load.new_connections_per_s:
            tasks.append(asyncio.ensure_future(self.arrivals(load.new_connections_per_s, True)))
        if load.sighup_before_s >= 0:
            loop.call_later(load.load_before_s - load.sighup_before_s, node.send_signal, signal.SIGHUP)
        await asyncio.sleep(load.load_before_s)
        term_s = time.monotonic()
        self.grace_end_s = term_s + load.grace_ms / 1000 + 0.05
        node.send_signal(signal.SIGTERM)
        while node.poll() is None and time.monotonic() < term_s + load.stop_ms / 1000:
            await asyncio.sleep(0.005)
        self.tally.exit_ms, self.tally.status = (time.monotonic() - term_s) * 1000, node.poll()
        self.tally["not_left"] += self.tally.status != 0
        if self.tally.status is None:
            node.kill()
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.3)  # receive the answers that are on their way
        for connection in list(self.connections):
            connection.connection_lost(None)

    async def observe_lag(self) -> None:
        while True:
            due_s = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            now = time.monotonic()
            self.lag.observe(now - due_s, now)

    async def arrivals(self, rate: float, always_new: bool) -> None:
        """Send requests at random times, independent of their answers."""
        at_s, end = self.begin_s, self.begin_s + self.load.load_before_s + self.load.arrivals_after_s
        while (at_s := at_s + self.random.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))
            task = asyncio.ensure_future(self.send_request(always_new))
            self.tasks.add(task)  # the event loop holds only weak references to tasks
            task.add_done_callback(self.tasks.discard)

    async def send_request(self, always_new: bool) -> None:
        usable = [
            connection
            for connection in self.connections
            if not connection.last_call_received and not connection.closed and len(connection.unanswered) < 4
        ]
        if always_new or not usable:
            try:
                connection = await self.connect()
            except OSError:
                self.tally["refused_connection"] += 1
                return
        else:
            connection = self.random.choice(usable)
        method = self.random.choice(("slot-search", "day-view", "book-visit"))
        number = next(self.sequence)
        if method == "book-visit":  # three in ten repeat a number, whose key may have been sent before
            key = f"key-{number if self.random.random() < 0.7 else self.random.randrange(number)}"
            connection.send_request(method, key, key)
        else:
            connection.send_request(method, f"{'day' if method == 'day-view' else 'slot'}-{number}", "")


def shared_core() -> int:
    """Return the core of the node and the busy processes: the last one that this process may use."""
    return max(ALLOWED_CORES)


ALLOWED_CORES = os.sched_getaffinity(0)


@contextlib.contextmanager
def pinned(
    command: list[str], log: Path | None, environment: dict[str, str]
) -> Iterator["subprocess.Popen[bytes]"]:
    """Run a program on the shared core until the end of the block."""
    out = log.open("wb") if log else subprocess.DEVNULL
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env={**os.environ, **environment},
        stdout=out,
        stderr=out,
        preexec_fn=lambda: os.sched_setaffinity(0, {shared_core()}),
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def measure_drain(load: Load) -> Tally:
    """Start a node, drain it under load and return the counts.

    This process keeps off the shared core meanwhile, unless it has no other.
    """
    other_cores = ALLOWED_CORES - {shared_core()} or ALLOWED_CORES
    os.sched_setaffinity(0, other_cores)
    try:
        timeout_s = load.load_before_s + load.stop_ms / 1000 + 60 + TIMEOUT_MARGIN_S
        return asyncio.run(asyncio.wait_for(Rig(load).run(), timeout_s))
    finally:
        os.sched_setaffinity(0, ALLOWED_CORES)


def main() -> None:
    """Print the counts of each drain, and the violated rules for each number of busy processes."""
    parser = argparse.ArgumentParser(description="Drains of a node with little processor time.")
    parser.add_argument("--busy", type=int, nargs="+", default=[0, 1, 3, 7])
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--connects", type=float, default=0.0)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--hup", type=float, default=-1.0)
    parser.add_argument("--log", action="store_true")
    arguments = parser.parse_args()
    for busy in arguments.busy:
        total, drains_with_violations = Tally(), 0
        for seed in range(arguments.runs):
            tally = measure_drain(
                Load(busy, arguments.rate, arguments.connects, seed=seed, sighup_before_s=arguments.hup)
            )
            drains_with_violations += bool(tally.violations())
            total.update(tally)
            print(
                f"1/{busy + 1} of a core, seed {seed}: left after {tally.exit_ms:.0f} ms, {tally.status}; "
                f"{dict(sorted(tally.items()))}",
                flush=True,
            )
            if arguments.log:
                print(tally.log)
        print(
            f"1/{busy + 1} of a core: {drains_with_violations} of {arguments.runs} drains broke a rule, "
            f"{total['served'] / max(1, total['asked']):.3f} served; {total.violations()}",
            flush=True,
        )


if __name__ == "__main__":
    main()
