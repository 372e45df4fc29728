"""The tenant scheduler, which accounts for the usage of each tenant and orders requests. Free of I/O.

The order is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996). Tags are assigned at dispatch, so
that a flow needs two numbers however many requests it holds. Guarantees and ceilings are separate clocks, as
in mClock (Gulati, Merchant and Varman, OSDI 2010). Work is measured in core-microseconds: an estimate is
charged when a run starts, and corrected while the run lasts and when it ends. A weighted max-min allocation
of the cores to the arriving work decides which tenants are over their quota. docs/tenancy.md discusses the
alternatives.
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

OVER_QUOTA_RATIO = 1.05  # a tenant whose demand exceeds its allocation times this is over its quota
# a tenant over its quota is admitted up to its allocation times this: an empty queue would waste its turn
ADMITTED_RATIO = 1.25
ACTIVE_PER_ALLOCATION = 200  # active tenants for each additional period between two allocations
LONG_RUN_US = 1_000_000  # a run that takes longer lends its concurrency slot to other tenants
DEFAULT_WORK_US = 10_000.0  # estimated work of a run without earlier runs or a hint
FREE_MEMORY_FACTOR = 2.0  # a tenant may use this multiple of the free memory (dynamic threshold)
ALL_CLASSES = -1  # class index of the only queue of a tenant whose classes have no weights


@dataclass(slots=True)
class _Run:
    """A run in progress and the work charged for it so far."""

    tenant: int
    request: Request
    started_us: int
    charged_us: float


class FairQueue:
    """Implements `TenantScheduler` for tenants known by number. Only the event loop thread calls it.

    A tenant without a quota of its own has the default quota. With a single tenant, if it has the default
    quota, the decisions of the controller are the same as without a fair queue.
    """

    def __init__(self, cores: int, memory_kb: float) -> None:
        self._cores = cores
        self._memory_kb = memory_kb
        self.flows: dict[int, FlowState] = {}  # by tenant
        self._active: dict[int, FlowState] = {}  # by tenant: those with recent demand, held requests or runs
        self._runs: dict[int, _Run] = {}  # by request id
        self._key_owners: dict[int, int] = {}  # tenant of each remembered key, by request id
        self._key_expiries: list[tuple[int, int]] = []  # heap of expiry times and request ids
        self._run_times = RunTimeMeans()  # means over the runs of all tenants
        self.virtual_time = 0.0
        self._long_runs = 0
        self._any_over_quota = False
        self._periods_since_allocation = 0
        # virtual time advances while no request is held, so that tenants can be evicted
        self.advances_while_idle = False
        self._total_held = 0  # held requests of all tenants
        self._idle_since_us: int | None = None  # end of the last period, if no request was held then
        self._active_weight = 0.0  # sum of the weights of active tenants at the last allocation

    # Tenants

    def set_quota(self, tenant: int, quota: Quota) -> None:
        """Add a tenant, or change the quota of a known one with immediate effect."""
        flow = self.flows.get(tenant)
        if flow is None:
            self.flows[tenant] = FlowState(tenant, quota, self._cores, self.virtual_time)
        else:
            flow.set_quota(quota, self._cores, self.virtual_time)

    def remove(self, tenant: int) -> None:
        """Delete a tenant's accounts as soon as it has no held requests, runs or remembered keys.

        If they were deleted at once, the end of its next run would create them again, and nothing would
        delete them after that.
        """
        flow = self.flows.get(tenant)
        if flow is not None:
            flow.removed = True
            self._delete_if_unused(flow)

    def evict(self, tenant: int, now_us: int) -> bool:
        """Delete the accounts of a tenant that may return; return whether they are deleted.

        They are kept as long as new accounts would give the tenant an advantage.
        """
        flow = self.flows.get(tenant)
        if flow is None:
            return True
        if not flow.is_equivalent_to_new(self.virtual_time, now_us):
            return False
        self._delete(flow)
        return True

    def _delete(self, flow: FlowState) -> None:
        self.flows.pop(flow.tenant, None)
        self._active.pop(flow.tenant, None)

    def _delete_if_unused(self, flow: FlowState) -> None:
        if flow.removed and flow.is_unused():
            self._delete(flow)

    def _flow(self, tenant: int) -> FlowState:
        try:
            return self.flows[tenant]
        except KeyError:
            flow = self.flows[tenant] = self._new_flow(tenant)
            return flow

    def _new_flow(self, tenant: int) -> FlowState:
        return FlowState(tenant, Quota(), self._cores, self.virtual_time)

    def usage(self, tenant: int, now_us: int) -> TenantUsage:
        """Return the current usage of a tenant; an unknown tenant is not added."""
        flow = self.flows.get(tenant) or self._new_flow(tenant)
        return flow.usage(self._cores, now_us)

    # Admission

    def request_arrived(self, request: Request, now_us: int) -> None:
        """Add the estimated work of a request to its tenant's demand.

        Rejected requests count as well: retries are load, too.
        """
        flow = self._flow(request.tenant)
        flow.decayed_demand(now_us)
        flow.demand_cores += self._estimate_us(flow, request) / DEMAND_TIME_CONSTANT_US
        self._active[flow.tenant] = flow

    def exceeds_limit(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Return whether a limit of its tenant excludes a request that would take `extra_kb` more memory.

        `keyed` requests have an idempotency key to remember; `used_kb` is the memory that all tenants use.

        If there are several tenants, the memory of each is limited to a multiple of the free memory (dynamic
        thresholds: Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). A flood of one
        tenant therefore leaves memory to others, and a tenant may use most of the memory while others use
        none.
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
        """Return a tenant's probability of random rejection; `probability` is the common one of all tenants.

        While some tenants are over their quota, only their requests are rejected, with at most the fraction
        of the tenant's demand that exceeds its admitted allocation.
        """
        if not self._any_over_quota or len(self._active) < 2:
            return probability
        return min(probability, self._flow(tenant).excess_fraction)

    # Held requests and remembered keys

    def holding_changed(self, request: Request, held: int, change_kb: float) -> None:
        """Count a change of the held requests of a tenant and of the memory that it uses.

        `held` is 1 when a request becomes held, -1 when it no longer is, and 0 when only memory changes.
        """
        flow = self._flow(request.tenant)
        flow.held += held
        self._total_held += held
        flow.memory_kb += change_kb
        if flow.removed:
            self._delete_if_unused(flow)

    def key_remembered(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a remembered idempotency key, which takes `entry_kb` of memory, in its tenant's accounts."""
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
            self._delete_if_unused(flow)

    def expired_keys(self, now_us: int) -> list[int]:
        """Return the ids of requests whose remembered keys have expired since the last call."""
        expired = []
        while self._key_expiries and self._key_expiries[0][0] <= now_us:
            expired.append(heapq.heappop(self._key_expiries)[1])
        return expired

    # Runs

    def run_started(self, request: Request, now_us: int) -> None:
        """Count a run, and charge the work that it is expected to take."""
        flow = self._flow(request.tenant)
        work_us = self._estimate_us(flow, request)
        start_tag = max(self.virtual_time, flow.finish_tag)
        # Runs under a guarantee don't advance virtual time: their tags may be far ahead, and tenants that lag
        # behind would lose the work that their lag entitles them to.
        if not flow.is_below_guarantee(now_us):
            self.virtual_time = start_tag
        flow.finish_tag = start_tag
        flow.advance_class_time(request.class_index)
        flow.running += 1
        if work_us > LONG_RUN_US:  # a run that is expected to be long lends its slot at once
            flow.long_runs += 1
            self._long_runs += 1
        flow.charge(work_us, request.class_index, now_us)
        self._runs[request.id] = _Run(flow.tenant, request, now_us, work_us)

    def run_ended(self, request: Request, duration_us: int, now_us: int) -> None:
        """Stop counting a run, and charge the work that it has taken.

        A `duration_us` of 0 means unknown: the time since the start is charged, and no run time is learned.
        """
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
        self._delete_if_unused(flow)

    def borrowable_runs(self, tenant: int | None = None) -> int:
        """Return the number of long runs of other tenants, which lend their concurrency slots to this one.

        Without a tenant, return the number of all long runs, the upper bound for any tenant.
        """
        if not self._long_runs or tenant is None:
            return self._long_runs
        return self._long_runs - self._flow(tenant).long_runs

    def _estimate_us(self, flow: FlowState, request: Request) -> float:
        """Return the expected work of a request, from earlier runs of its class.

        These are the runs of its tenant or, where there are none, of all tenants. The estimate is at least
        the time that the newest run of the tenant has taken so far: a worker that hangs raises the estimate
        long before the first of its runs ends.
        """
        for run_times in (flow.run_times, self._run_times):
            estimate_us = run_times.estimate(request.class_index, request.expected_work_us)
            if estimate_us is not None:
                return max(estimate_us, flow.min_estimate_us)
        return max(float(request.expected_work_us) or DEFAULT_WORK_US, flow.min_estimate_us)

    # Order

    def order(self, held: Sequence[HasRequestT], now_us: int) -> Iterator[HasRequestT]:
        """Yield held requests in the order in which their tenants are entitled to run them.

        `held` is in the controller's order, which is preserved within a tenant (or within a class of a
        tenant whose classes have weights). Runs that are started between two items affect the order of the
        following items. Tenants that have reached a limit of their own are left out.
        """
        if len(held) == 1:  # the usual case while cores are free
            if self._flow(held[0].request.tenant).may_run(now_us):
                yield held[0]
            return
        queues = self._queues_by_tenant(held)
        heap = [(*self._start_key(self._flow(tenant), now_us), tenant) for tenant in queues]
        heapq.heapify(heap)
        while heap:
            *_, tenant = heapq.heappop(heap)
            flow, by_class = self._flow(tenant), queues[tenant]
            if not flow.may_run(now_us):
                continue
            class_index = flow.next_class(by_class) if len(by_class) > 1 else next(iter(by_class))
            yield by_class[class_index].popleft()
            if not by_class[class_index]:
                del by_class[class_index]
            if by_class:
                heapq.heappush(heap, (*self._start_key(flow, now_us), tenant))

    def _queues_by_tenant(self, held: Sequence[HasRequestT]) -> dict[int, dict[int, deque[HasRequestT]]]:
        """Return held requests by tenant and by class.

        A tenant whose classes have no weights has a single queue, at `ALL_CLASSES`.
        """
        queues: dict[int, dict[int, deque[HasRequestT]]] = {}
        for item in held:
            request = item.request
            has_class_weights = self._flow(request.tenant).quota.class_weights
            class_index = request.class_index if has_class_weights else ALL_CLASSES
            queues.setdefault(request.tenant, {}).setdefault(class_index, deque()).append(item)
        return queues

    def _start_key(self, flow: FlowState, now_us: int) -> tuple[int, float, float]:
        """Return the sort key of a tenant: tenants below their guarantee first, then by their tags."""
        clock = flow.guarantee_clock
        if clock is not None and clock.conforms(now_us):
            return 0, clock.tat_us, flow.finish_tag
        return 1, max(self.virtual_time, flow.finish_tag), flow.finish_tag

    # Periodic accounting

    def period_elapsed(self, now_us: int) -> None:
        """Update the accounts: charges for runs in progress, idle tenants, and tenants over their quota."""
        if self.advances_while_idle:
            self._advance_while_idle(now_us)
        self._charge_runs(now_us)
        # the time of an allocation is proportional to the active tenants: with many, it is made less often
        self._periods_since_allocation += 1
        if self._periods_since_allocation <= len(self._active) // ACTIVE_PER_ALLOCATION:
            return
        self._periods_since_allocation = 0
        self._deactivate_idle(now_us)
        self._allocate()

    def _advance_while_idle(self, now_us: int) -> None:
        """Advance virtual time while no request is held, at the rate of a fluid server of all active tenants.

        Start tags alone would not advance it where each tenant sends a single request: the finish tags of all
        these tenants would stay ahead of virtual time, and none of the tenants could be evicted.
        """
        if self._idle_since_us is not None and not self._total_held:
            elapsed_us = now_us - self._idle_since_us
            self.virtual_time += self._cores * elapsed_us / max(1.0, self._active_weight)
        self._idle_since_us = None if self._total_held else now_us

    def _charge_runs(self, now_us: int) -> None:
        """Charge runs that take longer than estimated, and update the long runs and minimum estimates."""
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
        self._active[flow.tenant] = flow  # a tenant with runs is active even if no more requests arrive
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
        """Allocate the cores to the active tenants, and set the excess fraction of each tenant's demand."""
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
