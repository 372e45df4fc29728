"""The limit on concurrent runs, and the ceiling while a worker warms up."""

import pytest
from helpers import ids, small_node_settings, started_controller, tick

from reelusher.policy.actions import (
    Run,
)
from reelusher.policy.concurrency_limiter import SAFE_RUNNABLE_FRACTION
from reelusher.policy.controller import Controller
from reelusher.policy.events import (
    Request,
)
from reelusher.policy.in_flight import RequestState
from reelusher.policy.timing import PERIOD_US


def test_limit_starts_at_the_core_count() -> None:
    actions = Controller(small_node_settings(), 1).handle(0, [Request(n, 0) for n in range(1, 5)])
    assert ids(actions, Run) == [1, 2]


def test_limit_grows_to_the_ceiling_while_cores_are_free_and_requests_held() -> None:
    controller = started_controller(cores=2, max_runnable_per_core=4)
    controller.handle(0, [Request(n, 0, time_left_us=60_000_000) for n in range(1, 60)])
    for step in range(1, 16):
        tick(controller, step * PERIOD_US, 0.5, 0)
    running = sum(
        in_flight.state is RequestState.RUNNING for in_flight in controller.in_flight.by_id.values()
    )
    assert running == int(SAFE_RUNNABLE_FRACTION * 4 * 2)


def test_limit_shrinks_to_the_core_count_while_cores_are_crowded() -> None:
    controller = started_controller(cores=2)
    controller.concurrency.limit = 9.0
    for step in range(1, 20):
        tick(controller, step * PERIOD_US, 1.0, 20)
    assert controller.concurrency.limit == 2


def test_ceiling_is_lower_until_warm_up_is_over() -> None:
    controller = started_controller(
        cold_start=True, initial_speed=0.2, warm_up_us=10_000_000, max_runnable_per_core=6, cores=2
    )
    controller.concurrency.limit = 100.0
    assert controller.concurrency.ceiling(controller.now_us) == pytest.approx(
        SAFE_RUNNABLE_FRACTION * (1 + 5 * 0.2) * 2
    )
    controller.now_us = 10_000_000
    assert controller.concurrency.ceiling(controller.now_us) == pytest.approx(SAFE_RUNNABLE_FRACTION * 6 * 2)
