"""The accounts of one tenant in the fair queue: tags, rate limits, resources in use, and demand."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from reelusher.tenancy.quota import Quota
from reelusher.tenancy.rate_limit import Gcra

DEMAND_TIME_CONSTANT_US = 1_000_000  # time constant of the moving average of arriving work
IDLE_DEMAND_CORES = 1e-3  # a tenant with a lower demand is idle
RUN_TIME_GAIN = 0.1  # weight of the newest run in the moving average of its class
MIN_MEMORY_KB = 1e-6  # a smaller amount is a rounding error
GUARANTEE_CREDIT_US = 200_000  # a guarantee catches up on at most this much unused time once a slot is free


class RunTimeMeans:
    """Moving averages, by class, of the work of runs and of the work that their requests stated as a hint."""

    def __init__(self) -> None:
        self._means: dict[int, tuple[float, float]] = {}  # by class: work, expected work

    def observe(self, class_index: int, duration_us: float, expected_work_us: int) -> None:
        """Add a run that has ended and the expected work of its request; 0 means that it stated none."""
        duration, expected = self._means.get(class_index, (duration_us, float(expected_work_us)))
        duration += RUN_TIME_GAIN * (duration_us - duration)
        expected += RUN_TIME_GAIN * (expected_work_us - expected)
        self._means[class_index] = duration, expected

    def estimate(self, class_index: int, expected_work_us: int) -> float | None:
        """Return the expected work of a run, scaled by its request's hint; None for a class without runs."""
        means = self._means.get(class_index)
        if means is None:
            return None
        duration, expected = means
        return duration * expected_work_us / expected if expected_work_us and expected else duration


class TenantUsage(NamedTuple):
    """The current usage of a tenant. The names of the fields are keys of the administration API."""

    held: int
    running: int
    keys: int
    memory_kb: float
    work_ms: float  # core-milliseconds since the tenant was added
    demand: float  # arriving work as a fraction of the cores
    over_by: float  # fraction of the demand that exceeds the admitted allocation


class FlowState:
    """The accounts of one tenant. Tags are work divided by weight, in microseconds."""

    __slots__ = (
        "ceiling_clock",
        "class_tags",
        "class_virtual_time",
        "demand_cores",
        "demand_updated_us",
        "excess_fraction",
        "finish_tag",
        "guarantee_clock",
        "held",
        "keys",
        "long_runs",
        "memory_kb",
        "min_estimate_us",
        "quota",
        "removed",
        "run_times",
        "running",
        "tenant",
        "work_us",
    )

    def __init__(self, tenant: int, quota: Quota, cores: int, virtual_time: float) -> None:
        self.tenant = tenant
        self.finish_tag = virtual_time  # finish tag of the last run that was started
        self.class_tags: dict[int, float] = {}  # finish tags of the classes within the tenant
        self.class_virtual_time = 0.0
        self.held = self.running = self.long_runs = self.keys = 0
        self.memory_kb = 0.0
        self.min_estimate_us = 0.0  # time that the newest run has taken so far
        self.demand_cores = 0.0  # moving average of arriving work
        self.demand_updated_us = 0
        self.excess_fraction = 0.0  # fraction of the demand that exceeds the admitted allocation
        self.run_times = RunTimeMeans()
        self.work_us = 0.0  # work that was charged since the tenant was added
        self.removed = False  # the accounts are deleted as soon as they are unused
        self.quota = quota
        self.guarantee_clock: Gcra | None = None
        self.ceiling_clock: Gcra | None = None
        self._set_clocks(cores)

    def set_quota(self, quota: Quota, cores: int, virtual_time: float) -> None:
        """Replace the quota; the work by which the tenant leads or lags virtual time is preserved."""
        lead_us = (self.finish_tag - virtual_time) * self.quota.weight
        self.finish_tag = virtual_time + lead_us / quota.weight
        self.quota = quota
        self._set_clocks(cores)

    def _set_clocks(self, cores: int) -> None:
        quota = self.quota
        guarantee_rate = quota.guarantee * cores
        ceiling_rate = quota.ceiling * cores if quota.ceiling < 1 else 0.0
        self.guarantee_clock = _continued_clock(self.guarantee_clock, guarantee_rate, 0, GUARANTEE_CREDIT_US)
        self.ceiling_clock = _continued_clock(self.ceiling_clock, ceiling_rate, quota.burst_us, 0)

    def decayed_demand(self, now_us: int) -> float:
        """Let the moving average of arriving work decay up to now, and return it in cores."""
        elapsed_us = max(0, now_us - self.demand_updated_us)
        self.demand_cores *= math.exp(-elapsed_us / DEMAND_TIME_CONSTANT_US)
        self.demand_updated_us = max(self.demand_updated_us, now_us)
        return self.demand_cores

    def charge(self, work_us: float, class_index: int, now_us: int) -> None:
        """Charge work; a negative amount corrects an earlier charge that was too high."""
        self.finish_tag += work_us / self.quota.weight
        self.work_us += work_us
        if class_index in self.class_tags:
            self.class_tags[class_index] += work_us / self.quota.class_weights.get(class_index, 1.0)
        if self.guarantee_clock is not None:
            self.guarantee_clock.charge(work_us, now_us)
        if self.ceiling_clock is not None:
            self.ceiling_clock.charge(work_us, now_us)

    def advance_class_time(self, class_index: int) -> None:
        """Advance the virtual time of the classes to the start tag of a run, if classes have weights."""
        if self.quota.class_weights:
            start_tag = max(self.class_virtual_time, self.class_tags.get(class_index, 0.0))
            self.class_virtual_time = self.class_tags[class_index] = start_tag

    def next_class(self, class_indexes: Iterable[int]) -> int:
        """Return the class with the smallest finish tag; among equal tags, that with the smallest index."""
        return min(class_indexes, key=lambda index: (self.class_tags.get(index, 0.0), index))

    def is_below_guarantee(self, now_us: int) -> bool:
        """Return whether the tenant has received less than its guarantee; False without a guarantee."""
        return self.guarantee_clock is not None and self.guarantee_clock.conforms(now_us)

    def may_run(self, now_us: int) -> bool:
        """Return whether the limits of the tenant allow another run."""
        max_running = self.quota.running
        if max_running and self.running >= max_running:
            return False
        return self.ceiling_clock is None or self.ceiling_clock.conforms(now_us)

    def is_unused(self) -> bool:
        """Return whether the tenant has no held requests, no runs, no remembered keys and no memory."""
        return not (self.held or self.running or self.keys) and self.memory_kb < MIN_MEMORY_KB

    def is_equivalent_to_new(self, virtual_time: float, now_us: int) -> bool:
        """Return whether the accounts are equivalent to those of a tenant that is added now.

        Deleting and adding the tenant then gives it no advantage: its accounts are unused, it has no demand,
        its finish tag is not ahead of virtual time, and its clocks have the credit of an unused tenant.
        """
        if not self.is_unused() or self.decayed_demand(now_us) >= IDLE_DEMAND_CORES:
            return False
        if self.finish_tag > virtual_time:
            return False
        clocks = (self.guarantee_clock, self.ceiling_clock)
        return all(clock is None or clock.tat_us <= now_us - clock.credit_us for clock in clocks)

    def usage(self, cores: int, now_us: int) -> TenantUsage:
        """Return the current usage of the tenant."""
        return TenantUsage(
            held=self.held,
            running=self.running,
            keys=self.keys,
            memory_kb=round(self.memory_kb, 1),
            work_ms=round(self.work_us / 1000, 1),
            demand=round(self.decayed_demand(now_us) / cores, 4),
            over_by=round(self.excess_fraction, 4),
        )


def _continued_clock(previous: Gcra | None, rate: float, burst_us: float, credit_us: float) -> Gcra | None:
    """Return a rate limit that continues from the state of the previous one; None for a rate of 0."""
    return Gcra(rate, burst_us, credit_us, previous.tat_us if previous else 0.0) if rate > 0 else None
