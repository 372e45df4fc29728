"""Leads a drain from its signal to the end of the process."""

import time
from collections.abc import Callable, Collection
from typing import Protocol

from reelusher.drain.schedule import Facts, Quiet, Stages, stages

LOOK_S = 0.02
WORTH_S = 0.02  # a plan that ends earlier by less than that is not worth another order


class DrainableFrontend(Protocol):
    """What a drain needs of a front."""

    def drain(self, plan: Stages) -> None:
        """End by this plan, which may come again with earlier times."""

    def owed(self) -> tuple[Facts, float] | None:
        """Return what was owed on all connections together at the last look, and when that was."""

    def open_connections(self) -> int:
        """Count the connections."""


def lead(
    fronts: Collection[DrainableFrontend],
    order: Callable[[float, float], None],
    late: Callable[[], float],
    signal_s: float,
    span_s: float,
    grace_s: float,
) -> Stages:
    """Drain from a signal at `signal_s` by the monotonic clock; return the plan that was gone by.

    The owner hears by `order(left, since)`: how many seconds are left until its stop, and how many have
    passed since the signal. It hears again where this process turns out to be later than it was thought to
    be; `late()` tells by how many seconds.
    """
    plan, quiet = stages(signal_s, span_s, grace_s, late()), Quiet()
    _spread(plan, fronts, order)
    while (now := time.monotonic()) < plan.leave_s:
        newer = stages(signal_s, span_s, grace_s, late()).no_later_than(plan)
        if newer.leave_s < plan.leave_s - WORTH_S:
            plan = newer
            _spread(plan, fronts, order)
        if now >= plan.tell_s and quiet.over([front.owed() for front in fronts], now, plan):
            plan = plan.over_at(now)
            for front in fronts:
                front.drain(plan)
            break
        time.sleep(max(0.0, min(LOOK_S, plan.leave_s - now)))
    while time.monotonic() < plan.leave_s and any(front.open_connections() for front in fronts):
        time.sleep(LOOK_S / 4)
    return plan


def _spread(
    plan: Stages, fronts: Collection[DrainableFrontend], order: Callable[[float, float], None]
) -> None:
    now = time.monotonic()
    order(plan.module_stop_s - now, now - plan.signal_s)
    for front in fronts:
        front.drain(plan)
