"""Open-loop load over AJP13: requests are due at random times, independently of earlier answers.

Latency counts from when a request was due, not from when a connection was free for it, so that a slow node
can't hide the delay of waiting requests (coordinated omission).
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.lab.plan import Caller, Plan, Worker

MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this
FINAL_ANSWERS_S = 15.0  # maximum wait for answers after the last request


@dataclass(slots=True)
class Tally:
    """The results of one caller's requests; latencies are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))


class LoadConnection:
    """A connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.packets = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)

    async def exchange(self, data: bytes) -> tuple[int, bool]:
        """Send a request; return the status of its answer, and whether the connection can be reused."""
        self.writer.write(data)
        status = 0
        while received := await self.reader.read(1 << 16):
            for payload in self.packets.feed(received):
                match ajp13.read_reply(payload):
                    case ajp13.ResponseHead() as head:
                        status = head.status
                    case ajp13.ResponseEnd(reuse):
                        return status, reuse
        raise ConnectionError("closed without an answer")


class LoadGenerator:
    """Sends the load of one caller."""

    def __init__(self, plan: Plan, caller: Caller, number: int) -> None:
        self.plan, self.caller = plan, caller
        self.random = random.Random(plan.seed * 1000 + number)
        self.tally = Tally()
        self.idle: deque[LoadConnection] = deque()
        self.connection_slots = asyncio.Semaphore(caller.connections)
        self.key_numbers = itertools.count(1)
        self.began_s = 0.0

    async def play(self) -> None:
        """Send requests until the end of the load, then wait `FINAL_ANSWERS_S` at most for their answers.

        Requests that are still unanswered then are cancelled; they count as asked, but have no outcome.
        """
        self.began_s = time.monotonic()
        due_s, end = self.caller.begins_s, min(self.plan.seconds, self.caller.ends_s)
        tasks = set[asyncio.Task[None]]()
        while (due_s := due_s + self.random.expovariate(self.caller.rate)) < end:
            await asyncio.sleep(max(0.0, self.began_s + due_s - time.monotonic()))
            task = asyncio.ensure_future(self.send_request(due_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=FINAL_ANSWERS_S)
        for task in tasks:
            task.cancel()
        for connection in self.idle:
            connection.writer.close()

    async def send_request(self, due_s: float) -> None:
        """Send one request, and retry it after rejections with the caller's retry probability."""
        key_number = next(self.key_numbers)
        if self.caller.repeats and self.random.random() < self.caller.repeats:
            key_number = self.random.randint(1, key_number)
        data, is_counted = self.encode_request(key_number), due_s >= self.plan.warm_up_s
        self.count("asked", is_counted)
        while True:
            status = await self.attempt(data)
            self.count("tries", is_counted)
            if status != 503 or self.random.random() >= self.caller.retries:
                break
            await asyncio.sleep(self.caller.retry_ms / 1000)
        latency_us = int((time.monotonic() - self.began_s - due_s) * 1e6)
        self.count({200: "served", 503: "refused", 0: "lost"}.get(status, "failed"), is_counted)
        if status == 200 and is_counted:
            self.tally.latency.record_value(min(max(latency_us, 1), MAX_LATENCY_US))
            self.count("in_time", latency_us <= self.caller.aim_ms * 1000)

    def count(self, name: str, is_counted: bool) -> None:
        """Add 1 to a count if `is_counted`.

        It is false for a request that is due in the warm-up, and for the count `in_time` of a late answer.
        """
        self.tally.counts[name] += is_counted

    async def attempt(self, data: bytes) -> int:
        """Send one attempt and return its status, or 0 if there was no answer."""
        async with self.connection_slots:
            try:
                connection = (
                    self.idle.pop()
                    if self.idle
                    else LoadConnection(*await asyncio.open_connection(*self.plan.target))
                )
                status, reuse = await connection.exchange(data)
            except (OSError, MalformedError):
                return 0
            if reuse and self.caller.keeps:
                self.idle.append(connection)
            else:
                connection.writer.close()
            return status

    def encode_request(self, key_number: int) -> bytes:
        """Encode a request as AJP packets."""
        caller = self.caller
        forward = ajp13.ForwardedRequest(caller.method, caller.path, server_name=caller.host)
        if caller.keyed:
            forward.headers.append(("x-request-key", f"{caller.name}-{self.plan.seed}-{key_number}"))
        if not caller.body_bytes:
            return ajp13.write_forward(forward)
        forward.headers.append(("content-length", str(caller.body_bytes)))
        return ajp13.write_forward(forward) + ajp13.write_body(b"b" * caller.body_bytes)


class StandIn:
    """A stand-in worker with `slots` concurrent requests, each of which takes `service_ms`."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.slots = asyncio.Semaphore(worker.slots)
        self.completed_runs = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it closes."""
        packets = ajp13.PacketDecoder(ajp13.TO_CONTAINER, ajp13.MAX_PACKET_BYTES)
        missing_body_bytes = 0
        # the end of a run cancels handlers that still wait here, and asyncio would log each cancellation
        with contextlib.suppress(OSError, MalformedError, asyncio.CancelledError):
            while received := await reader.read(1 << 16):
                for payload in packets.feed(received):
                    if payload == bytes([ajp13.CPING]):
                        writer.write(ajp13.write_reply(ajp13.Pong()))
                        continue
                    if missing_body_bytes:
                        missing_body_bytes -= len(ajp13.read_body(payload))
                    else:
                        missing_body_bytes = ajp13.read_forward(payload).body_size() or 0
                    if missing_body_bytes <= 0:
                        await self.run(writer)
        writer.close()

    async def run(self, writer: asyncio.StreamWriter) -> None:
        """Hold a slot for the service time, then answer."""
        async with self.slots:
            await asyncio.sleep(self.worker.service_ms / 1000)
        self.completed_runs += 1
        headers = (("Content-Type", "text/plain"), ("Content-Length", "2"))
        writer.write(
            ajp13.write_response(
                ajp13.ResponseHead(200, "OK", headers), b"ok", True, ajp13.DEFAULT_PACKET_BYTES
            )
        )


async def play(plan: Plan) -> tuple[dict[str, Tally], int]:
    """Play a plan; return the tally of each caller by name, and the number of runs by the workers."""
    stand_ins = [StandIn(worker) for worker in plan.workers]
    servers = [await asyncio.start_server(stand_in.serve, *stand_in.worker.listen) for stand_in in stand_ins]
    generators = [LoadGenerator(plan, caller, number) for number, caller in enumerate(plan.callers)]
    try:
        await asyncio.gather(*(generator.play() for generator in generators))
    finally:
        for server in servers:
            server.close()
    return {generator.caller.name: generator.tally for generator in generators}, sum(
        stand_in.completed_runs for stand_in in stand_ins
    )
