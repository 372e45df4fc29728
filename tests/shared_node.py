"""A node of several tenants on a clock of its own: decision module, shares, and runs that take time."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from helpers import settings

from reelusher.policy.actions import Action, FailRequest, Reject, Run, SetTimer
from reelusher.policy.controller import Controller
from reelusher.policy.events import Event, Gauges, Outcome, Request, RunEnded, Tick
from reelusher.policy.settings import Idempotency, RequestClass
from reelusher.tenancy.fair_queue import FairQueue, Quota

CLASSES = (
    RequestClass(deadline_us=5_000_000, latency_objective_us=500_000),
    RequestClass(
        deadline_us=5_000_000,
        latency_objective_us=500_000,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        idempotency_window_us=20_000_000,
    ),
    RequestClass(deadline_us=20_000_000, latency_objective_us=10_000_000),
)
SEC = 1_000_000


@dataclass(slots=True)
class Demand:
    """What one tenant asks for: a rate, and how long each run takes."""

    rate: float
    work_us: float = 100_000.0
    kind: int = 0
    hint: bool = False  # does a request tell the work that it takes
    retries: float = 0.0  # of each refusal, that it comes again 50 ms later
    begins_us: int = 0
    ends_us: int = 1 << 60
    held_kb: float = 16.0


class SharedNode:
    """Plays arrivals against one module and counts what each tenant gets."""

    def __init__(
        self,
        shares: dict[int, Quota] | None,
        demands: dict[int, Demand],
        cores: int = 4,
        seed: int = 1,
        **changes: float,
    ) -> None:
        told = settings(
            *CLASSES,
            cores=cores,
            memory_kb=changes.pop("memory_kb", 65_536.0),
            running_memory_factor=4.0,
            key_entry_kb=16.0,
            initial_speed=1.0,
            warm_up_us=0,
        )
        self.shares = None if shares is None else FairQueue(cores, told.memory_kb)
        for tenant, share in (shares or {}).items():
            assert self.shares is not None
            self.shares.entitle(tenant, share)
        self.cores, self.demands = cores, demands
        self.module = Controller(told, seed, self.shares)
        self.random = random.Random(seed)
        self.now, self.ids, self.order = 0, itertools.count(1), itertools.count()
        self.queue: list[tuple[int, int, Callable[[], list[Event]]]] = []
        self.who: dict[int, tuple[int, int]] = {}  # request: tenant, when it came
        self.runs: set[int] = set()
        self.answered: set[int] = set()
        self.counts: dict[int, Counter[str]] = defaultdict(Counter)
        self.work_us: Counter[int] = Counter()
        self.log: list[tuple[int, Action]] = []
        self._act(self.module.handle(0, []))
        for tenant, demand in demands.items():
            self.at(demand.begins_us + self.gap(demand), lambda t=tenant: self.arrive(t, True))  # type: ignore[misc]

    def gap(self, demand: Demand) -> int:
        return int(self.random.expovariate(demand.rate) * SEC)

    def at(self, when_us: int, what: Callable[[], list[Event]]) -> None:
        heapq.heappush(self.queue, (when_us, next(self.order), what))

    def arrive(self, tenant: int, first: bool) -> list[Event]:
        demand, number = self.demands[tenant], next(self.ids)
        if first and self.now < demand.ends_us:
            self.at(self.now + max(1, self.gap(demand)), lambda: self.arrive(tenant, True))
        self.who[number] = tenant, self.now
        self.counts[tenant]["asked"] += first
        hint = int(demand.work_us) if demand.hint else 0
        return [Request(number, demand.kind, tenant, 0, tenant, demand.held_kb, hint)]

    def end(self, number: int) -> list[Event]:
        tenant, came = self.who[number]
        took = int(self.demands[tenant].work_us)
        self.runs.discard(number)
        self.work_us[tenant] += took
        if number not in self.answered:
            self.answered.add(number)
            self.counts[tenant]["served"] += 1
            self.counts[tenant]["in_time"] += self.now - came <= 500_000
        return [RunEnded(number, Outcome.OK, took)]

    def run(self, until_us: int) -> "SharedNode":
        while self.queue and self.queue[0][0] <= until_us:
            self.now, _, what = heapq.heappop(self.queue)
            self._act(self.module.handle(self.now, what()))
        return self

    def tick(self, label: int) -> list[Event]:
        busy = min(1.0, len(self.runs) / self.cores)
        return [Tick(label, Gauges(busy, float(len(self.runs)), 0.0, 3.0))]

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            self.log.append((self.now, action))
            match action:
                case SetTimer(delay_us, label):
                    self.at(self.now + delay_us, partial(self.tick, label))
                case Run(number):
                    self.runs.add(number)
                    ends_us = self.now + int(self.demands[self.who[number][0]].work_us)
                    self.at(ends_us, partial(self.end, number))
                case Reject(number) | FailRequest(number):
                    tenant, _ = self.who[number]
                    self.answered.add(number)
                    self.counts[tenant]["refused" if isinstance(action, Reject) else "failed"] += 1
                    if self.random.random() < self.demands[tenant].retries:
                        self.at(self.now + 50_000, lambda tenant=tenant: self.arrive(tenant, False))  # type: ignore[misc]

    def in_time(self, tenant: int) -> float:
        """Return the part of a tenant's requests that were answered within the aim."""
        return self.counts[tenant]["in_time"] / max(1, self.counts[tenant]["asked"])

    def done(self) -> float:
        """Return the part of the cores' time that was work."""
        return sum(self.work_us.values()) / (self.cores * self.now)
