"""A rig for starvation: a node on one core that it shares with busy processes, and who talks to it.

The node is the program itself, in a process of its own, pinned with the busy ones. Callers, runtime and vault
run elsewhere, in one event loop, and count what the rules ask for. Used by the tests, and by hand:

    PYTHONPATH=. python tests/starved.py --busy 0 1 3 7 --runs 3 --connects 230
"""

import argparse
import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import scenario

from reelusher.codecs import lines, msgpack

ROOT = Path(__file__).parent.parent
BUSY = "import os, time\nwhile os.getppid() == {parent}:\n    for _ in range(100000): pass"
SLACK_S = 0.08 + 0.05  # of an answer, by the settings, and what sockets are granted
CROSSING_S = 0.05  # a request may cross a close for so long; it is then sent again, and not lost
MOST_ON_ONE = 32
LAST_S = 8.0  # a rig ends so long after the stop, whatever happens


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What callers do, and on how much of a core the node is to bear it."""

    busy_processes: int = 0  # processes that want the node's core too
    requests_per_s: float = 120.0  # requests each second
    new_connections_per_s: float = 0.0  # new connections each second that are asked once and kept
    lead_s: float = 1.5  # of service before SIGTERM
    arrivals_after_s: float = 3.5  # after it: callers hear late
    stop_ms: int = 4000
    grace_ms: int = 1500
    work_ms: float = 15.0
    seed: int = 1
    sighup_before_s: float = -1.0  # SIGHUP so long before SIGTERM; negative: none


class Tally(Counter[str]):
    """Counts: served, refused, failed, refused_connection; and what must stay 0, see `BROKEN`."""

    exit_ms = 0.0
    status: int | None = None
    log = ""

    def violations(self) -> dict[str, int]:
        """Return the rules that did not hold, and how often."""
        return {name: self[name] for name in BROKEN if self[name]}


BROKEN = ("lost", "late", "twice", "bad_answer", "run_after_grace", "key_run_twice", "not_left")


class Runtime:
    """Runs each request for a while on two cores, and answers gauges."""

    def __init__(self, load: Load, tally: Tally, rig: "Rig") -> None:
        self.load, self.tally, self.rig = load, tally, rig
        self.serial, self.running, self.free_s = 0, 0, [0.0, 0.0]
        self.busy: list[tuple[float, float]] = []
        self.keys: Counter[str] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            message = json.loads(line)
            match message["msg"]:
                case "sync":
                    writer.write(lines.encode_json_line({"msg": "ready", "how": "warm", "duration": 60000}))
                case "gauges":
                    now = time.monotonic()
                    self.busy = [span for span in self.busy if span[1] > now - 0.5]
                    used = sum(
                        min(now, end) - max(begin, now - 0.5) for begin, end in self.busy if begin < now
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
        call, now = message["call"], time.monotonic()
        body = base64.b64decode(message["blob"]).decode()
        if self.rig.grace_end_s is not None and self.rig.written.get(call, 0.0) > self.rig.grace_end_s:
            self.tally["run_after_grace"] += 1
        if body.startswith("key-"):
            self.keys[body] += 1
            self.tally["key_run_twice"] += self.keys[body] > 1
        core = self.free_s.index(min(self.free_s))
        begin = max(now, self.free_s[core])
        end = self.free_s[core] = begin + self.load.work_ms / 1000
        self.busy.append((begin, end))
        self.running += 1
        asyncio.get_running_loop().call_later(end - now, self.end, writer, call, body)

    def end(self, writer: asyncio.StreamWriter, call: str, body: str) -> None:
        self.running -= 1
        self.serial += 1
        if not writer.is_closing():
            writer.write(
                lines.encode_json_line(
                    {
                        "msg": "end",
                        "serial": self.serial,
                        "call": call,
                        "how": "ok",
                        "duration": self.load.work_ms,
                        "blob": lines.encode_body(body.encode()),
                    }
                )
            )


class Line(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.decoder, self.numbers = rig, msgpack.Decoder(), itertools.count(1)
        self.open: dict[int, tuple[str, float, str]] = {}  # call, when it was written, what it asked for
        self.done: set[int] = set()
        self.told = self.ended = False
        self.transport: asyncio.Transport | None = None
        self.new = True  # nothing was answered on it yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, method: str, body: str, key: str) -> None:
        number, now, rig = next(self.numbers), time.monotonic(), self.rig
        call = f"{next(rig.count):016x}"
        fields = {"txn": call, "lb": "1", "ram": "10", "cpu": "5", "door": str(time.time_ns() // 1_000_000)}
        if key:
            fields["unique"] = key
        assert self.transport is not None
        self.transport.write(msgpack.pack([0, number, method, [fields, body.encode()]]))
        self.open[number] = call, now, body
        rig.written[call] = now
        rig.tally["asked"] += 1

    def data_received(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.take(message)
        if self.told and not self.open and self.transport is not None:
            self.transport.close()

    def take(self, message: Any) -> None:
        tally, now = self.rig.tally, time.monotonic()
        if message[0] == 2:
            self.told = True
            return
        _, number, error, result = message
        if number in self.done:
            tally["twice"] += 1
            return
        if number not in self.open:
            tally["bad_answer"] += 1
            return
        _, written, body = self.open.pop(number)
        self.done.add(number)
        self.new = False
        if error is None:
            tally["bad_answer"] += result[0] != body.encode()
        deadline_s = 1.0 if body.startswith("day-") else 7.7
        tally["late"] += now - written > deadline_s + SLACK_S
        tally["served" if error is None else "refused" if error[0] == "Full" else "failed"] += 1

    def connection_lost(self, error: Exception | None) -> None:
        if self.ended:
            return
        now, self.ended = time.monotonic(), True
        self.rig.lines.discard(self)
        for _, written, _ in self.open.values():
            crossed = self.new or now - written <= CROSSING_S
            self.rig.tally["crossed" if crossed else "lost"] += 1


class Rig:
    """One node, from its start to its end."""

    def __init__(self, load: Load) -> None:
        self.load, self.tally, self.random = load, Tally(), random.Random(load.seed)
        self.count = itertools.count(1)
        self.lines: set[Line] = set()
        self.written: dict[str, float] = {}
        self.grace_end_s: float | None = None
        self.place = ("127.0.0.1", 0)
        self.begin_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.runtime = Runtime(load, self.tally, self)

    async def play(self) -> Tally:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.place = free.getsockname()
        server = await asyncio.start_server(self.runtime.serve, "127.0.0.1", 0)
        runtime = "{}:{}".format(*server.sockets[0].getsockname())
        rules = {**scenario.SETTINGS["rules"], "drain_grace_us": self.load.grace_ms * 1000}
        own = {**scenario.SETTINGS["family_info"], "class_calls": [False] * 3, "ram_kb": 200_000.0}
        settings = {**scenario.SETTINGS, "rules": rules, "family_info": own}
        with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
            path, log = Path(folder) / "config.json", Path(folder) / "log"
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": "{}:{}".format(*self.place),
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
            await self.up(node)
            for _ in range(self.load.busy_processes):
                stack.enter_context(pinned([sys.executable, "-c", BUSY.format(parent=os.getpid())], None, {}))
            await self.call_and_leave(node)
            self.tally.log = log.read_text()
        server.close()
        return self.tally

    async def up(self, node: "subprocess.Popen[bytes]") -> None:
        until = time.monotonic() + 60
        while time.monotonic() < until and node.poll() is None:
            with contextlib.suppress(OSError):
                await self.connect()
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the node did not come up")

    async def connect(self) -> Line:
        _, line = await asyncio.get_running_loop().create_connection(lambda: Line(self), *self.place)
        self.lines.add(line)
        return line

    async def call_and_leave(self, node: "subprocess.Popen[bytes]") -> None:
        load, loop = self.load, asyncio.get_running_loop()
        self.begin_s = loop.time()
        tasks = [asyncio.ensure_future(self.arrivals(load.requests_per_s, False))]
        if load.new_connections_per_s:
            tasks.append(asyncio.ensure_future(self.arrivals(load.new_connections_per_s, True)))
        if load.sighup_before_s >= 0:
            loop.call_later(load.lead_s - load.sighup_before_s, node.send_signal, signal.SIGHUP)
        await asyncio.sleep(load.lead_s)
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
        await asyncio.sleep(0.3)  # what is on its way to this loop
        for line in list(self.lines):
            line.connection_lost(None)

    async def arrivals(self, rate: float, always_new: bool) -> None:
        """Ask at random times, whatever comes back."""
        at, end = self.begin_s, self.begin_s + self.load.lead_s + self.load.arrivals_after_s
        while (at := at + self.random.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
            task = asyncio.ensure_future(self.ask(always_new))
            self.tasks.add(task)  # the loop keeps none alive
            task.add_done_callback(self.tasks.discard)

    async def ask(self, always_new: bool) -> None:
        ready = [line for line in self.lines if not line.told and not line.ended and len(line.open) < 4]
        if always_new or not ready:
            try:
                line = await self.connect()
            except OSError:
                self.tally["refused_connection"] += 1
                return
        else:
            line = self.random.choice(ready)
        kind = self.random.choice(("slot-search", "day-view", "book-visit"))
        number = next(self.count)
        if kind == "book-visit":  # some keys come twice
            key = f"key-{number if self.random.random() < 0.7 else self.random.randrange(number)}"
            line.ask(kind, key, key)
        else:
            line.ask(kind, f"{'day' if kind == 'day-view' else 'slot'}-{number}", "")


def core() -> int:
    """Return the core that nodes share: the last that this process may use."""
    return max(ALLOWED)


ALLOWED = os.sched_getaffinity(0)


@contextlib.contextmanager
def pinned(
    command: list[str], log: Path | None, environ: dict[str, str]
) -> Iterator["subprocess.Popen[bytes]"]:
    """Run a program on the shared core until the end of the block."""
    out = log.open("wb") if log else subprocess.DEVNULL
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env={**os.environ, **environ},
        stdout=out,
        stderr=out,
        preexec_fn=lambda: os.sched_setaffinity(0, {core()}),
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def measure_drain(load: Load) -> Tally:
    """Play one drain; this process keeps off the shared core meanwhile, if it has another."""
    rest = ALLOWED - {core()} or ALLOWED
    os.sched_setaffinity(0, rest)
    try:
        most_s = load.lead_s + load.stop_ms / 1000 + 60 + LAST_S
        return asyncio.run(asyncio.wait_for(Rig(load).play(), most_s))
    finally:
        os.sched_setaffinity(0, ALLOWED)


def main() -> None:
    """Print a line for each drain: the rules and what was served."""
    parser = argparse.ArgumentParser(description="Drains of a starved node.")
    parser.add_argument("--busy", type=int, nargs="+", default=[0, 1, 3, 7])
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--connects", type=float, default=0.0)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--hup", type=float, default=-1.0)
    parser.add_argument("--log", action="store_true")
    given = parser.parse_args()
    for busy in given.busy:
        total, broken_runs = Tally(), 0
        for seed in range(given.runs):
            tally = measure_drain(
                Load(busy, given.rate, given.connects, seed=seed, sighup_before_s=given.hup)
            )
            broken_runs += bool(tally.violations())
            total.update(tally)
            print(
                f"1/{busy + 1} of a core, seed {seed}: left after {tally.exit_ms:.0f} ms, {tally.status}; "
                f"{dict(sorted(tally.items()))}",
                flush=True,
            )
            if given.log:
                print(tally.log)
        print(
            f"1/{busy + 1} of a core: {broken_runs} of {given.runs} drains broke a rule, "
            f"{total['served'] / max(1, total['asked']):.3f} served; {total.violations()}",
            flush=True,
        )


if __name__ == "__main__":
    main()
