"""Settings and small steps that the tests share."""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from reelusher.policy.actions import Action
from reelusher.policy.controller import Controller
from reelusher.policy.events import Gauges, Tick
from reelusher.policy.settings import Idempotency, RequestClass, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler

SAFE = RequestClass(
    deadline_us=8_000_000, latency_objective_us=2_000_000, makes_calls=True, degraded_value_fraction=0.5
)
MUST_CALL = RequestClass(
    deadline_us=8_000_000, latency_objective_us=2_000_000, priority_weight=3, makes_calls=True
)
KEYED = RequestClass(
    deadline_us=8_000_000,
    latency_objective_us=2_000_000,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    idempotency_window_us=20_000_000,
)
UNSAFE = RequestClass(
    deadline_us=8_000_000, latency_objective_us=2_000_000, idempotency=Idempotency.NON_IDEMPOTENT
)


def wait_until(holds: Callable[[], object], most_s: float = 20.0) -> bool:
    """Wait until something holds; tell whether it came to that."""
    until = time.monotonic() + most_s
    while not holds() and time.monotonic() < until:
        time.sleep(0.01)
    return bool(holds())


def small_node_settings(*classes: RequestClass, **changes: Any) -> Settings:
    """Return those of a small worker, with changes."""
    given: dict[str, Any] = {
        "classes": classes or (SAFE,),
        "cores": 2,
        "memory_kb": 100_000.0,
        "running_memory_factor": 8.0,
        "max_runnable_per_core": 6.0,
        "runnable_window_us": 2_000_000,
        "initial_speed": 0.3,
        "warm_up_us": 10_000_000,
        "drain_grace_us": 2_000_000,
        "answer_slack_us": 80_000,
        "tick_us": 5_000,
        "key_entry_kb": 50.0,
    }
    return Settings(**{**given, **changes})


def started_controller(
    *classes: RequestClass, scheduler: TenantScheduler | None = None, **changes: Any
) -> Controller:
    """Return one that has just started at time 0."""
    controller = Controller(small_node_settings(*classes, **changes), 1, scheduler)
    controller.handle(0, [])
    return controller


def select_actions(actions: Sequence[Action], *types: type) -> list[Any]:
    """Pick the actions of some types."""
    return [action for action in actions if isinstance(action, types)]


def ids(actions: Sequence[Action], *types: type) -> list[int]:
    """Pick the request ids of the actions of some types."""
    return [action.id for action in select_actions(actions, *types)]


def tick(
    controller: Controller, now_us: int, busy: float | None = None, runnable: float | None = None
) -> list[Action]:
    """Let one period pass."""
    return controller.handle(now_us, [Tick(0, Gauges(busy, runnable))])


def max_count(times: list[float], span_s: float = 0.1) -> int:
    """Return the largest number of times within one span."""
    return max(Counter(int(time / span_s) for time in times).values())
