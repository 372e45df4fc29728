"""Scale test of a request: the node's processor time and the latency that it adds, in an open loop."""

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

SERVICE_MS = 2.0  # time in which the stand-in worker serves a request
SLOTS = 1000  # requests that the stand-in worker serves at once, more than ever arrive at once
WARM_UP_S = 1.0  # at the start of a round, in which requests are not counted
ANSWER_TIMEOUT_S = 10.0  # after the last request, in which answers may arrive
MEASURED_S = 5.0
_processes = multiprocessing.get_context("spawn")


def _serve_stand_in(listener: socket.socket) -> None:
    """Serve as a stand-in worker until the process is killed."""

    async def serve() -> None:
        stand_in = StandIn(Worker(listener.getsockname(), SLOTS, SERVICE_MS))
        server = await asyncio.start_server(stand_in.serve, sock=listener)
        await server.serve_forever()

    asyncio.run(serve())


class StandInProcess:
    """A stand-in worker with `SERVICE_MS` in a process of its own, which ends when the block is left."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._process = _processes.Process(target=_serve_stand_in, args=(self._listener,), daemon=True)

    def __enter__(self) -> "StandInProcess":
        self._process.start()
        self._listener.close()
        return self

    def __exit__(self, *error: object) -> None:
        self._process.kill()
        self._process.join()


async def _send_requests(
    target: site.Address, rate: float, seconds: float, requests: Sequence[bytes], seed: int
) -> dict[str, Any]:
    """Send requests at random times in an open loop; a latency counts from the time its request was due.

    Returns counts and percentiles in milliseconds, or only counts if a request failed or none was served.
    """
    random, idle, tasks = Random(seed), list[LoadConnection](), set[asyncio.Task[None]]()
    latencies_ms: list[float] = []
    refused = failed = 0
    began_s, next_due_s = time.monotonic() + 0.05, 0.0

    async def send(data: bytes, due_s: float) -> None:
        nonlocal refused, failed
        try:
            connection = idle.pop() if idle else LoadConnection(*await asyncio.open_connection(*target))
            status, reuse = await connection.exchange(data)
        except (OSError, MalformedError):
            status, reuse = 0, False
        latency_s = time.monotonic() - began_s - due_s
        if reuse:
            idle.append(connection)
        if due_s >= WARM_UP_S and status == 200:
            latencies_ms.append(latency_s * 1000)
        refused += due_s >= WARM_UP_S and status == 503
        failed += status not in (200, 503)

    for data in itertools.cycle(requests):
        next_due_s += random.expovariate(rate)
        if next_due_s >= WARM_UP_S + seconds:
            break
        await asyncio.sleep(max(0.0, began_s + next_due_s - time.monotonic()))
        task = asyncio.ensure_future(send(data, next_due_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=ANSWER_TIMEOUT_S)
    for connection in idle:
        connection.writer.close()
    if not latencies_ms or failed:
        return {"failed": failed, "served": len(latencies_ms)}
    latencies_ms.sort()
    count = len(latencies_ms)
    return {
        "count": count + refused,
        "refused": refused,
        "failed": 0,
        "p50": latencies_ms[count // 2],
        "p99": latencies_ms[count * 99 // 100],
    }


def _run_client(pipe: Any, *arguments: Any) -> None:
    pipe.send(asyncio.run(_send_requests(*arguments)))


def measure_client(
    target: site.Address, rate: float, seconds: float, hosts: Sequence[str], seed: int
) -> dict[str, Any]:
    """Run a client in a process of its own and return its counts and latencies.

    Raises RuntimeError if a request failed, none was served or the client does not end.
    """
    requests = [
        ajp13.write_forward(
            ajp13.ForwardedRequest("GET", "/visits/1", server_name=host, remote_addr="127.0.0.1")
        )
        for host in hosts
    ]
    ours, theirs = _processes.Pipe()
    process = _processes.Process(
        target=_run_client, args=(theirs, target, rate, seconds, requests, seed), daemon=True
    )
    process.start()
    try:
        if not ours.poll(WARM_UP_S + seconds + ANSWER_TIMEOUT_S + 30.0):
            raise RuntimeError("the client did not end")
        client_result: dict[str, Any] = ours.recv()
    finally:
        process.kill()
        process.join()
    if "count" not in client_result:
        raise RuntimeError(
            f"{client_result['failed']} requests failed, {client_result['served']} were served"
        )
    return client_result


def measure_added_latency(
    hosted: site.HostedNode, worker: site.Address, rate: float, seconds: float, hosts: Sequence[str]
) -> Figures:
    """Send requests to the stand-in worker directly, then through the node, at the same due times."""
    direct = measure_client(worker, rate, seconds, hosts, seed=1)
    pid = hosted.process.pid
    processor_before_s, waited, began_s = (
        site.processor_s(pid),
        sum(core_wait_s(pid).values()),
        time.monotonic(),
    )
    through = measure_client(hosted.ajp, rate, seconds, hosts, seed=1)
    processor_s, elapsed_s = site.processor_s(pid) - processor_before_s, time.monotonic() - began_s
    waited = sum(core_wait_s(pid).values()) - waited
    request_count = through["count"] * (WARM_UP_S + seconds) / seconds
    return {
        "request_us": processor_s / request_count * 1e6,
        "waited_us": waited / request_count * 1e6,
        "core": processor_s / elapsed_s,
        "refused": through["refused"] / through["count"],
        "alone_p50_ms": direct["p50"],
        "alone_p99_ms": direct["p99"],
        "added_p50_ms": through["p50"] - direct["p50"],
        "added_p99_ms": through["p99"] - direct["p99"],
    }


def measure_at_rate(rate: int) -> Figures:
    """Measure a node with ten tenants at a rate in requests a second."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        operator_file = site.operator_file(10, [worker.address], connections=64)
        with site.hosted_node(operator_file, Path(name)) as hosted:
            return measure_added_latency(
                hosted,
                worker.address,
                float(rate),
                MEASURED_S,
                [f"tenant-{number}.example" for number in range(10)],
            )


SCALES = [
    partial(Scale, size_unit="requests a second", target=expected("twice_requests_per_s"))(
        "request",
        "a request over AJP through a hosted node with 10 tenants to a worker of 2 ms, open loop",
        sizes=(68, 136, 272, 320, 544),
        quick=(50,),
        measure=measure_at_rate,
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
