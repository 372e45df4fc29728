"""The tenant scheduler: accounts for what each tenant uses and orders their requests. Free of I/O.

The order is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) with tags assigned at dispatch, so
that a flow needs two numbers whatever it holds; guarantees and ceilings are clocks beside it, as in mClock
(Gulati, Merchant and Varman, OSDI 2010). Work is core-microseconds: an estimate is charged when a run starts
and corrected while it lasts and when it ends. Weighted max-min allocation of the work that arrives decides
which tenants are over their quota. docs/tenancy.md discusses the alternatives.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from reelusher.policy.events import Request
from reelusher.policy.tenant_scheduler import HasRequestT
from reelusher.tenancy.flow_state import (
    DEMAND_TIME_CONSTANT_US,
    IDLE_DEMAND_CORES,
    FlowState,
    RunTimeMeans,
    TenantUsage,
)
from reelusher.tenancy.quota import Quota
from reelusher.tenancy.rate_limit import FlowDemand, allocate

OVER_QUOTA_RATIO = 1.05  # of demand to allocation, past which a tenant is over its quota
ADMITTED_RATIO = 1.25  # of the allocation that is admitted: a queue that runs empty wastes its turn
ACTIVE_PER_ALLOCATION = 200  # active tenants for each period between two allocations
LONG_RUN_US = 1_000_000  # a run that lasts longer lends its slot to other tenants
DEFAULT_WORK_US = 10_000.0  # of a run about which nothing is known
FREE_MEMORY_FACTOR = 2.0  # times the free memory that one tenant may take (dynamic threshold)
ALL_CLASSES = -1  # the queue of a tenant whose classes have no weights


@dataclass(slots=True)
class _Run:
    """A run, and what has been charged for it."""

    tenant: int
    request: Request
    started_us: int
    charged_us: float


class FairQueue:
    """Implements `TenantScheduler` for tenants known by number. Only the event loop thread calls it.

    A tenant without a quota of its own has the default one. A single tenant does not change what the
    controller decides.
    """

    def __init__(self, cores: int, memory_kb: float) -> None:
        self._cores = cores
        self._memory_kb = memory_kb
        self.flows: dict[int, FlowState] = {}  # by tenant
        self._active: dict[int, FlowState] = {}  # by tenant: those with demand of late
        self._runs: dict[int, _Run] = {}  # by request id
        self._key_owners: dict[int, int] = {}  # by request id: tenant
        self._key_expiries: list[tuple[int, int]] = []  # heap of: when it expires, request id
        self._run_times = RunTimeMeans()  # of all tenants
        self.virtual_time = 0.0
        self._long_runs = 0
        self._any_over_quota = False
        self._periods_since_allocation = 0
        self.advances_while_idle = False  # virtual time advances, so that tenants can be evicted
        self._held = 0  # requests of all tenants
        self._idle_since_us: int | None = None  # the last period, if nothing was held then
        self._active_weight = 0.0  # sum of the weights of active tenants

    # Tenants

    def set_quota(self, tenant: int, quota: Quota) -> None:
        """Add a tenant, or change its quota from now on."""
        flow = self.flows.get(tenant)
        if flow is None:
            self.flows[tenant] = FlowState(tenant, quota, self._cores, self.virtual_time)
        else:
            flow.set_quota(quota, self._cores, self.virtual_time)

    def remove(self, tenant: int) -> None:
        """Forget a tenant as soon as it has no runs and no remembered keys.

        If it were forgotten at once, the end of its next run would add it again for good.
        """
        flow = self.flows.get(tenant)
        if flow is not None:
            flow.removed = True
            self._forget_if_unused(flow)

    def evict(self, tenant: int, now_us: int) -> bool:
        """Forget a tenant that will return, if that gains it nothing; return whether it is forgotten."""
        flow = self.flows.get(tenant)
        if flow is None:
            return True
        if not flow.is_like_new(self.virtual_time, now_us):
            return False
        self._forget(flow)
        return True

    def _forget(self, flow: FlowState) -> None:
        self.flows.pop(flow.tenant, None)
        self._active.pop(flow.tenant, None)

    def _forget_if_unused(self, flow: FlowState) -> None:
        if flow.removed and flow.is_unused():
            self._forget(flow)

    def _flow(self, tenant: int) -> FlowState:
        try:
            return self.flows[tenant]
        except KeyError:
            flow = self.flows[tenant] = self._new_flow(tenant)
            return flow

    def _new_flow(self, tenant: int) -> FlowState:
        return FlowState(tenant, Quota(), self._cores, self.virtual_time)

    def usage(self, tenant: int, now_us: int) -> TenantUsage:
        """Return what a tenant uses now."""
        flow = self.flows.get(tenant) or self._new_flow(tenant)
        return flow.usage(self._cores, now_us)

    # Admission

    def request_arrived(self, request: Request, now_us: int) -> None:
        """Count the work that a request asks for, whether or not it is rejected: retries are load, too."""
        flow = self._flow(request.tenant)
        flow.decayed_demand(now_us)
        flow.demand_cores += self._estimate_us(flow, request) / DEMAND_TIME_CONSTANT_US
        self._active[flow.tenant] = flow

    def exceeds_limit(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Return whether a limit of its tenant keeps a request out.

        The memory of a tenant is limited to a multiple of what is still free (dynamic thresholds: Choudhury
        and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). So a flood leaves memory to others, and a
        tenant that is alone may use most of it.
        """
        flow = self._flow(request.tenant)
        quota = flow.quota
        if quota.held and flow.held >= quota.held:
            return True
        if keyed and quota.keys and flow.keys >= quota.keys:
            return True
        if quota.memory_kb and flow.memory_kb + extra_kb > quota.memory_kb:
            return True
        free_kb = max(0.0, self._memory_kb - used_kb)
        return len(self.flows) > 1 and flow.memory_kb + extra_kb > FREE_MEMORY_FACTOR * free_kb

    def rejection_probability(self, tenant: int, probability: float) -> float:
        """Return a tenant's probability of random rejection, where it would be `probability` for all.

        While some tenants are over their quota, only their requests are rejected, and of each tenant at most
        the fraction of its demand that is beyond its allocation.
        """
        if not self._any_over_quota or len(self._active) < 2:
            return probability
        return min(probability, self._flow(tenant).excess_fraction)

    # Held requests and remembered keys

    def holding_changed(self, request: Request, held: int, change_kb: float) -> None:
        """Count a request that starts (1) or ends (-1) to be held, and the memory that it takes or frees."""
        flow = self._flow(request.tenant)
        flow.held += held
        self._held += held
        flow.memory_kb += change_kb
        if flow.removed:
            self._forget_if_unused(flow)

    def key_remembered(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a remembered idempotency key."""
        if request.id in self._key_owners:
            return
        flow = self._flow(request.tenant)
        flow.keys += 1
        flow.memory_kb += entry_kb
        self._key_owners[request.id] = request.tenant
        heapq.heappush(self._key_expiries, (until_us, request.id))

    def key_forgotten(self, request_id: int, entry_kb: float) -> None:
        """Stop counting the idempotency key of a request."""
        tenant = self._key_owners.pop(request_id, None)
        flow = None if tenant is None else self.flows.get(tenant)
        if flow is not None:
            flow.keys -= 1
            flow.memory_kb -= entry_kb
            self._forget_if_unused(flow)

    def expired_keys(self, now_us: int) -> list[int]:
        """Return the ids of requests whose remembered keys have expired."""
        expired = []
        while self._key_expiries and self._key_expiries[0][0] <= now_us:
            expired.append(heapq.heappop(self._key_expiries)[1])
        return expired

    # Runs

    def run_started(self, request: Request, now_us: int) -> None:
        """Count a run, and charge the work that it is likely to take."""
        flow = self._flow(request.tenant)
        work_us = self._estimate_us(flow, request)
        start_tag = max(self.virtual_time, flow.finish_tag)
        if not flow.is_below_guarantee(now_us):  # or a guarantee would cancel what others are owed
            self.virtual_time = start_tag
        flow.finish_tag = start_tag
        flow.start_class(request.class_index)
        flow.running += 1
        if work_us > LONG_RUN_US:  # as earlier runs of this tenant were: it lends its slot at once
            flow.long_runs += 1
            self._long_runs += 1
        flow.charge(work_us, request.class_index, now_us)
        self._runs[request.id] = _Run(flow.tenant, request, now_us, work_us)

    def run_ended(self, request: Request, duration_us: int, now_us: int) -> None:
        """Stop counting a run, and charge what it has taken; a duration of 0 is not known."""
        run = self._runs.pop(request.id, None)
        flow = self.flows.get(run.tenant) if run else None
        if run is None or flow is None:
            return
        work_us = float(duration_us or now_us - run.started_us)
        flow.running -= 1
        if not flow.running:
            flow.long_runs, flow.min_estimate_us = 0, 0.0
        if duration_us:
            for run_times in (flow.run_times, self._run_times):
                run_times.observe(request.class_index, work_us, request.expected_work_us)
        flow.charge(work_us - run.charged_us, request.class_index, now_us)
        self._forget_if_unused(flow)

    def borrowable_runs(self, tenant: int | None = None) -> int:
        """Return how many long runs of other tenants lend their concurrency slots to this one.

        Without a tenant, the most that any may borrow.
        """
        if not self._long_runs or tenant is None:
            return self._long_runs
        return self._long_runs - self._flow(tenant).long_runs

    def _estimate_us(self, flow: FlowState, request: Request) -> float:
        """Return the work that a request is likely to take, by its tenant's runs of the class, else by all.

        It is at least what the youngest run of the tenant has taken so far: so a worker that hangs shows
        long before the first of its runs ends.
        """
        for run_times in (flow.run_times, self._run_times):
            estimate_us = run_times.estimate(request.class_index, request.expected_work_us)
            if estimate_us is not None:
                return max(estimate_us, flow.min_estimate_us)
        return max(float(request.expected_work_us) or DEFAULT_WORK_US, flow.min_estimate_us)

    # Order

    def order(self, held: Sequence[HasRequestT], now_us: int) -> Iterator[HasRequestT]:
        """Yield held requests in the order in which tenants are entitled to run them.

        `held` is in the controller's order, which is preserved within a tenant (or within a class of a
        tenant whose classes have weights). Runs that are started between two items count. Tenants that are
        at a limit of their own are left out.
        """
        if len(held) == 1:  # the usual case while cores are free
            if self._flow(held[0].request.tenant).may_run(now_us):
                yield held[0]
            return
        queues = self._queues(held)
        heap = [(*self._start_key(self._flow(tenant), now_us), tenant) for tenant in queues]
        heapq.heapify(heap)
        while heap:
            *_, tenant = heapq.heappop(heap)
            flow, by_class = self._flow(tenant), queues[tenant]
            if not flow.may_run(now_us):
                continue
            index = flow.next_class(by_class) if len(by_class) > 1 else next(iter(by_class))
            yield by_class[index].popleft()
            if not by_class[index]:
                del by_class[index]
            if by_class:
                heapq.heappush(heap, (*self._start_key(flow, now_us), tenant))

    def _queues(self, held: Sequence[HasRequestT]) -> dict[int, dict[int, deque[HasRequestT]]]:
        """Return held requests by tenant and by class, or by tenant where its classes have no weights."""
        queues: dict[int, dict[int, deque[HasRequestT]]] = {}
        for one in held:
            request = one.request
            weighted = self._flow(request.tenant).quota.class_weights
            index = request.class_index if weighted else ALL_CLASSES
            queues.setdefault(request.tenant, {}).setdefault(index, deque()).append(one)
        return queues

    def _start_key(self, flow: FlowState, now_us: int) -> tuple[int, float, float]:
        """Return the sort key of a tenant: below its guarantee first, then by start tag and by finish tag."""
        clock = flow.guarantee_clock
        if clock is not None and clock.conforms(now_us):
            return 0, clock.tat_us, flow.finish_tag
        return 1, max(self.virtual_time, flow.finish_tag), flow.finish_tag

    # Periodic accounting

    def period_elapsed(self, now_us: int) -> None:
        """Bring the accounts up to date: runs that last, idle tenants, and who is over its quota."""
        if self.advances_while_idle:
            self._advance_while_idle(now_us)
        self._charge_runs(now_us)
        # an allocation costs time in proportion to the active tenants: with many it is made less often
        self._periods_since_allocation += 1
        if self._periods_since_allocation <= len(self._active) // ACTIVE_PER_ALLOCATION:
            return
        self._periods_since_allocation = 0
        self._deactivate_idle(now_us)
        self._allocate()

    def _advance_while_idle(self, now_us: int) -> None:
        """Advance virtual time while nothing is held, at the pace of a fluid server of all active tenants.

        By start tags alone it would stand still where each tenant sends one request, and all of them would
        stay ahead of it.
        """
        if self._idle_since_us is not None and not self._held:
            elapsed_us = now_us - self._idle_since_us
            self.virtual_time += self._cores * elapsed_us / max(1.0, self._active_weight)
        self._idle_since_us = None if self._held else now_us

    def _charge_runs(self, now_us: int) -> None:
        """Charge runs that last longer than was estimated, and count the long ones."""
        self._long_runs = 0
        for tenant in {run.tenant for run in self._runs.values()} & self.flows.keys():
            self.flows[tenant].long_runs, self.flows[tenant].min_estimate_us = 0, math.inf
        for run in self._runs.values():
            flow = self.flows.get(run.tenant)
            if flow is not None:
                self._charge_run(run, flow, now_us)

    def _charge_run(self, run: _Run, flow: FlowState, now_us: int) -> None:
        elapsed_us = now_us - run.started_us
        if elapsed_us > run.charged_us:
            flow.charge(elapsed_us - run.charged_us, run.request.class_index, now_us)
            run.charged_us = elapsed_us
        self._active[flow.tenant] = flow  # its runs count even though no more requests arrive
        flow.min_estimate_us = min(flow.min_estimate_us, elapsed_us)
        if run.charged_us > LONG_RUN_US:
            flow.long_runs += 1
            self._long_runs += 1

    def _deactivate_idle(self, now_us: int) -> None:
        for tenant, flow in list(self._active.items()):
            if flow.decayed_demand(now_us) < IDLE_DEMAND_CORES and not flow.held and not flow.running:
                del self._active[tenant]
                flow.excess_fraction = 0.0

    def _allocate(self) -> None:
        """Allocate the cores to the active tenants, and set what each of them demands beyond that."""
        flows = list(self._active.values())
        demands = [self._demand_of(flow) for flow in flows]
        self._active_weight = sum(demand.weight for demand in demands)
        self._any_over_quota = False
        for flow, allocated in zip(flows, allocate(demands, self._cores), strict=True):
            if flow.demand_cores > OVER_QUOTA_RATIO * allocated:
                flow.excess_fraction = max(0.0, 1 - ADMITTED_RATIO * allocated / flow.demand_cores)
                self._any_over_quota = True
            else:
                flow.excess_fraction = 0.0

    def _demand_of(self, flow: FlowState) -> FlowDemand:
        quota = flow.quota
        return FlowDemand(
            flow.demand_cores, quota.weight, quota.guarantee * self._cores, quota.ceiling * self._cores
        )
