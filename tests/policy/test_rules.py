"""Boundary cases of the rules that the controller must keep.

Each request gets one answer in time; nothing runs twice; requests that arrive after the grace period of a
drain do not run; memory and calls in flight stay within their limits.
"""

from typing import Any

import pytest
from helpers import (
    KEYED,
    MUST_CALL,
    SAFE,
    UNSAFE,
    ids,
    select_actions,
    small_node_settings,
    started_controller,
    tick,
)

from reelusher.policy.actions import (
    AttachToOriginal,
    Call,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
    ReportHealth,
    Run,
    SkipCall,
)
from reelusher.policy.controller import MAX_RUN_MEMORY_FRACTION, Controller
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Gauges,
    Outcome,
    Request,
    RunEnded,
    Tick,
)
from reelusher.policy.in_flight import RequestState
from reelusher.policy.settings import CapacityHint, PreemptionMode, RequestClass
from reelusher.policy.timing import PERIOD_US

PERIOD = PERIOD_US


def test_request_without_time_left_is_answered_at_once() -> None:
    actions = Controller(small_node_settings(), 1).handle(0, [Request(1, 0, waited_us=8_000_000)])
    assert ids(actions, Reject) == [1]
    assert not select_actions(actions, Run)


def answered_at(controller: Controller, request_id: int, until_us: int) -> int | None:
    """Let periods pass; return the time at which a request is answered, or None if it is not."""
    for now in range(controller.now_us + PERIOD, until_us, PERIOD):
        if request_id in ids(tick(controller, now, 0.0, 99), FailRequest, Reject):
            return now
    return None


def test_running_request_is_answered_before_it_is_due_and_counts_until_its_end() -> None:
    controller = started_controller(preemption=PreemptionMode.PAUSE)
    controller.handle(0, [Request(1, 0)])
    answered_us = answered_at(controller, 1, 9_000_000)
    assert answered_us is not None
    assert 7_500_000 < answered_us < 8_000_000
    assert select_actions(controller.actions, FailRequest, Preempt) == [FailRequest(1), Preempt(1)]
    assert controller.in_flight.by_id[1].answered
    assert controller.handle(answered_us + 1, [RunEnded(1, Outcome.CANCELLED)]) == []
    assert not controller.in_flight.by_id


def test_deadline_counts_from_the_arrival_at_the_machine() -> None:
    controller = started_controller(RequestClass(deadline_us=8_000_000))
    controller.handle(0, [Request(1, 0, waited_us=3_000_000)])
    answered_us = answered_at(controller, 1, 9_000_000)
    assert answered_us is not None
    assert 4_500_000 < answered_us < 5_000_000


def test_requests_awaiting_a_call_or_attached_are_answered_in_time() -> None:
    controller = started_controller(
        KEYED, MUST_CALL, dependency_concurrency_quota=1.0, dependency_window_us=5_000_000
    )
    controller.dependency.excess_us = 1e12
    controller.handle(0, [Request(1, 1), Request(2, 0)])
    controller.handle(0, [CallNeeded(1), Request(3, 0, original_id=2)])
    failed: list[int] = []
    for now in range(PERIOD, 8_000_000, PERIOD):
        controller.dependency.excess_us = 1e12
        failed += ids(tick(controller, now, 0.0, 99), FailRequest)
    assert sorted(failed) == [1, 2, 3]


def test_disconnected_client_gets_no_answer() -> None:
    controller = started_controller()
    controller.handle(0, [Request(n, 0) for n in (1, 2, 3)])
    controller.handle(1, [ClientDisconnected(1), ClientDisconnected(3)])
    assert answered_at(controller, 1, 9_000_000) is None
    assert 3 not in controller.in_flight.by_id


def test_request_and_disconnect_in_one_batch() -> None:
    assert not select_actions(
        started_controller().handle(1, [Request(1, 0), ClientDisconnected(1)]), Run, Reject, FailRequest
    )


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    controller = started_controller()
    events: list[Event] = [
        ClientDisconnected(7),
        CallNeeded(7),
        CallEnded(7, Outcome.OK),
        RunEnded(7, Outcome.OK),
    ]
    assert controller.handle(1, events) == []
    controller.handle(2, [Request(1, 0)])
    assert controller.handle(3, [RunEnded(1, Outcome.NOT_STARTED), *events]) == []


def test_key_is_remembered_for_its_whole_window_before_the_run() -> None:
    controller = started_controller(KEYED)
    actions = select_actions(controller.handle(5, [Request(1, 0, waited_us=1_000)]), RememberKey, Run)
    assert [type(action) for action in actions] == [RememberKey, Run]
    assert actions[0].ttl_us >= KEYED.idempotency_window_us - 1_000


def test_keyed_request_is_rejected_without_memory_for_its_entry() -> None:
    controller = started_controller(KEYED, memory_kb=40.0)
    assert ids(controller.handle(0, [Request(1, 0)]), Reject, Run, RememberKey) == [1]
    assert select_actions(controller.actions, Reject)


def test_retry_is_attached_to_its_original_and_never_run_or_rejected() -> None:
    controller = started_controller(KEYED)
    actions = controller.handle(0, [Request(1, 0), Request(2, 0, original_id=1)])
    assert ids(actions, Run) == [1]
    assert ids(actions, AttachToOriginal) == [2]
    controller.admission.rejection_probability = 1.0
    actions = controller.handle(1, [RunEnded(1, Outcome.OK), Request(3, 0, original_id=1)])
    assert ids(actions, AttachToOriginal) == [3]
    assert not select_actions(actions, Reject)


def test_key_of_a_request_that_never_ran_is_forgotten() -> None:
    controller = started_controller(KEYED)
    controller.handle(0, [Request(n, 0) for n in (1, 2, 3)])
    assert ids(controller.handle(1, [ClientDisconnected(3)]), ForgetKey) == [3]
    assert set(controller.remembered_keys) == {1, 2}


def test_non_idempotent_request_that_ran_is_failed_not_rejected_nor_preempted() -> None:
    controller = started_controller(UNSAFE, preemption=PreemptionMode.DROP)
    controller.handle(0, [Request(1, 0)])
    assert answered_at(controller, 1, 9_000_000) is not None
    assert select_actions(controller.actions, FailRequest) == [FailRequest(1)]
    assert not select_actions(controller.actions, Preempt, Reject)


def test_mandatory_call_is_retried_only_if_it_never_ran() -> None:
    for outcome in Outcome:
        controller = started_controller(MUST_CALL)
        controller.handle(0, [Request(1, 0)])
        controller.handle(1, [CallNeeded(1)])
        actions = controller.handle(2, [CallEnded(1, outcome)])
        actions += tick(controller, 2 + PERIOD) + tick(controller, 2 + 2 * PERIOD)
        retried = bool(select_actions(actions, Call))
        assert retried == (outcome in (Outcome.REJECTED, Outcome.UNREACHABLE))
        assert bool(select_actions(actions, FailRequest)) == (not retried and outcome is not Outcome.OK)


def test_call_ends_before_its_request_is_due() -> None:
    controller = started_controller(MUST_CALL)
    controller.handle(0, [Request(1, 0)])
    (call,) = select_actions(controller.handle(1, [CallNeeded(1)]), Call)
    assert 1 < call.until_us < 8_000_000


def test_draining_worker_is_unhealthy_and_does_not_run_late_arrivals() -> None:
    controller = started_controller()
    assert select_actions(controller.handle(0, [Drain(5_000_000)]), ReportHealth) == [
        ReportHealth(False, True)
    ]
    assert ids(controller.handle(2_100_000, [Request(1, 0, waited_us=100_000)]), Run) == [1]
    actions = controller.handle(2_100_001, [Request(2, 0, waited_us=100_000)])
    assert ids(actions, Reject) == [2]
    assert not select_actions(actions, Run)


def test_everything_is_answered_before_the_stop() -> None:
    controller = started_controller()
    controller.handle(0, [Request(n, 0) for n in range(1, 6)])
    answered = ids(controller.handle(1, [Drain(1_000_000)]), FailRequest, Reject)
    for now in range(PERIOD, 1_000_000 - PERIOD // 2, PERIOD):
        answered += ids(tick(controller, now), FailRequest, Reject)
    assert sorted(answered) == [1, 2, 3, 4, 5]
    assert ids(controller.handle(999_000, [Request(9, 0)]), Reject) == [9]


def test_runs_start_only_while_memory_lasts() -> None:
    controller = started_controller(memory_kb=1_000.0, cores=8)
    controller.handle(0, [Request(n, 0, held_kb=30.0) for n in range(1, 9)])
    running = sum(
        in_flight.state is RequestState.RUNNING for in_flight in controller.in_flight.by_id.values()
    )
    assert running == 2
    assert controller.memory_kb() <= MAX_RUN_MEMORY_FRACTION * 1_000


def test_arrivals_that_do_not_fit_the_memory_are_rejected() -> None:
    controller = started_controller(memory_kb=100.0, cores=1)
    actions = controller.handle(0, [Request(1, 0, held_kb=60.0), Request(2, 0, held_kb=60.0)])
    assert ids(actions, Reject) == [2]
    assert controller.memory_kb() <= 100


def worst_mean_of_calls_in_flight(quota: float, duration_us: int) -> float:
    """Make calls that all time out, and return the largest mean of calls in flight over a quota window.

    An abandoned call counts as in flight for another 200 ms.
    """
    controller = started_controller(
        MUST_CALL,
        dependency_concurrency_quota=quota,
        dependency_window_us=5_000_000,
        abandoned_call_us=200_000,
        cores=8,
    )
    call_spans: list[tuple[int, int]] = []
    end_by_id: dict[int, int] = {}
    request_id = 0
    for now in range(0, duration_us, 10_000):
        events: list[Event] = []
        for call_id in [call_id for call_id, end in end_by_id.items() if end <= now]:
            del end_by_id[call_id]
            events.append(CallEnded(call_id, Outcome.TIMEOUT, 1_000_000))
            events.append(RunEnded(call_id, Outcome.CANCELLED))
        if len(controller.in_flight.by_id) < 8:
            request_id += 1
            events.append(Request(request_id, 0))
        if now % PERIOD == 0:
            events.append(Tick(0, Gauges(0.5, 1)))
        actions = controller.handle(now, events)
        actions += controller.handle(now, [CallNeeded(call_id) for call_id in ids(actions, Run)])
        for call in select_actions(actions, Call):
            end_by_id[call.id] = call.until_us
            call_spans.append((now, call.until_us + 200_000))
    steps = range(5_000_000, duration_us, 100_000)
    return max(
        sum(max(0, min(end, now) - max(start, now - 5_000_000)) for start, end in call_spans) / 5_000_000
        for now in steps
    )


def test_mean_calls_in_flight_stay_under_the_quota() -> None:
    for quota in (0.3, 0.9, 1.7, 5.4):
        assert 0 < worst_mean_of_calls_in_flight(quota, 40_000_000) <= quota


def test_exhausted_quota_skips_optional_calls_and_delays_others() -> None:
    controller = started_controller(
        SAFE, MUST_CALL, dependency_concurrency_quota=0.4, dependency_window_us=5_000_000, cores=4
    )
    controller.dependency.mean_duration_us = 400_000.0
    controller.handle(0, [Request(1, 1), Request(2, 1), Request(3, 0)])
    actions = controller.handle(1, [CallNeeded(1), CallNeeded(2), CallNeeded(3)])
    assert ids(actions, Call) == [1]
    assert ids(actions, SkipCall) == [3]
    assert controller.in_flight.by_id[2].state is RequestState.AWAITING_CALL


def test_calls_of_answered_requests_count_until_their_end() -> None:
    """The call of a disconnected client still runs downstream.

    Freeing its part of the quota at once would overload the downstream service.
    """
    controller = started_controller(
        MUST_CALL, dependency_concurrency_quota=0.4, dependency_window_us=5_000_000
    )
    controller.dependency.mean_duration_us = 400_000.0
    controller.handle(0, [Request(1, 0), Request(2, 0)])
    controller.handle(1, [CallNeeded(1), CallNeeded(2)])
    actions = controller.handle(2, [ClientDisconnected(1)])
    assert not select_actions(actions, Call)
    assert controller.dependency.in_flight(controller.now_us, len(controller.in_flight.calling)) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"caller_count": 0, "hint_ttl_us": 0},
        {"caller_count": 100_000},
        {"dependency_concurrency_quota": 0.0, "dependency_window_us": 5_000_000},
        {"dependency_concurrency_quota": 1e-6, "dependency_window_us": 5_000_000},
        {"dependency_concurrency_quota": 0.3, "dependency_window_us": 0},
        {"cores": 1},
        {"worker_count": 1},
        {"worker_count": 5_000},
        {"idle_timeout_us": 1},
        {"capacity_hint": CapacityHint.TOKENS, "caller_count": 0},
    ],
)
def test_unusual_settings_neither_raise_nor_lock_a_worker_out(changes: dict[str, Any]) -> None:
    controller = started_controller(SAFE, **changes)
    served = []
    for n in range(1, 300):
        actions = controller.handle(n * PERIOD, [Request(n, 0, caller=n, held_kb=10.0)])
        actions += controller.handle(
            controller.now_us, [CallNeeded(request_id) for request_id in ids(actions, Run)]
        )
        call_ids = ids(actions, Call)
        actions += controller.handle(
            controller.now_us, [CallEnded(request_id, Outcome.OK, 9) for request_id in call_ids]
        )
        controller.handle(
            controller.now_us, [RunEnded(request_id, Outcome.OK, 50_000) for request_id in ids(actions, Run)]
        )
        controller.handle(controller.now_us, [Tick(0, Gauges(0.5, 1, 0.2, 10_000.0))])
        served += ids(actions, Run)
    assert served == list(range(1, 300))


@pytest.mark.parametrize("busy", [0.0, 1.0])
@pytest.mark.parametrize("runnable", [0.0, 1e9])
def test_stuck_gauges_neither_lock_a_worker_out_nor_overload_its_cores(busy: float, runnable: float) -> None:
    controller = started_controller(MUST_CALL, cores=2, max_runnable_per_core=4)
    served: list[int] = []
    running: list[tuple[int, int]] = []
    for n in range(1, 1_000):
        now = n * PERIOD
        ended_ids = [request_id for request_id, end in running if end <= now]
        running = [(request_id, end) for request_id, end in running if end > now]
        events: list[Event] = [RunEnded(request_id, Outcome.OK, 400_000) for request_id in ended_ids]
        started = ids(controller.handle(now, [*events, Request(n, 0)]), Run)
        started += ids(tick(controller, now, busy, runnable), Run)
        running += [(request_id, now + 400_000) for request_id in started]
        served += started
        assert len(running) < 4 * 2
    assert len(served) > 400
