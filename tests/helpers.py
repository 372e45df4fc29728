"""Settings, request classes and small functions that the tests share."""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from reelusher.config.checked_table import Address
from reelusher.lab.fleet.rig import free_port
from reelusher.policy.actions import Action
from reelusher.policy.controller import Controller
from reelusher.policy.events import Gauges, Tick
from reelusher.policy.settings import Idempotency, RequestClass, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler

LOOPBACK = "127.0.0.1"
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


def wait_until(condition: Callable[[], object], timeout_s: float = 20.0) -> bool:
    """Wait until a condition holds or the time is over; return whether it holds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < deadline_s:
        time.sleep(0.01)
    return bool(condition())


def free_address() -> Address:
    """Return an address on loopback for a process that is about to be started.

    Its port lies below those that the kernel gives to outgoing connections, for example to those of tests
    that run at the same time.
    """
    return LOOPBACK, free_port([LOOPBACK])


def small_node_settings(*classes: RequestClass, **changes: Any) -> Settings:
    """Return the settings of a node with two cores and 100 MB; `changes` replace its fields."""
    fields: dict[str, Any] = {
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
    return Settings(**{**fields, **changes})


def started_controller(
    *classes: RequestClass, scheduler: TenantScheduler | None = None, **changes: Any
) -> Controller:
    """Return a controller that has processed its start at time 0."""
    controller = Controller(small_node_settings(*classes, **changes), 1, scheduler)
    controller.handle(0, [])
    return controller


def select_actions(actions: Sequence[Action], *types: type) -> list[Any]:
    """Return the actions that are of one of these types."""
    return [action for action in actions if isinstance(action, types)]


def ids(actions: Sequence[Action], *types: type) -> list[int]:
    """Return the request ids of the actions that are of one of these types."""
    return [action.id for action in select_actions(actions, *types)]


def tick(
    controller: Controller, now_us: int, busy: float | None = None, runnable: float | None = None
) -> list[Action]:
    """Process one tick with gauges: the busy fraction of the cores and the number of runnable requests."""
    return controller.handle(now_us, [Tick(0, Gauges(busy, runnable))])


def max_count(times: list[float], span_s: float = 0.1) -> int:
    """Return the largest number of times, in seconds, within one of the consecutive spans of `span_s`."""
    return max(Counter(int(time / span_s) for time in times).values())
