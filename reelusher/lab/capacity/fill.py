"""How long a node that serves takes to get a whole table of tenants, and what its callers notice of that.

    python -m reelusher.lab.capacity.live fill --rows 260000

One process writes the table, another serves one tenant of it under load. The writer ends; all other rows are
put into its copy; it starts again, and the other is behind by all of them.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from statistics import median
from typing import Any

from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.lab.capacity.nodes import CLASS, NodeAddresses, NodeProcesses
from reelusher.lab.capacity.wires import (
    Callers,
    NamedWorker,
    NoAnswerError,
    NodeUnreachableError,
    call_admin_api,
    wait_until_ready,
)
from reelusher.lab.fleet.rig import STAND_IN_HOST, address_of, free_port

WRITER, FRESH, SERVED, WORKER = "n1", "n2", "served", "w0"
ROUTED = 41 / 260  # the part of tenants with a route of their own
AT_ONCE = 2000  # rows in one transaction
START_S, ANSWER_S = 60.0, 12.0


def tenant(name: str, number: int) -> dict[str, Any]:
    """Return a tenant as the administration API takes it."""
    routes = [{"method": "POST", "path": "/visits", "class": CLASS}] if number % 260 < 260 * ROUTED else []
    return {
        "name": name,
        "backend": WORKER,
        "hosts": [f"{name}.example"],
        "prefix": "/",
        "held_kb": 16.0,
        "key_header": "x-request-key",
        "default_class": CLASS,
        "max_open": 64,
        "routes": routes,
    }


def name_of(number: int) -> str:
    """Return the name of a row."""
    return f"t{number:06d}"


def write(path: Path, rows: int) -> None:
    """Put so many rows past those that there are into the copy of a writer that does not run."""
    copy = SqliteReplica(path, "reelusher", [WRITER])
    state, at_ms = copy.states()[WRITER], time.time_ns() // 1_000_000
    try:
        for begin in range(0, rows, AT_ONCE):
            upto = state.index + min(AT_ONCE, rows - begin)
            entries = []
            for place, number in enumerate(range(state.index + 1, upto + 1), begin):
                row = json.dumps(tenant(name_of(place), place)).encode()
                entries.append(LogEntry(number, name_of(place), at_ms, "rig", "active", row, "", state.term))
            state = replace(state, index=upto, covered=upto, goal=upto)
            copy.apply(WRITER, entries, state)
    finally:
        copy.close()


class Fill:
    """One run."""

    def __init__(self, rows: int, rate: float, before_s: float, folder: Path, most_s: float) -> None:
        self.rows, self.rate, self.before_s, self.folder, self.most_s = rows, rate, before_s, folder, most_s
        self.loop, self.random = asyncio.get_running_loop(), random.Random(1)
        self.took_s: dict[str, list[float]] = {"before": [], "during": []}
        self.phase, self.counts = "before", Counter[str]()
        self.figures: dict[str, Any] = {"rows": rows}
        self.tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Play it."""
        server = await asyncio.start_server(NamedWorker(WORKER, 2.0).serve, STAND_IN_HOST, 0)
        hosts = {name: address_of(0, number, 0)[0] for number, name in enumerate((WRITER, FRESH))}
        ports = set[int]()
        while len(ports) < 3:
            ports.add(free_port(list(hosts.values())))
        ajp, admin, fleet = ports
        self.places = {
            name: NodeAddresses((host, ajp), (host, admin), (host, fleet), (host, fleet), "a")
            for name, host in hosts.items()
        }
        with NodeProcesses(self.folder, {WORKER: server.sockets[0].getsockname()}) as self.nodes:
            for name, places in self.places.items():
                self.nodes.configure(name, places, [one.fleet for one in self.places.values()], [WRITER])
            try:
                await self._play()
            finally:
                for task in self.tasks:
                    task.cancel()
                server.close()

    async def _play(self) -> None:
        await asyncio.gather(self._start(WRITER), self._start(FRESH))
        ends_s = self.loop.time() + START_S
        while True:  # a writer that has heard nobody yet refuses
            told = await call_admin_api(self.places[WRITER].admin, "POST", "/v1/tenants", tenant(SERVED, 0))
            if told is not None and told.status == 201:
                break
            if told is None or told.status != 503 or self.loop.time() > ends_s:
                raise RuntimeError(f"the writer answered {told}")
            await asyncio.sleep(0.1)
        await self._has(SERVED, START_S)
        self.nodes.send(WRITER, signal.SIGTERM)
        while self.nodes.alive(WRITER):
            await asyncio.sleep(0.02)
        await asyncio.to_thread(write, self.nodes.replica_path(WRITER), self.rows)
        self.figures["resident_before_mb"] = self._resident_mb(FRESH)
        load = asyncio.ensure_future(self._load())
        self.tasks.add(load)
        await asyncio.sleep(self.before_s)
        processor_s = self.nodes.processor_s(FRESH)
        await self._start(WRITER)
        self.phase, began_s = "during", self.loop.time()
        await self._has(name_of(self.rows - 1), self.most_s)
        took_s = self.loop.time() - began_s
        load.cancel()
        self.figures |= {
            "fill_s": round(took_s, 2),
            "rows_per_s": round(self.rows / took_s),
            "of_a_core": round((self.nodes.processor_s(FRESH) - processor_s) / took_s, 3),
            "resident_after_mb": self._resident_mb(FRESH),
            "writer_resident_mb": self._resident_mb(WRITER),
            "copy_mb": round(sum(file.stat().st_size for file in self.folder.glob(f"{FRESH}.db*")) / 1e6, 1),
        }
        for phase, found in self.took_s.items():
            ordered = sorted(found)
            self.figures |= {
                f"{phase}_answers": len(ordered),
                f"{phase}_median_ms": _ms(median(ordered)),
                f"{phase}_p99_ms": _ms(ordered[int(len(ordered) * 0.99)]),
                f"{phase}_most_ms": _ms(ordered[-1]),
            }
        self.figures |= self.counts
        self.figures["broken"] = [line for name in (WRITER, FRESH) for line in self.nodes.error_lines(name)]

    async def _start(self, name: str) -> None:
        self.nodes.start(name)
        places = self.places[name]
        if not await wait_until_ready(places.admin, places.ajp, lambda: self.nodes.alive(name), START_S):
            raise RuntimeError(f"{name} did not come up: {self.nodes.log_file(name).read_text()[-2000:]}")

    async def _has(self, name: str, most_s: float) -> None:
        """Wait until the other node shows a tenant."""
        ends_s = self.loop.time() + most_s
        while self.loop.time() < ends_s:
            with contextlib.suppress(NodeUnreachableError):
                told = await call_admin_api(self.places[FRESH].admin, "GET", f"/v1/tenants/{name}")
                if told is not None and told.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{FRESH} does not show {name} after {most_s:.0f} s")

    async def _load(self) -> None:
        callers, at_s = Callers(self.places[FRESH].ajp), self.loop.time()
        try:
            while True:
                at_s += self.random.expovariate(self.rate)
                await asyncio.sleep(max(0.0, at_s - self.loop.time()))
                task = asyncio.ensure_future(self._ask(callers, at_s))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        finally:
            callers.close()

    async def _ask(self, callers: Callers, due_s: float) -> None:
        """Make a request; its latency counts from when it was due."""
        phase = self.phase
        try:
            status, _ = await callers.ask(
                f"{SERVED}.example", ANSWER_S, lambda: self.counts.update(["twice"])
            )
        except (NoAnswerError, NodeUnreachableError):
            self.counts[f"{phase}_unanswered"] += 1
            return
        if status == 200:
            self.took_s[phase].append(self.loop.time() - due_s)
        else:
            self.counts[f"{phase}_{status}"] += 1

    def _resident_mb(self, name: str) -> float:
        return round(self.nodes.resident_kb(name) / 1024, 1)


def _ms(seconds: float) -> float:
    return round(1000 * seconds, 2)


def play(
    rows: int, rate: float = 100.0, before_s: float = 10.0, folder: Path | None = None, most_s: float = 900.0
) -> dict[str, Any]:
    """Play a fill and return its figures."""

    async def work(where: Path) -> dict[str, Any]:
        fill = Fill(rows, rate, before_s, where, most_s)
        await fill.play()
        return fill.figures

    with contextlib.ExitStack() as stack:
        where = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        where.mkdir(parents=True, exist_ok=True)
        return asyncio.run(work(where))


def main(argv: list[str]) -> int:
    """Play a fill and print its figures; 0, or 1 where a node logged an error or a request had no answer."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.live fill", description="On loopback only.")
    parser.add_argument("--rows", type=int, default=260_000)
    parser.add_argument("--rate", type=float, default=100.0, help="requests a second")
    parser.add_argument("--before", type=float, default=10.0, help="seconds of load before the fill")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--json", type=Path, help="write the figures there")
    given = parser.parse_args(argv)
    figures = play(given.rows, given.rate, given.before, given.logs)
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"{name.ljust(width)}  {value}")
    if given.json:
        given.json.write_text(json.dumps(figures, indent=1) + "\n")
    return int(bool(figures["broken"]) or any("unanswered" in name or name == "twice" for name in figures))
