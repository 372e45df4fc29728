"""What each tenant has used, and who is next: the standing that the decision module goes by. Free of I/O.

The order is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) with tags given at dispatch, so
that a flow is two numbers whatever it holds; guarantees and ceilings are clocks beside it, as in mClock
(Gulati, Merchant and Varman, OSDI 2010). Work is core-microseconds: an estimate is charged when a run starts
and corrected as it goes on and when it ends. Who is over its share is told by weighted max-min allocation of
the work that comes in. docs/tenancy.md weighs the alternatives.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from reelusher.policy.events import Request
from reelusher.policy.tenant_scheduler import HasRequestT
from reelusher.tenancy.rate_limit import Claim, Gcra, allocate

DEMAND_US = 1_000_000  # time constant of the mean work that comes in
OVER = 1.05  # times its allocation that a tenant may ask for before it is over its share
ADMIT = 1.25  # times its allocation that is let in of it: a queue that runs empty wastes its turn
QUIET = 1e-3  # part of a core below which a tenant asks for nothing
MOST_ASKING = 200  # tenants that are looked at for each period
LONG_US = 1_000_000  # a run that lasts longer gives its place to other tenants
LEARN = 0.1  # weight of the newest run in the mean work of its class
FIRST_US = 10_000.0  # work of a run of which nothing is known
FREE_PART = 2.0  # times the memory still free that one tenant may take (dynamic threshold)
LEAST_KB = 1e-6  # memory below it is what rounding leaves
LAG_US = 200_000  # credit that a guarantee keeps: what was missed while no place was free, and no more


@dataclass(slots=True, frozen=True)
class Quota:
    """What a tenant is entitled to. Parts are of the node's capacity; a bound of 0 is none."""

    weight: float = 1.0
    guarantee: float = 0.0  # part that it gets before others get more by their weight
    ceiling: float = 1.0  # part past which it gets nothing although cores are free; 1: none
    burst_us: int = 200_000  # work at its ceiling that it may take at once
    held: int = 0
    running: int = 0
    memory_kb: float = 0.0  # of held and running requests and kept keys
    keys: int = 0
    class_weights: Mapping[int, float] = field(default_factory=dict)  # by class; empty: the module's order

    def __post_init__(self) -> None:
        """Reject what no order can be made of."""
        if not (0 < self.weight < math.inf and 0 <= self.guarantee <= 1 and 0 < self.ceiling <= 1):
            raise ValueError("weight must be above 0, guarantee from 0 to 1, ceiling above 0 and at most 1")
        if not all(0 < weight < math.inf for weight in self.class_weights.values()):
            raise ValueError("class weights must be above 0")


class _Means:
    """Mean work of runs by class, and the mean hint of the same runs."""

    def __init__(self) -> None:
        self._work: dict[int, tuple[float, float]] = {}

    def learn(self, kind: int, took_us: float, hint_us: int) -> None:
        took, hint = self._work.get(kind, (took_us, float(hint_us)))
        self._work[kind] = took + LEARN * (took_us - took), hint + LEARN * (hint_us - hint)

    def estimate(self, kind: int, hint_us: int) -> float | None:
        known = self._work.get(kind)
        if known is None:
            return None
        took, hint = known
        return took * hint_us / hint if hint_us and hint else took


@dataclass(slots=True)
class _Run:
    """A run, and what has been charged for it."""

    tenant: int
    request: Request
    since_us: int
    charged_us: float


class _Flow:
    """One tenant."""

    __slots__ = (
        "demand",
        "demand_us",
        "excess",
        "finish",
        "floor_us",
        "gone",
        "held",
        "kb",
        "keys",
        "lanes",
        "limit",
        "long",
        "means",
        "number",
        "reserve",
        "running",
        "share",
        "turn",
        "used_us",
    )

    def __init__(self, number: int, share: Quota, cores: int, virtual: float) -> None:
        self.number = number
        self.finish = virtual  # finish tag of the last run that was started, in work over weight
        self.lanes: dict[int, float] = {}  # the same by class, within the tenant
        self.held = self.running = self.long = self.keys = 0
        self.kb = 0.0
        self.floor_us = 0.0  # all that runs has lasted so long by now
        self.demand = 0.0  # mean work that comes in, in cores
        self.demand_us = 0  # when that was brought up to date
        self.excess = 0.0  # part of what comes in that is beyond its allocation
        self.means = _Means()
        self.used_us = 0.0  # work, since the tenant was added
        self.gone = False  # its tenant was dropped; it is forgotten once nothing of it is counted
        self.turn = 0.0  # within the tenant: the virtual time of its classes
        self.reserve: Gcra | None = None
        self.limit: Gcra | None = None
        self.entitle(share, cores, virtual)

    def entitle(self, share: Quota, cores: int, virtual: float) -> None:
        """Take a share; what is owed stays the same in work, whatever the weight was before."""
        before: Quota | None = getattr(self, "share", None)
        if before is not None:
            self.finish = virtual + (self.finish - virtual) * before.weight / share.weight
        self.share = share
        self.reserve = self._clock(self.reserve, share.guarantee * cores, 0, LAG_US)
        self.limit = self._clock(self.limit, share.ceiling * cores * (share.ceiling < 1), share.burst_us, 0)

    @staticmethod
    def _clock(known: Gcra | None, rate: float, burst_us: float, credit_us: float) -> Gcra | None:
        return Gcra(rate, burst_us, credit_us, known.tat_us if known else 0.0) if rate > 0 else None

    def decay(self, now_us: int) -> float:
        """Bring the mean work that comes in up to date and return it."""
        self.demand *= math.exp(-max(0, now_us - self.demand_us) / DEMAND_US)
        self.demand_us = max(self.demand_us, now_us)
        return self.demand

    def charge(self, work_us: float, kind: int, now_us: int) -> None:
        """Book work; negative where too much was booked."""
        self.finish += work_us / self.share.weight
        self.used_us += work_us
        if kind in self.lanes:
            self.lanes[kind] += work_us / self.share.class_weights.get(kind, 1.0)
        if self.reserve is not None:
            self.reserve.charge(work_us, now_us)
        if self.limit is not None:
            self.limit.charge(work_us, now_us)


class FairQueue:
    """The standing of all tenants, by number. One thread calls it: the one that owns the module.

    A tenant that was never set has the standard share. With one tenant it changes nothing about what the
    module decides.
    """

    def __init__(self, cores: int, memory_kb: float) -> None:
        self._cores = cores
        self._memory_kb = memory_kb
        self._flows: dict[int, _Flow] = {}
        self._asking: dict[int, _Flow] = {}  # those with work coming in lately
        self._runs: dict[int, _Run] = {}  # by request
        self._keys: dict[int, tuple[int, int]] = {}  # by request: tenant, and until when
        self._ends: list[tuple[int, int]] = []  # until when, request
        self._means = _Means()  # of all tenants
        self._virtual = 0.0
        self._long = 0
        self._any_over = False
        self._periods = 0  # since the last look at who is over
        self.forgetful = False  # tenants are let go while they ask for nothing
        self._held = 0  # requests, of all
        self._quiet_us: int | None = None  # the last period, if nothing was held then
        self._weights = 0.0  # of all that ask

    # Who there is

    def entitle(self, tenant: int, share: Quota) -> None:
        """Add a tenant, or change its share from now on."""
        flow = self._flows.get(tenant)
        if flow is None:
            self._flows[tenant] = _Flow(tenant, share, self._cores, self._virtual)
        else:
            flow.entitle(share, self._cores, self._virtual)

    def drop(self, tenant: int) -> None:
        """Forget a tenant once nothing of it runs or is kept any more.

        Forgotten at once, it came back with the end of its next run, for good, and owing memory.
        """
        flow = self._flows.get(tenant)
        if flow is not None:
            flow.gone = True
            self._tidy(flow)

    def let_go(self, tenant: int, now_us: int) -> bool:
        """Forget a tenant that is wanted again later, if it then stands as it would have; tell whether.

        So nobody gains by being away: nothing of it is counted, it asks for nothing, its start tag is not
        ahead of the virtual time, and its clocks stand as fresh ones do.
        """
        flow = self._flows.get(tenant)
        if flow is None:
            return True
        if flow.held or flow.running or flow.keys or flow.kb >= LEAST_KB or flow.decay(now_us) >= QUIET:
            return False
        clocks = [clock for clock in (flow.reserve, flow.limit) if clock is not None]
        if flow.finish > self._virtual or any(clock.tat_us > now_us - clock.credit_us for clock in clocks):
            return False
        del self._flows[tenant]
        self._asking.pop(tenant, None)
        return True

    def _tidy(self, flow: _Flow) -> None:
        if flow.gone and not (flow.held or flow.running or flow.keys) and flow.kb < LEAST_KB:
            self._flows.pop(flow.number, None)
            self._asking.pop(flow.number, None)

    def _flow(self, tenant: int) -> _Flow:
        try:
            return self._flows[tenant]
        except KeyError:
            flow = self._flows[tenant] = _Flow(tenant, Quota(), self._cores, self._virtual)
            return flow

    def usage(self, tenant: int, now_us: int) -> dict[str, float]:
        """Return how a tenant stands: work in core-milliseconds, the rest as counts, parts and KB."""
        flow = self._flows.get(tenant) or _Flow(tenant, Quota(), self._cores, self._virtual)
        return {
            "held": flow.held,
            "running": flow.running,
            "keys": flow.keys,
            "memory_kb": round(flow.kb, 1),
            "work_ms": round(flow.used_us / 1000, 1),
            "demand": round(flow.decay(now_us) / self._cores, 4),
            "over_by": round(flow.excess, 4),
        }

    # What the module asks and tells

    def request_arrived(self, request: Request, now_us: int) -> None:
        """Count the work that a request asks for, whatever becomes of it: retries press as much."""
        flow = self._flow(request.tenant)
        flow.decay(now_us)
        flow.demand += self._estimate(flow, request) / DEMAND_US
        self._asking[flow.number] = flow

    def exceeds_limit(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Tell whether a bound of its tenant keeps a request out.

        Of the memory a tenant may take so many times what is still free (dynamic thresholds: Choudhury and
        Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). So whoever floods leaves room for others,
        and one alone may have most of it.
        """
        flow = self._flow(request.tenant)
        share = flow.share
        if (share.held and flow.held >= share.held) or (keyed and share.keys and flow.keys >= share.keys):
            return True
        if share.memory_kb and flow.kb + extra_kb > share.memory_kb:
            return True
        free_kb = max(0.0, self._memory_kb - used_kb)
        return len(self._flows) > 1 and flow.kb + extra_kb > FREE_PART * free_kb

    def rejection_probability(self, tenant: int, chance: float) -> float:
        """Return the likelihood of a random refusal, where the module would have this one for all.

        While some are over their share, they alone are refused, and no more of each than the part that it
        asks for beyond its allocation.
        """
        if not self._any_over or len(self._asking) < 2:
            return chance
        return min(chance, self._flow(tenant).excess)

    def holding_changed(self, request: Request, held: int, change_kb: float) -> None:
        """Count a request that begins (1) or ends (-1) to be held, and the memory that it takes or gives."""
        flow = self._flow(request.tenant)
        flow.held += held
        self._held += held
        flow.kb += change_kb
        if flow.gone:
            self._tidy(flow)

    def key_remembered(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a kept key."""
        if request.id not in self._keys:
            flow = self._flow(request.tenant)
            flow.keys += 1
            flow.kb += entry_kb
            self._keys[request.id] = request.tenant, until_us
            heapq.heappush(self._ends, (until_us, request.id))

    def key_forgotten(self, number: int, entry_kb: float) -> None:
        """Count a key no longer."""
        known = self._keys.pop(number, None)
        flow = self._flows.get(known[0]) if known else None
        if flow is not None:
            flow.keys -= 1
            flow.kb -= entry_kb
            self._tidy(flow)

    def run_started(self, request: Request, now_us: int) -> None:
        """Count a run, and charge what it is likely to take."""
        flow = self._flow(request.tenant)
        work = self._estimate(flow, request)
        behind = flow.reserve is not None and flow.reserve.conforms(now_us)
        start = max(self._virtual, flow.finish)
        if not behind:  # a guarantee that is honoured must not forgive what the others are owed
            self._virtual = start
        flow.finish = start
        if flow.share.class_weights:
            flow.turn = flow.lanes[request.class_index] = max(
                flow.turn, flow.lanes.get(request.class_index, 0.0)
            )
        flow.running += 1
        if work > LONG_US:  # as runs of this tenant are: its places are others' at once
            flow.long += 1
            self._long += 1
        flow.charge(work, request.class_index, now_us)
        self._runs[request.id] = _Run(flow.number, request, now_us, work)

    def run_ended(self, request: Request, took_us: int, now_us: int) -> None:
        """Count a run no longer, and charge what it has taken."""
        run = self._runs.pop(request.id, None)
        flow = self._flows.get(run.tenant) if run else None
        if run is None or flow is None:
            return
        took = float(took_us or now_us - run.since_us)
        flow.running -= 1
        if not flow.running:
            flow.long, flow.floor_us = 0, 0.0
        if took_us:
            flow.means.learn(request.class_index, took, request.expected_work_us)
            self._means.learn(request.class_index, took, request.expected_work_us)
        flow.charge(took - run.charged_us, request.class_index, now_us)
        self._tidy(flow)

    def borrowable_runs(self, tenant: int | None = None) -> int:
        """Return how many runs of other tenants last so long that their places are this one's to use."""
        return self._long - self._flow(tenant).long if self._long and tenant is not None else self._long

    def order(self, held: Sequence[HasRequestT], now_us: int) -> Iterator[HasRequestT]:
        """Yield held requests in the order in which tenants are entitled to run them.

        `held` comes in the module's order, and so it stays within a tenant (or within a class of one that
        weighs its classes). The order heeds what is `started` between two items. Whoever is at a bound of
        its own is left out.
        """
        if len(held) == 1:  # as most often where cores are free
            if self._eligible(self._flow(held[0].request.tenant), now_us):
                yield held[0]
            return
        queues: dict[int, dict[int, deque[HasRequestT]]] = {}
        for one in held:
            number = one.request.tenant
            lane = one.request.class_index if self._flow(number).share.class_weights else -1
            queues.setdefault(number, {}).setdefault(lane, deque()).append(one)
        heap = [(*self._place(self._flow(number), now_us), number) for number in queues]
        heapq.heapify(heap)
        while heap:
            *_, number = heapq.heappop(heap)
            flow, lanes = self._flow(number), queues[number]
            if not self._eligible(flow, now_us):
                continue
            lane = (
                min(lanes, key=lambda kind: (flow.lanes.get(kind, 0.0), kind))
                if len(lanes) > 1
                else next(iter(lanes))
            )
            yield lanes[lane].popleft()
            if not lanes[lane]:
                del lanes[lane]
            if lanes:
                heapq.heappush(heap, (*self._place(flow, now_us), number))

    @staticmethod
    def _eligible(flow: _Flow, now_us: int) -> bool:
        """Tell whether no bound of its own keeps a tenant from another run."""
        most = flow.share.running
        return not (most and flow.running >= most) and (flow.limit is None or flow.limit.conforms(now_us))

    def _place(self, flow: _Flow, now_us: int) -> tuple[int, float, float]:
        """Sort key: behind its guarantee first, then by start tag; of equal ones who has had less."""
        if flow.reserve is not None and flow.reserve.conforms(now_us):
            return 0, flow.reserve.tat_us, flow.finish
        return 1, max(self._virtual, flow.finish), flow.finish

    def period_elapsed(self, now_us: int) -> None:
        """Bring the standing up to date: runs that last, keys that have run out, who is over its share."""
        if self.forgetful:
            self._rest(now_us)
        self._long = 0
        for number in {run.tenant for run in self._runs.values()} & self._flows.keys():
            self._flows[number].long, self._flows[number].floor_us = 0, math.inf
        for run in self._runs.values():
            owner = self._flows.get(run.tenant)
            lasted = now_us - run.since_us
            if owner is not None and lasted > run.charged_us:
                owner.charge(lasted - run.charged_us, run.request.class_index, now_us)
                run.charged_us = lasted
            if owner is not None:
                self._asking[owner.number] = owner  # what runs of it counts, though nothing more comes in
                owner.floor_us = min(owner.floor_us, lasted)
            if owner is not None and run.charged_us > LONG_US:
                owner.long += 1
                self._long += 1
        # a look at all who ask costs as much as there are: with many, who is over is told less often
        self._periods += 1
        if self._periods <= len(self._asking) // MOST_ASKING:
            return
        self._periods = 0
        for number, flow in list(self._asking.items()):
            if flow.decay(now_us) < QUIET and not flow.held and not flow.running:
                del self._asking[number]
                flow.excess = 0.0
        self._allocate()

    def _rest(self, now_us: int) -> None:
        """Have virtual time go on while nobody waits, at the pace of a fluid server of all that ask.

        By start tags alone it would stand still where each tenant asks once, and all were ahead for good.
        """
        if self._quiet_us is not None and not self._held:
            self._virtual += self._cores * (now_us - self._quiet_us) / max(1.0, self._weights)
        self._quiet_us = None if self._held else now_us

    def expired_keys(self, now_us: int) -> list[int]:
        """Return the requests whose keys have run out by now, for `forgets`."""
        found = []
        while self._ends and self._ends[0][0] <= now_us:
            found.append(heapq.heappop(self._ends)[1])
        return found

    def _allocate(self) -> None:
        asking = list(self._asking.values())
        claims = [
            Claim(
                flow.demand,
                flow.share.weight,
                flow.share.guarantee * self._cores,
                flow.share.ceiling * self._cores,
            )
            for flow in asking
        ]
        self._any_over = False
        self._weights = sum(claim.weight for claim in claims)
        for flow, claim, given in zip(asking, claims, allocate(claims, self._cores), strict=True):
            over = claim.demand > OVER * given
            flow.excess = max(0.0, 1 - ADMIT * given / claim.demand) if over else 0.0
            self._any_over = self._any_over or over

    def _estimate(self, flow: _Flow, request: Request) -> float:
        """Work that a request is likely to take, by its tenant's runs of the class, else by anyone's.

        It is no less than all that runs of its tenant has lasted by now: a worker that hangs shows in this
        long before the first end of a run could tell.
        """
        for means in (flow.means, self._means):
            known = means.estimate(request.class_index, request.expected_work_us)
            if known is not None:
                return max(known, flow.floor_us)
        return max(float(request.expected_work_us) or FIRST_US, flow.floor_us)
