"""Settings of one worker, as it is given them at its start. Times are whole microseconds (`_us`)."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run twice."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency_key"  # runs once within its window; retries name it in `original_id`
    NON_IDEMPOTENT = "non_idempotent"


class PreemptionMode(Enum):
    """What the `Preempt` action does to running work."""

    NONE = "none"  # running work can't be stopped
    DROP = "drop"  # the work done is lost and the request is held again
    PAUSE = "pause"  # the work done is kept and `Run` resumes it


class CapacityHint(Enum):
    """How callers read the value of `AdvertiseCapacity`."""

    NONE = "none"  # no hint is sent
    MIN_RANK = "min_rank"  # they send nothing ranked below it
    TOKENS = "tokens"  # each keeps at most that many requests here
    BIAS = "bias"  # the probability, 0 to 1, that they choose this worker


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests."""

    deadline_us: int  # how long a client waits altogether
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_us: int = 0  # full value when answered within it; 0: the deadline
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0  # part of the value that a reply after the objective is worth
    idempotency_window_us: int = 0  # how long after its arrival a keyed request may be retried
    makes_calls: bool = False  # may call the downstream service
    degraded_value_fraction: float = 0.0  # part of the value without the call; 0: calls can't be skipped

    @property
    def objective_us(self) -> int:
        """Return the latency objective, which is the deadline where none is set."""
        return self.latency_objective_us or self.deadline_us


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one worker and its site. Raises ValueError for values that no worker can run with."""

    classes: Sequence[RequestClass]
    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request over that of a held one
    max_runnable_per_core: float  # running requests on a core that a warm worker survives
    runnable_window_us: int  # the span over which that is a mean
    initial_speed: float  # speed of a cold worker, as a fraction of full speed
    warm_up_us: int  # warm after this at the latest
    drain_grace_us: int  # what arrives later than this after `Drain` must not run
    answer_slack_us: int = 0  # how long after its due time a reply still counts
    tick_us: int = 0  # shortest time between two batches of events
    cold_start: bool = False  # just started, so cold
    key_entry_kb: float = 0.0  # memory of one entry in the idempotency table
    dependency_concurrency_quota: float = math.inf  # mean calls in flight that this worker may have
    dependency_window_us: int = 0  # the span over which that is a mean
    abandoned_call_us: int = 0  # how long an abandoned call may still load the downstream service
    preemption: PreemptionMode = PreemptionMode.NONE
    capacity_hint: CapacityHint = CapacityHint.NONE
    hint_ttl_us: int = 0  # how long callers remember the advertised capacity
    caller_count: int = 0  # callers of the fleet; 0: unknown
    worker_count: int = 0  # workers of the fleet; 0: unknown
    idle_timeout_us: int = 0  # callers close connections idle for this long; 0: unknown
    health_checks_cost_work: bool = False  # unless they are answered from a cache
    max_retry_after_us: int = 0  # the longest Retry-After that callers follow; 0: they follow none
    tenant_quotas: Sequence[float] = ()  # of each tenant, as a fraction of the service
    over_quota_value_fraction: float = 1.0  # part of its value that a request beyond the quota is worth
    goal_weight: float = 1.0  # weights of the goal: the whole time,
    worst_class_goal_weight: float = 0.0  # the class served worst,
    worst_tenant_goal_weight: float = 0.0  # the tenant served worst

    def __post_init__(self) -> None:
        """Reject what no worker can be run with."""
        amounts = (
            self.cores,
            self.memory_kb,
            self.running_memory_factor,
            self.max_runnable_per_core,
            self.initial_speed,
        )
        times = (
            self.runnable_window_us,
            self.dependency_window_us,
            self.warm_up_us,
            self.drain_grace_us,
            self.answer_slack_us,
            self.tick_us,
            self.abandoned_call_us,
        )
        # the texts name the keys of the files that settings are read from
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not all(math.isfinite(amount) and amount > 0 for amount in amounts):
            raise ValueError("cores, memory_kb, run_factor, crowd_per_core and cold_from must be above 0")
        if self.max_runnable_per_core < 1 or self.initial_speed > 1:
            raise ValueError("crowd_per_core must be at least 1 and cold_from at most 1")
        if min(times) < 0 or not self.key_entry_kb >= 0 or not self.dependency_concurrency_quota >= 0:
            raise ValueError("a time, entry_kb or call_share is negative or not a number")
        for number, request_class in enumerate(self.classes):
            _check_class(number, request_class)


def _check_class(number: int, request_class: RequestClass) -> None:
    times = (request_class.latency_objective_us, request_class.idempotency_window_us)
    if request_class.deadline_us <= 0 or min(times) < 0:
        raise ValueError(f"class {number}: a time is out of range")
    fractions = (request_class.degraded_value_fraction, request_class.late_value_fraction)
    if not all(0 <= fraction <= 1 for fraction in fractions):
        raise ValueError(f"class {number}: a worth is out of range")
    if not 0 <= request_class.priority_weight < math.inf:
        raise ValueError(f"class {number}: a worth is out of range")
