"""Settings of one worker and its deployment. Times are whole microseconds (`_us`)."""

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
    MIN_RANK = "min_rank"  # they send only requests whose rank, 0 to 1, is at least this
    TOKENS = "tokens"  # each keeps at most this many requests in the worker
    BIAS = "bias"  # probability, 0 to 1, with which they choose this worker


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests."""

    deadline_us: int  # how long a client waits for an answer in total
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_us: int = 0  # an answer within it has the full value; 0: the deadline
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0  # fraction of the value of a reply after the objective
    idempotency_window_us: int = 0  # time after its arrival in which a keyed request may be retried
    makes_calls: bool = False  # may call the downstream service
    degraded_value_fraction: float = 0.0  # fraction of the value without the call; 0: never skip it

    @property
    def objective_us(self) -> int:
        """Return the latency objective, or the deadline where no objective is set."""
        return self.latency_objective_us or self.deadline_us


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one worker and its deployment.

    Raises ValueError for values that no worker can run with.
    """

    classes: Sequence[RequestClass]
    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request relative to a held one
    max_runnable_per_core: float  # mean number of runnable requests per core that a warm worker sustains
    runnable_window_us: int  # window over which that mean is taken
    initial_speed: float  # speed of a cold worker, as a fraction of full speed
    warm_up_us: int  # time after which a worker is warm at the latest
    drain_grace_us: int  # requests that arrive later than this after the request to drain must not run
    answer_slack_us: int = 0  # how long after its due time a reply still counts
    tick_us: int = 0  # shortest interval between two batches of events
    cold_start: bool = False  # the worker has just started and is cold
    key_entry_kb: float = 0.0  # memory of one entry in the idempotency table
    dependency_concurrency_quota: float = math.inf  # mean number of calls in flight that this worker may have
    dependency_window_us: int = 0  # window over which that mean is taken
    abandoned_call_us: int = 0  # how long an abandoned call may still load the downstream service
    preemption: PreemptionMode = PreemptionMode.NONE
    capacity_hint: CapacityHint = CapacityHint.NONE
    hint_ttl_us: int = 0  # how long callers remember the advertised capacity
    caller_count: int = 0  # number of callers of the fleet; 0: unknown
    worker_count: int = 0  # number of workers of the fleet; 0: unknown
    idle_timeout_us: int = 0  # callers close connections that are idle for this long; 0: unknown
    health_checks_cost_work: bool = False  # each check costs work unless it is answered from a cache
    max_retry_after_us: int = 0  # longest Retry-After that callers follow; 0: they follow none
    tenant_quotas: Sequence[float] = ()  # quota of each tenant as a fraction of the service
    over_quota_value_fraction: float = 1.0  # fraction of its value that a request beyond the quota keeps
    goal_weight: float = 1.0  # weight, in the service goal, of the value of all requests together
    worst_class_goal_weight: float = 0.0  # weight, in the same goal, of the class that is served worst
    worst_tenant_goal_weight: float = 0.0  # weight, in the same goal, of the tenant that is served worst

    def __post_init__(self) -> None:
        """Raise ValueError for values that no worker can run with."""
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
        # the messages name the keys of the files from which settings are read
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not all(math.isfinite(amount) and amount > 0 for amount in amounts):
            raise ValueError("cores, memory_kb, run_factor, crowd_per_core and cold_from must be above 0")
        if self.max_runnable_per_core < 1 or self.initial_speed > 1:
            raise ValueError("crowd_per_core must be at least 1 and cold_from at most 1")
        if min(times) < 0 or not self.key_entry_kb >= 0 or not self.dependency_concurrency_quota >= 0:
            raise ValueError("a time, entry_kb or call_share is negative or not a number")
        for class_index, request_class in enumerate(self.classes):
            _check_class(class_index, request_class)


def _check_class(class_index: int, request_class: RequestClass) -> None:
    times = (request_class.latency_objective_us, request_class.idempotency_window_us)
    if request_class.deadline_us <= 0 or min(times) < 0:
        raise ValueError(f"class {class_index}: a time is out of range")
    fractions = (request_class.degraded_value_fraction, request_class.late_value_fraction)
    if not all(0 <= fraction <= 1 for fraction in fractions):
        raise ValueError(f"class {class_index}: a worth is out of range")
    if not 0 <= request_class.priority_weight < math.inf:
        raise ValueError(f"class {class_index}: a worth is out of range")
