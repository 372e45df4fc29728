"""Settings and small steps that the tests share."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from reelusher import interface as io
from reelusher.choice import Controller

SAFE = io.RequestClass(deadline_us=8_000_000, aim_us=2_000_000, calls=True, skip_share=0.5)
MUST_CALL = io.RequestClass(deadline_us=8_000_000, aim_us=2_000_000, worth=3, calls=True)
KEYED = io.RequestClass(deadline_us=8_000_000, aim_us=2_000_000, effect=io.Effect.KEYED, window_us=20_000_000)
UNSAFE = io.RequestClass(deadline_us=8_000_000, aim_us=2_000_000, effect=io.Effect.UNSAFE)


def soon(holds: Callable[[], object], most_s: float = 20.0) -> bool:
    """Wait until something holds; tell whether it came to that."""
    until = time.monotonic() + most_s
    while not holds() and time.monotonic() < until:
        time.sleep(0.01)
    return bool(holds())


def settings(*classes: io.RequestClass, **changes: Any) -> io.Settings:
    """Return those of a small worker, with changes."""
    given: dict[str, Any] = {
        "classes": classes or (SAFE,),
        "cores": 2,
        "memory_kb": 100_000.0,
        "run_factor": 8.0,
        "crowd_per_core": 6.0,
        "crowd_over_us": 2_000_000,
        "cold_from": 0.3,
        "cold_us": 10_000_000,
        "grace_us": 2_000_000,
        "slack_us": 80_000,
        "tick_us": 5_000,
        "entry_kb": 50.0,
    }
    return io.Settings(**{**given, **changes})


def controller(*classes: io.RequestClass, **changes: Any) -> Controller:
    """Return one that has just started at time 0."""
    made = Controller(settings(*classes, **changes), 1)
    made.handle(0, [])
    return made


def of(actions: Sequence[io.Action], *types: type) -> list[Any]:
    """Pick the actions of some types."""
    return [action for action in actions if isinstance(action, types)]


def ids(actions: Sequence[io.Action], *types: type) -> list[int]:
    """Pick the request ids of the actions of some types."""
    return [action.id for action in of(actions, *types)]


def tick(
    made: Controller, now_us: int, busy: float | None = None, runnable: float | None = None
) -> list[io.Action]:
    """Let one period pass."""
    return made.handle(now_us, [io.Tick(0, io.Gauges(busy, runnable))])
