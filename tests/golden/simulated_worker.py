"""A simulated worker that speaks the protocol of the simulator's adapter, with record layouts of its own.

It draws arrivals, and the ends of runs and calls, from a seeded generator, and carries out the actions in the
replies of the adapter. Equal replies therefore lead to equal input, so a digest of all replies shows whether
every decision of a simulation is the same.
"""

import hashlib
import heapq
import itertools
import json
import random
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

EVENT_SIZE, ACTION_SIZE = 56, 24
OK, ERROR, REJECTED, TIMEOUT, UNREACHABLE, CUT_OFF, CANCELLED, MOOT = 100, 301, 302, 303, 304, 305, 306, 307
RUN_OUTCOMES = [OK] * 40 + [ERROR, CUT_OFF, CANCELLED, TIMEOUT, MOOT]
CALL_OUTCOMES = [OK] * 20 + [ERROR, REJECTED, REJECTED, TIMEOUT, UNREACHABLE, CUT_OFF]
TICK_US = 5_000
CALLERS = 12, 3_000  # number of callers at most sites, and at bias-drop, where few of them send twice

CATEGORIES = [
    {"name": "search", "effect": "pure", "deadline_us": 4_000_000, "objective_us": 900_000, "worth": 1.0},
    {
        "name": "view",
        "effect": "pure",
        "deadline_us": 1_500_000,
        "objective_us": 600_000,
        "worth": 2.0,
        "late_share": 0.3,
    },
    {
        "name": "book",
        "effect": "token",
        "deadline_us": 3_000_000,
        "objective_us": 1_000_000,
        "worth": 4.0,
        "repeat_window_us": 6_000_000,
    },
    {
        "name": "pay",
        "effect": "side_effect",
        "deadline_us": 3_000_000,
        "objective_us": 1_200_000,
        "worth": 3.0,
    },
]
FAMILY: dict[str, Any] = {
    "cores": 2,
    "ram_kb": 9_000.0,
    "blowup": 8.0,
    "entry_kb": 20.0,
    "class_calls": [True, False, True, True],
    "class_skip_worth": [0.6, 0.0, 0.0, 0.0],
    "caller_idle_us": 8_000_000,
    "heard_for_us": 1_000_000,
    "linger_us": 200_000,
    "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
    "clients_total": 12,
}
RULES = {
    "tip_multiple": 6.0,
    "fall_us": 2_000_000,
    "cold_from": 0.3,
    "cold_us": 5_000_000,
    "drain_grace_us": 1_000_000,
    "answer_slack_us": 80_000,
}
SITES: dict[str, dict[str, Any]] = {
    "plain": {},
    "tokens-pause": {
        "say": "tokens",
        "halt": "pause",
        "below": "common",
        "calls_out": 3.0,
        "calls_over_us": 2_000_000,
        "fresh_start": True,
    },
    "bias-drop": {
        "say": "bias",
        "halt": "drop",
        "full_checks": True,
        "below": "common",
        "calls_out": 0.8,
        "calls_over_us": 2_000_000,
    },
    "min-rank-short-memory": {"say": "min_rank", "ram_kb": 1_500.0, "fresh_start": True},
}


def settings_of(site: str) -> bytes:
    """Return the settings of a site as the JSON text of a create record."""
    return json.dumps(
        {
            "categories": CATEGORIES,
            "family_info": {**FAMILY, **SITES[site]},
            "rules": RULES,
            "limits": {"retry_after": True, "max_retry_after_us": 800_000},
            "tick_us": TICK_US,
            "tenants": [{"name": "a", "share": 0.7}, {"name": "b", "share": 0.3}],
            "group_size": 3,
        }
    ).encode()


@dataclass(slots=True)
class SimulatedRequest:
    """A request, as the worker sees it."""

    category: int
    subject: int
    state: str = "held"
    work_us: int = 0
    calls_left: int = 0


@dataclass
class SimulatedWorker:
    """One worker: turns actions into events at later times."""

    number: int
    seed: int
    site: str
    requests: dict[int, SimulatedRequest] = field(default_factory=dict)
    remembered: dict[int, int] = field(default_factory=dict)  # ids of remembered requests by subject
    events: list[tuple[int, int, bytes]] = field(default_factory=list)
    joined: dict[int, list[int]] = field(default_factory=dict)
    actions: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.site} {self.seed}")
        self.order, self.ids = itertools.count(), itertools.count(self.seed * 1_000 + 1)
        self.busy = 0.0

    def schedule(self, at_us: int, record: bytes) -> None:
        heapq.heappush(self.events, (at_us, next(self.order), record))

    def arrivals(self, now_us: int, duration_us: int) -> None:
        """Draw the arrivals of a tick: overload in the middle third of the duration, low load in the last."""
        third = 3 * now_us // duration_us
        rate = (0.045, 0.16, 0.03)[min(third, 2)]
        for _ in range(4):
            if self.random.random() < rate:
                self.arrive(now_us)
        if self.random.random() < 0.004 and self.requests:
            self.schedule(
                now_us, struct.pack("<BIQ", 8, self.number, self.random.choice(list(self.requests)))
            )

    def arrive(self, now_us: int) -> None:
        rng = self.random
        category, request_id = rng.choices(range(4), (5, 4, 3, 1))[0], next(self.ids)
        subject = rng.randrange(1, 400)
        original = self.remembered.get(subject, 0) if category == 2 and rng.random() < 0.5 else 0
        self.requests[request_id] = SimulatedRequest(category, subject)
        waited_us = int(rng.expovariate(1 / 3_000)) if rng.random() < 0.97 else rng.randrange(900_000)
        self.schedule(
            now_us,
            struct.pack(
                "<BIQBHQIIffBHIQ",
                5,
                self.number,
                request_id,
                category,
                rng.randrange(2),
                subject,
                0 if rng.random() < 0.7 else rng.randrange(200_000, 2_000_000),
                rng.randrange(5_000, 80_000),
                rng.uniform(8, 60),
                rng.random(),
                (rng.random() < 0.8) + 2 * (rng.random() < 0.2),
                rng.randrange(CALLERS[self.site == "bias-drop"]),
                waited_us,
                original,
            ),
        )

    def apply_action(self, now_us: int, record: bytes) -> None:
        """Carry out one action: schedule the events that follow from it."""
        code, _, request_id = struct.unpack_from("<BIQ", record)
        self.actions[code] += 1
        if code == 10:
            _, _, in_us, label = struct.unpack_from("<BIIQ", record)
            self.schedule(now_us + in_us, self.tick_record(label))
            return
        simulated = self.requests.get(request_id)
        reaction = REACTIONS.get(code)
        if simulated is not None and reaction is not None:
            reaction(self, now_us, request_id, simulated, record)

    def tick_record(self, label: int) -> bytes:
        running = sum(simulated.state == "running" for simulated in self.requests.values())
        self.busy = 0.6 * self.busy + 0.4 * min(1.0, running / 2) * self.random.uniform(0.85, 1.0)
        gauges = (self.busy, float(running), min(1.0, len(self.requests) / 60), self.random.uniform(1, 60))
        return struct.pack("<BIQB4f", 9, self.number, label, 4, *gauges)

    def run(self, now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        if simulated.state == "paused":
            simulated.state = "running"
            self.schedule(
                now_us + simulated.work_us, self.run_ended_record(request_id, OK, simulated.work_us)
            )
            return
        simulated.state, simulated.calls_left = "running", int(simulated.category != 1)
        simulated.work_us = self.random.randrange(4_000, 90_000)
        self.proceed(now_us, request_id, simulated)

    def proceed(self, now_us: int, request_id: int, simulated: SimulatedRequest) -> None:
        simulated.state = "running"
        if simulated.calls_left:
            self.schedule(now_us + simulated.work_us // 2, struct.pack("<BIQ", 7, self.number, request_id))
        else:
            outcome = self.random.choice(RUN_OUTCOMES)
            self.schedule(
                now_us + simulated.work_us, self.run_ended_record(request_id, outcome, simulated.work_us)
            )

    def run_ended_record(self, request_id: int, outcome: int, took_us: int) -> bytes:
        return struct.pack("<BIQHI", 1, self.number, request_id, outcome, took_us)

    def call(self, now_us: int, request_id: int, simulated: SimulatedRequest, record: bytes) -> None:
        until_us = struct.unpack_from("<Q", record, 13)[0]
        took_us, outcome = int(self.random.expovariate(1 / 60_000)), self.random.choice(CALL_OUTCOMES)
        if now_us + took_us > until_us:
            took_us, outcome = until_us - now_us, TIMEOUT
        self.schedule(now_us + took_us, struct.pack("<BIQIH", 6, self.number, request_id, took_us, outcome))
        if outcome == OK:
            simulated.calls_left = 0
            self.schedule(
                now_us + took_us + simulated.work_us,
                self.run_ended_record(request_id, OK, simulated.work_us + took_us),
            )

    def skip(self, now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        simulated.calls_left = 0
        self.proceed(now_us, request_id, simulated)

    def pause(self, _now_us: int, _request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        simulated.state = "paused"

    def answered(self, now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        if simulated.state == "held":
            self.requests.pop(request_id)
        elif simulated.calls_left:
            self.schedule(now_us + 20_000, self.run_ended_record(request_id, CANCELLED, 20_000))
            simulated.calls_left = 0

    def remember(self, _now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        self.remembered[simulated.subject] = request_id

    def forget(self, _now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        self.remembered.pop(simulated.subject, None)

    def join(self, now_us: int, request_id: int, simulated: SimulatedRequest, _record: bytes) -> None:
        simulated.state = "joined"
        outcome = self.random.choice((OK, OK, ERROR))
        self.schedule(now_us + self.random.randrange(300_000), self.run_ended_record(request_id, outcome, 0))


REACTIONS: dict[int, Callable[..., None]] = {
    1: SimulatedWorker.call,
    2: SimulatedWorker.answered,
    3: SimulatedWorker.run,
    4: SimulatedWorker.skip,
    6: SimulatedWorker.forget,
    9: SimulatedWorker.answered,
    12: SimulatedWorker.pause,
    13: SimulatedWorker.remember,
    14: SimulatedWorker.join,
}


class Simulation:
    """Several workers that share one process of the adapter and one virtual clock."""

    def __init__(
        self, exchange: Callable[[bytes], tuple[bytes, bytes]], sites: list[str], seed: int, duration_us: int
    ) -> None:
        """Create a worker for each site; `exchange` sends a frame and returns a header and a body."""
        self.exchange, self.duration_us, self.now_us, self.batches = exchange, duration_us, 1_000_000, 0
        self.workers = {
            number: SimulatedWorker(number, seed * 100 + number, site) for number, site in enumerate(sites, 1)
        }
        self.digest = hashlib.sha256()

    def batch(self, records: list[bytes], tail: bytes = b"") -> None:
        """Send one batch of records, `tail` after them, and carry out the actions of the reply."""
        self.batches += 1
        body = b"".join(record.ljust(EVENT_SIZE, b"\0") for record in records) + tail
        header, reply = self.exchange(
            struct.pack("<IQII", self.batches, self.now_us, len(body) + 4, len(records)) + body
        )
        self.digest.update(header + reply)
        count = struct.unpack_from("<I", header, 4)[0]
        for start in range(0, count * ACTION_SIZE, ACTION_SIZE):
            record = reply[start : start + ACTION_SIZE]
            number = struct.unpack_from("<I", record, 1)[0]
            if record[0] == 11:
                raise RuntimeError(reply[count * ACTION_SIZE :].decode())
            self.workers[number].apply_action(self.now_us, record)

    def run(self) -> None:
        """Create the workers, simulate the whole duration, and drain all workers after nine tenths of it."""
        for worker in self.workers.values():
            text = settings_of(worker.site)
            self.batch([struct.pack("<BIQII", 4, worker.number, worker.seed, 0, len(text))], text)
        start_us = self.now_us
        while self.now_us < start_us + self.duration_us:
            self.now_us += TICK_US
            elapsed_us = self.now_us - start_us
            records = []
            for worker in self.workers.values():
                worker.arrivals(elapsed_us, self.duration_us)
                if elapsed_us == self.duration_us * 9 // 10 // TICK_US * TICK_US:
                    records.append(struct.pack("<BII", 3, worker.number, 1_500_000))
                while worker.events and worker.events[0][0] <= self.now_us:
                    record = heapq.heappop(worker.events)[2]
                    if record[0] == 1:
                        worker.requests.pop(struct.unpack_from("<Q", record, 5)[0], None)
                    records.append(record)
            if records:
                self.batch(records)

    def result(self) -> dict[str, Any]:
        """Return the digest of all replies, and the numbers of batches and of actions by their codes."""
        total: Counter[int] = Counter()
        for worker in self.workers.values():
            total.update(worker.actions)
        return {
            "sha256": self.digest.hexdigest(),
            "batches": self.batches,
            "actions": {str(code): count for code, count in sorted(total.items())},
        }
