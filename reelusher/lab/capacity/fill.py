"""How long a serving node takes to replicate a full table of tenants, and how that affects its latency.

    python -m reelusher.lab.capacity.live fill --rows 260000

One process is the table's only writer, and another serves one tenant under load. The writer ends, all other
rows are added to its copy, and it starts again. The serving node then lacks all of these rows and pulls them.
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

WRITER, READER, SERVED_TENANT, WORKER = "n1", "n2", "served", "w0"
FRACTION_WITH_ROUTE = 41 / 260  # of the tenants
ROWS_PER_TRANSACTION = 2000
START_TIMEOUT_S, ANSWER_TIMEOUT_S = 60.0, 12.0


def tenant(name: str, number: int) -> dict[str, Any]:
    """Return a tenant in the form that the administration API accepts."""
    routes = (
        [{"method": "POST", "path": "/visits", "class": CLASS}]
        if number % 260 < 260 * FRACTION_WITH_ROUTE
        else []
    )
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


def tenant_name(number: int) -> str:
    """Return the name of the tenant with a number."""
    return f"t{number:06d}"


def append_rows(path: Path, rows: int) -> None:
    """Append rows to the copy of a writer that is not running."""
    copy = SqliteReplica(path, "reelusher", [WRITER])
    state, at_ms = copy.states()[WRITER], time.time_ns() // 1_000_000
    try:
        for begin in range(0, rows, ROWS_PER_TRANSACTION):
            last_index = state.index + min(ROWS_PER_TRANSACTION, rows - begin)
            entries = []
            for number, log_index in enumerate(range(state.index + 1, last_index + 1), begin):
                row = json.dumps(tenant(tenant_name(number), number)).encode()
                entries.append(
                    LogEntry(log_index, tenant_name(number), at_ms, "rig", "active", row, "", state.term)
                )
            state = replace(state, index=last_index, covered=last_index, goal=last_index)
            copy.apply(WRITER, entries, state)
    finally:
        copy.close()


class Fill:
    """One run of the experiment; its figures are in `figures` afterwards."""

    def __init__(self, rows: int, rate: float, before_s: float, folder: Path, timeout_s: float) -> None:
        self.rows, self.rate, self.before_s, self.folder, self.timeout_s = (
            rows,
            rate,
            before_s,
            folder,
            timeout_s,
        )
        self.loop, self.random = asyncio.get_running_loop(), random.Random(1)
        self.latencies_s: dict[str, list[float]] = {"before": [], "during": []}
        self.phase, self.counts = "before", Counter[str]()
        self.figures: dict[str, Any] = {"rows": rows}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run the experiment.

        Raises RuntimeError if a node does not start or lacks a row for too long, or the writer rejects one.
        """
        server = await asyncio.start_server(NamedWorker(WORKER, 2.0).serve, STAND_IN_HOST, 0)
        hosts = {name: address_of(0, number, 0)[0] for number, name in enumerate((WRITER, READER))}
        ports = set[int]()
        while len(ports) < 3:
            ports.add(free_port(list(hosts.values())))
        ajp, admin, fleet = ports
        self.addresses = {
            name: NodeAddresses((host, ajp), (host, admin), (host, fleet), (host, fleet), "a")
            for name, host in hosts.items()
        }
        with NodeProcesses(self.folder, {WORKER: server.sockets[0].getsockname()}) as self.nodes:
            for name, addresses in self.addresses.items():
                self.nodes.configure(
                    name, addresses, [one.fleet for one in self.addresses.values()], [WRITER]
                )
            try:
                await self._run()
            finally:
                for task in self.tasks:
                    task.cancel()
                server.close()

    async def _run(self) -> None:
        await asyncio.gather(self._start(WRITER), self._start(READER))
        ends_s = self.loop.time() + START_TIMEOUT_S
        while True:  # a writer answers 503 until it has heard from another member
            reply = await call_admin_api(
                self.addresses[WRITER].admin, "POST", "/v1/tenants", tenant(SERVED_TENANT, 0)
            )
            if reply is not None and reply.status == 201:
                break
            if reply is None or reply.status != 503 or self.loop.time() > ends_s:
                raise RuntimeError(f"the writer answered {reply}")
            await asyncio.sleep(0.1)
        await self._wait_for(SERVED_TENANT, START_TIMEOUT_S)
        self.nodes.send(WRITER, signal.SIGTERM)
        while self.nodes.alive(WRITER):
            await asyncio.sleep(0.02)
        await asyncio.to_thread(append_rows, self.nodes.replica_path(WRITER), self.rows)
        self.figures["resident_before_mb"] = self._resident_mb(READER)
        load = asyncio.ensure_future(self._load())
        self.tasks.add(load)
        await asyncio.sleep(self.before_s)
        processor_s = self.nodes.processor_s(READER)
        await self._start(WRITER)
        self.phase, began_s = "during", self.loop.time()
        await self._wait_for(tenant_name(self.rows - 1), self.timeout_s)
        fill_s = self.loop.time() - began_s
        load.cancel()
        self.figures |= {
            "fill_s": round(fill_s, 2),
            "rows_per_s": round(self.rows / fill_s),
            "of_a_core": round((self.nodes.processor_s(READER) - processor_s) / fill_s, 3),
            "resident_after_mb": self._resident_mb(READER),
            "writer_resident_mb": self._resident_mb(WRITER),
            "copy_mb": round(sum(file.stat().st_size for file in self.folder.glob(f"{READER}.db*")) / 1e6, 1),
        }
        for phase, latencies_s in self.latencies_s.items():
            ordered = sorted(latencies_s)
            self.figures |= {
                f"{phase}_answers": len(ordered),
                f"{phase}_median_ms": _rounded_ms(median(ordered)),
                f"{phase}_p99_ms": _rounded_ms(ordered[int(len(ordered) * 0.99)]),
                f"{phase}_most_ms": _rounded_ms(ordered[-1]),
            }
        self.figures |= self.counts
        self.figures["broken"] = [line for name in (WRITER, READER) for line in self.nodes.error_lines(name)]

    async def _start(self, name: str) -> None:
        self.nodes.start(name)
        addresses = self.addresses[name]
        if not await wait_until_ready(
            addresses.admin, addresses.ajp, lambda: self.nodes.alive(name), START_TIMEOUT_S
        ):
            raise RuntimeError(f"{name} did not come up: {self.nodes.log_file(name).read_text()[-2000:]}")

    async def _wait_for(self, name: str, timeout_s: float) -> None:
        """Wait until the reader shows a tenant. Raises RuntimeError after the timeout."""
        ends_s = self.loop.time() + timeout_s
        while self.loop.time() < ends_s:
            with contextlib.suppress(NodeUnreachableError):
                reply = await call_admin_api(self.addresses[READER].admin, "GET", f"/v1/tenants/{name}")
                if reply is not None and reply.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{READER} does not show {name} after {timeout_s:.0f} s")

    async def _load(self) -> None:
        callers, due_s = Callers(self.addresses[READER].ajp), self.loop.time()
        try:
            while True:
                due_s += self.random.expovariate(self.rate)
                await asyncio.sleep(max(0.0, due_s - self.loop.time()))
                task = asyncio.ensure_future(self._request(callers, due_s))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        finally:
            callers.close()

    async def _request(self, callers: Callers, due_s: float) -> None:
        """Send a request; its latency is measured from the time at which it was due."""
        phase = self.phase
        try:
            status, _ = await callers.ask(
                f"{SERVED_TENANT}.example", ANSWER_TIMEOUT_S, lambda: self.counts.update(["twice"])
            )
        except (NoAnswerError, NodeUnreachableError):
            self.counts[f"{phase}_unanswered"] += 1
            return
        if status == 200:
            self.latencies_s[phase].append(self.loop.time() - due_s)
        else:
            self.counts[f"{phase}_{status}"] += 1

    def _resident_mb(self, name: str) -> float:
        return round(self.nodes.resident_kb(name) / 1024, 1)


def _rounded_ms(seconds: float) -> float:
    return round(1000 * seconds, 2)


def play(
    rows: int,
    rate: float = 100.0,
    before_s: float = 10.0,
    folder: Path | None = None,
    timeout_s: float = 900.0,
) -> dict[str, Any]:
    """Run the experiment in a folder, by default a temporary one, and return its figures."""

    async def run(run_folder: Path) -> dict[str, Any]:
        fill = Fill(rows, rate, before_s, run_folder, timeout_s)
        await fill.run()
        return fill.figures

    with contextlib.ExitStack() as stack:
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        run_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(run_folder))


def main(argv: list[str]) -> int:
    """Run the experiment and print its figures.

    Return 0, or 1 if a node logged an error, or a request had no answer or more than one.
    """
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.live fill", description="On loopback only.")
    parser.add_argument("--rows", type=int, default=260_000)
    parser.add_argument("--rate", type=float, default=100.0, help="requests a second")
    parser.add_argument("--before", type=float, default=10.0, help="seconds of load before the fill")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    options = parser.parse_args(argv)
    figures = play(options.rows, options.rate, options.before, options.logs)
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"{name.ljust(width)}  {value}")
    if options.json:
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return int(bool(figures["broken"]) or any("unanswered" in name or name == "twice" for name in figures))
