"""A request: processor time of the node and the time that it adds, in an open loop with due times."""

import asyncio
import itertools
import multiprocessing
import socket
import tempfile
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.lab.capacity import site
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale
from reelusher.lab.fleet.processes import core_wait_s
from reelusher.lab.load import LoadConnection, StandIn
from reelusher.lab.plan import Worker

SERVICE_MS = 2.0  # of the stand-in worker
SLOTS = 1000  # it holds: more than come at once
WARM_S = 1.0  # requests due before are not counted
LAST_S = 10.0
SECONDS = 5.0
_processes = multiprocessing.get_context("spawn")


def _stand_in(listener: socket.socket) -> None:
    """Play a worker until the process is ended."""

    async def serve() -> None:
        made = StandIn(Worker(listener.getsockname(), SLOTS, SERVICE_MS))
        server = await asyncio.start_server(made.serve, sock=listener)
        await server.serve_forever()

    asyncio.run(serve())


class StandInProcess:
    """A worker of `SERVICE_MS` in a process of its own, until the block is left."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._process = _processes.Process(target=_stand_in, args=(self._listener,), daemon=True)

    def __enter__(self) -> "StandInProcess":
        self._process.start()
        self._listener.close()
        return self

    def __exit__(self, *fault: object) -> None:
        self._process.kill()
        self._process.join()


async def _ask(
    target: site.Address, rate: float, seconds: float, requests: Sequence[bytes], seed: int
) -> dict[str, Any]:
    """Ask at random times of their own; a latency counts from when its request was due."""
    random, idle, tasks = Random(seed), list[LoadConnection](), set[asyncio.Task[None]]()
    took_ms: list[float] = []
    refused = failed = 0
    began, at = time.monotonic() + 0.05, 0.0

    async def one(data: bytes, due: float) -> None:
        nonlocal refused, failed
        try:
            line = idle.pop() if idle else LoadConnection(*await asyncio.open_connection(*target))
            status, reuse = await line.exchange(data)
        except (OSError, MalformedError):
            status, reuse = 0, False
        took = time.monotonic() - began - due
        if reuse:
            idle.append(line)
        if due >= WARM_S and status == 200:
            took_ms.append(took * 1000)
        refused += due >= WARM_S and status == 503
        failed += status not in (200, 503)

    for data in itertools.cycle(requests):
        at += random.expovariate(rate)
        if at >= WARM_S + seconds:
            break
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        task = asyncio.ensure_future(one(data, at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=LAST_S)
    for line in idle:
        line.writer.close()
    if not took_ms or failed:
        return {"failed": failed, "served": len(took_ms)}
    took_ms.sort()
    count = len(took_ms)
    return {
        "count": count + refused,
        "refused": refused,
        "failed": 0,
        "p50": took_ms[count // 2],
        "p99": took_ms[count * 99 // 100],
    }


def _client(pipe: Any, *given: Any) -> None:
    pipe.send(asyncio.run(_ask(*given)))


def ask(target: site.Address, rate: float, seconds: float, hosts: Sequence[str], seed: int) -> dict[str, Any]:
    """Play a client in a process of its own and return what it saw; raise where requests failed."""
    requests = [
        ajp13.write_forward(
            ajp13.ForwardedRequest("GET", "/visits/1", server_name=host, remote_addr="127.0.0.1")
        )
        for host in hosts
    ]
    ours, theirs = _processes.Pipe()
    process = _processes.Process(
        target=_client, args=(theirs, target, rate, seconds, requests, seed), daemon=True
    )
    process.start()
    try:
        if not ours.poll(WARM_S + seconds + LAST_S + 30.0):
            raise RuntimeError("the client did not end")
        told: dict[str, Any] = ours.recv()
    finally:
        process.kill()
        process.join()
    if "count" not in told:
        raise RuntimeError(f"{told['failed']} requests failed, {told['served']} were served")
    return told


def rounds(
    made: site.HostedNode, worker: site.Address, rate: float, seconds: float, hosts: Sequence[str]
) -> Figures:
    """Ask the stand-in alone, then through the node, at the same due times."""
    direct = ask(worker, rate, seconds, hosts, seed=1)
    pid = made.process.pid
    before, waited, began = site.processor_s(pid), sum(core_wait_s(pid).values()), time.monotonic()
    through = ask(made.ajp, rate, seconds, hosts, seed=1)
    took, lasted = site.processor_s(pid) - before, time.monotonic() - began
    waited = sum(core_wait_s(pid).values()) - waited
    asked = through["count"] * (WARM_S + seconds) / seconds
    return {
        "request_us": took / asked * 1e6,
        "waited_us": waited / asked * 1e6,
        "core": took / lasted,
        "refused": through["refused"] / through["count"],
        "alone_p50_ms": direct["p50"],
        "alone_p99_ms": direct["p99"],
        "added_p50_ms": through["p50"] - direct["p50"],
        "added_p99_ms": through["p99"] - direct["p99"],
    }


def at_rate(rate: int) -> Figures:
    """Measure a node with ten tenants at a rate."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        file = site.operator_file(10, [worker.address], connections=64)
        with site.hosted_node(file, Path(name)) as made:
            return rounds(
                made,
                worker.address,
                float(rate),
                SECONDS,
                [f"tenant-{number}.example" for number in range(10)],
            )


SCALES = [
    partial(Scale, size_unit="requests a second", target=expected("twice_requests_per_s"))(
        "request",
        "a request over AJP through a hosted node with 10 tenants to a worker of 2 ms, open loop",
        sizes=(68, 136, 272, 320, 544),
        quick=(50,),
        measure=at_rate,
        cheap=False,
        repeats=5,
        units={
            "request_us": "µs",
            "waited_us": "µs",
            "core": "",
            "refused": "",
            "alone_p50_ms": "ms",
            "alone_p99_ms": "ms",
            "added_p50_ms": "ms",
            "added_p99_ms": "ms",
        },
        notes=(
            "added: over what the stand-in worker alone gives to the same client in the same round, of what "
            "was served; refused: part of the requests",
            "waited: the node's threads were ready and had no core: the machine's load, none of the node's",
        ),
    )
]
