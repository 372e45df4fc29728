"""Retries of downstream calls, and calls after the service was slow."""

from dataclasses import replace

import pytest
from helpers import SAFE, ids, select_actions, started_controller, tick

from reelusher.policy.actions import (
    Action,
    Call,
    Run,
    SkipCall,
)
from reelusher.policy.controller import MAX_CALL_RETRIES, Controller
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    Outcome,
    Request,
    RunEnded,
)
from reelusher.policy.timing import PERIOD_US


def at_call(controller: Controller, now_us: int, request: Request) -> list[Action]:
    """Run a request up to its first call, and return the actions that the controller takes for the call."""
    assert ids(controller.handle(now_us, [request]), Run) == [request.id]
    return controller.handle(now_us, [CallNeeded(request.id)])


def test_calls_resume_after_a_slow_spell_at_a_quota_below_one() -> None:
    """The mean duration must decay without calls.

    Otherwise, once it exceeds what the quota ever allows, no call would be made that could lower it again.
    """
    controller = started_controller(
        SAFE, dependency_concurrency_quota=0.1, dependency_window_us=5_000_000, abandoned_call_us=200_000
    )
    controller.dependency.mean_duration_us = 1_900_000.0
    decisions = []
    for n in range(1, 600):
        decisions += select_actions(at_call(controller, n * PERIOD_US, Request(n, 0)), Call, SkipCall)
        call_ended = [CallEnded(n, Outcome.OK, 20_000)] if isinstance(decisions[-1], Call) else []
        controller.handle(controller.now_us, [*call_ended, RunEnded(n, Outcome.OK, 200_000)])
        tick(controller, controller.now_us, 0.5, 1)
    assert isinstance(decisions[0], SkipCall)
    assert all(isinstance(decision, Call) for decision in decisions[-100:])


def test_rejected_optional_call_is_retried_twice_before_it_is_skipped() -> None:
    """A downstream service that rejects a call often has capacity a moment later.

    A degraded answer loses half the value of the request.
    """
    controller = started_controller(replace(SAFE, degraded_value_fraction=0.5, makes_calls=True))
    controller.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 1, 0, 0, 0)])
    now, calls = 2, select_actions(controller.handle(2, [CallNeeded(1)]), Call)
    assert len(calls) == 1
    for _ in range(MAX_CALL_RETRIES):
        assert not select_actions(controller.handle(now, [CallEnded(1, Outcome.REJECTED, 5)]), Call, SkipCall)
        now += PERIOD_US
        assert ids(tick(controller, now), Call) == [1]
    assert ids(controller.handle(now, [CallEnded(1, Outcome.REJECTED, 5)]), SkipCall) == [1]


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.ERROR, Outcome.TIMEOUT])
def test_optional_call_that_may_have_run_is_not_retried(outcome: Outcome) -> None:
    controller = started_controller(replace(SAFE, degraded_value_fraction=0.5, makes_calls=True))
    controller.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 1, 0, 0, 0)])
    controller.handle(2, [CallNeeded(1)])
    assert ids(controller.handle(3, [CallEnded(1, outcome, 5)]), SkipCall) == [1]
