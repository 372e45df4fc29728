"""A simulated node with several tenants: a controller, a fair queue, and runs that take simulated time."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from helpers import small_node_settings

from reelusher.policy.actions import Action, FailRequest, Reject, Run, SetTimer
from reelusher.policy.controller import Controller
from reelusher.policy.events import Event, Gauges, Outcome, Request, RunEnded, Tick
from reelusher.policy.settings import Idempotency, RequestClass
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.quota import Quota

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
SECOND_US = 1_000_000


@dataclass(slots=True)
class Demand:
    """The load of one tenant. Rates are requests per second."""

    rate: float
    work_us: float = 100_000.0  # duration of each run
    class_index: int = 0
    hint: bool = False  # whether requests state their expected work
    retries: float = 0.0  # probability that a rejected or failed attempt is retried after 50 ms
    starts_us: int = 0
    ends_us: int = 1 << 60
    held_kb: float = 16.0


class SharedNode:
    """Simulates arrivals and runs, and counts the answers and the work of each tenant."""

    def __init__(
        self,
        quotas: dict[int, Quota] | None,
        demands: dict[int, Demand],
        cores: int = 4,
        seed: int = 1,
        **changes: float,
    ) -> None:
        node_settings = small_node_settings(
            *CLASSES,
            cores=cores,
            memory_kb=changes.pop("memory_kb", 65_536.0),
            running_memory_factor=4.0,
            key_entry_kb=16.0,
            initial_speed=1.0,
            warm_up_us=0,
        )
        self.fair_queue = None if quotas is None else FairQueue(cores, node_settings.memory_kb)
        for tenant, quota in (quotas or {}).items():
            assert self.fair_queue is not None
            self.fair_queue.set_quota(tenant, quota)
        self.cores, self.demands = cores, demands
        self.controller = Controller(node_settings, seed, self.fair_queue)
        self.random = random.Random(seed)
        self.now_us, self.ids, self.sequence = 0, itertools.count(1), itertools.count()
        self.queue: list[tuple[int, int, Callable[[], list[Event]]]] = []
        self.arrivals: dict[int, tuple[int, int]] = {}  # tenant and arrival time by request id
        self.runs: set[int] = set()
        self.answered: set[int] = set()
        self.counts: dict[int, Counter[str]] = defaultdict(Counter)
        self.work_us: Counter[int] = Counter()
        self.log: list[tuple[int, Action]] = []
        self._act(self.controller.handle(0, []))
        for tenant, demand in demands.items():
            first_us = demand.starts_us + self.interarrival_us(demand)
            self.schedule(first_us, partial(self.arrive, tenant, True))

    def interarrival_us(self, demand: Demand) -> int:
        return int(self.random.expovariate(demand.rate) * SECOND_US)

    def schedule(self, when_us: int, produce_events: Callable[[], list[Event]]) -> None:
        heapq.heappush(self.queue, (when_us, next(self.sequence), produce_events))

    def arrive(self, tenant: int, first: bool) -> list[Event]:
        demand, request_id = self.demands[tenant], next(self.ids)
        if first and self.now_us < demand.ends_us:
            self.schedule(
                self.now_us + max(1, self.interarrival_us(demand)), lambda: self.arrive(tenant, True)
            )
        self.arrivals[request_id] = tenant, self.now_us
        self.counts[tenant]["requests"] += first
        hint = int(demand.work_us) if demand.hint else 0
        return [Request(request_id, demand.class_index, tenant, 0, tenant, demand.held_kb, hint)]

    def end(self, request_id: int) -> list[Event]:
        tenant, arrived_us = self.arrivals[request_id]
        duration_us = int(self.demands[tenant].work_us)
        self.runs.discard(request_id)
        self.work_us[tenant] += duration_us
        if request_id not in self.answered:
            self.answered.add(request_id)
            self.counts[tenant]["served"] += 1
            self.counts[tenant]["in_time"] += self.now_us - arrived_us <= 500_000
        return [RunEnded(request_id, Outcome.OK, duration_us)]

    def run(self, until_us: int) -> "SharedNode":
        while self.queue and self.queue[0][0] <= until_us:
            self.now_us, _, produce_events = heapq.heappop(self.queue)
            self._act(self.controller.handle(self.now_us, produce_events()))
        return self

    def tick(self, label: int) -> list[Event]:
        busy = min(1.0, len(self.runs) / self.cores)
        return [Tick(label, Gauges(busy, float(len(self.runs)), 0.0, 3.0))]

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            self.log.append((self.now_us, action))
            match action:
                case SetTimer(delay_us, label):
                    self.schedule(self.now_us + delay_us, partial(self.tick, label))
                case Run(request_id):
                    self.runs.add(request_id)
                    ends_us = self.now_us + int(self.demands[self.arrivals[request_id][0]].work_us)
                    self.schedule(ends_us, partial(self.end, request_id))
                case Reject(request_id) | FailRequest(request_id):
                    tenant, _ = self.arrivals[request_id]
                    self.answered.add(request_id)
                    self.counts[tenant]["rejected" if isinstance(action, Reject) else "failed"] += 1
                    if self.random.random() < self.demands[tenant].retries:
                        self.schedule(self.now_us + 50_000, partial(self.arrive, tenant, False))

    def in_time_fraction(self, tenant: int) -> float:
        """Return the number of a tenant's attempts served within 500 ms, divided by that of its requests.

        The 500 ms count from the arrival of the attempt, also for a retry; they are the latency objective of
        the first two classes.
        """
        return self.counts[tenant]["in_time"] / max(1, self.counts[tenant]["requests"])

    def utilization(self) -> float:
        """Return the fraction of the time of all cores that was spent on work."""
        return sum(self.work_us.values()) / (self.cores * self.now_us)
