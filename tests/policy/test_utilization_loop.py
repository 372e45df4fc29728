"""The utilization loop: G, its clamp, its effectiveness, and the client hash."""

import math

import pytest
from helpers import MUST_CALL, ids, select_actions, started_controller, tick

from reelusher.policy.actions import (
    Action,
    Call,
    Run,
    SkipCall,
)
from reelusher.policy.controller import Controller
from reelusher.policy.events import (
    CallNeeded,
    Request,
)
from reelusher.policy.timing import PERIOD_US
from reelusher.policy.utilization_loop import (
    EFFECTIVENESS_RECOVERY,
    INTEGRAL_GAIN,
    MIN_EFFECTIVENESS,
    PROPORTIONAL_GAIN,
    TARGET_BUSY_FRACTION,
    client_hash,
)


def at_call(controller: Controller, now_us: int, request: Request) -> list[Action]:
    """Run a request up to its first call, and return the actions that the controller takes for the call."""
    assert ids(controller.handle(now_us, [request]), Run) == [request.id]
    return controller.handle(now_us, [CallNeeded(request.id)])


def test_degraded_fraction_matches_values_computed_by_hand() -> None:
    controller = started_controller()
    error_sum = 0.0
    for step, busy in enumerate([1.0, 0.95, 0.9], 1):
        tick(controller, step * PERIOD_US, busy)
        error_sum += busy - TARGET_BUSY_FRACTION
        assert controller.utilization.degraded_fraction == pytest.approx(
            PROPORTIONAL_GAIN * (busy - TARGET_BUSY_FRACTION) + INTEGRAL_GAIN * error_sum
        )


def test_integral_stays_clamped_and_unwinds_at_once() -> None:
    controller = started_controller()
    for step in range(1, 2_000):
        tick(controller, step * PERIOD_US, 1.0)
    assert controller.utilization.degraded_fraction == 1.0
    assert controller.utilization.error_sum == pytest.approx(1 / INTEGRAL_GAIN)
    tick(controller, 2_000 * PERIOD_US, 0.2)
    assert controller.utilization.degraded_fraction < 1.0
    for step in range(2_001, 2_100):
        tick(controller, step * PERIOD_US, 0.2)
    assert controller.utilization.degraded_fraction == 0.0
    assert controller.utilization.error_sum == 0.0


@pytest.mark.parametrize("reading", [None, math.nan, math.inf, -math.inf])
def test_readings_that_are_not_finite_are_ignored(reading: float | None) -> None:
    controller = started_controller()
    tick(controller, PERIOD_US, 1.0)
    before = controller.utilization.degraded_fraction
    tick(controller, 2 * PERIOD_US, reading, reading)
    assert controller.utilization.degraded_fraction == before > 0


def test_client_hash_is_stable_and_uniform() -> None:
    hashes = [client_hash(Request(1, 0, subject=n)) for n in range(1, 10_001)]
    assert hashes[:2] == [client_hash(Request(9, 0, subject=n, caller=5)) for n in (1, 2)]
    assert all(0 < hashed <= 1 for hashed in hashes)
    for decile in range(10):
        inside = sum(decile / 10 < hashed <= (decile + 1) / 10 for hashed in hashes)
        assert 900 < inside < 1_100


def test_client_hash_uses_the_caller_where_the_subject_is_unknown() -> None:
    assert client_hash(Request(1, 0, caller=3)) == client_hash(Request(2, 0, caller=3, tenant=1))
    assert client_hash(Request(1, 0, caller=3)) != client_hash(Request(1, 0, caller=4))


def test_zero_degrades_nobody_and_one_degrades_everybody() -> None:
    for degraded, expected in ((0.0, Call), (1.0, SkipCall)):
        for subject in range(1, 200):
            controller = started_controller()
            controller.utilization.degraded_fraction = degraded
            assert select_actions(
                at_call(controller, 0, Request(subject, 0, subject=subject)), Call, SkipCall
            ) == select_actions(controller.actions, expected)


def test_mandatory_calls_are_never_skipped() -> None:
    controller = started_controller(MUST_CALL)
    controller.utilization.degraded_fraction = 1.0
    assert ids(at_call(controller, 0, Request(1, 0)), Call) == [1]


def test_effectiveness_decays_while_cores_stay_busy_and_recovers() -> None:
    controller = started_controller()
    for step in range(1, 400):
        tick(controller, step * PERIOD_US, 1.0)
    assert controller.utilization.effectiveness == pytest.approx(MIN_EFFECTIVENESS)
    for step in range(400, 400 + math.ceil(1 / EFFECTIVENESS_RECOVERY)):
        tick(controller, step * PERIOD_US, 0.5)
    assert controller.utilization.effectiveness == pytest.approx(1.0)
