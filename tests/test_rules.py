"""The four rules at their boundaries."""

from typing import Any

import pytest
from helpers import KEYED, MUST_CALL, SAFE, UNSAFE, controller, ids, of, settings, tick

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


def test_a_request_without_time_left_is_answered_at_once() -> None:
    actions = Controller(settings(), 1).handle(0, [Request(1, 0, waited_us=8_000_000)])
    assert ids(actions, Reject) == [1]
    assert not of(actions, Run)


def answered_at(made: Controller, ref: int, until_us: int) -> int | None:
    """Let periods pass and tell when a request is answered."""
    for now in range(made.now_us + PERIOD, until_us, PERIOD):
        if ref in ids(tick(made, now, 0.0, 99), FailRequest, Reject):
            return now
    return None


def test_running_work_is_answered_before_it_is_due_and_its_end_is_still_counted() -> None:
    made = controller(preemption=PreemptionMode.PAUSE)
    made.handle(0, [Request(1, 0)])
    when = answered_at(made, 1, 9_000_000)
    assert when is not None
    assert 7_500_000 < when < 8_000_000
    assert of(made.actions, FailRequest, Preempt) == [FailRequest(1), Preempt(1)]
    assert made.in_flight.by_id[1].answered
    assert made.handle(when + 1, [RunEnded(1, Outcome.CANCELLED)]) == []
    assert not made.in_flight.by_id


def test_due_runs_from_the_arrival_at_the_machine() -> None:
    made = controller(RequestClass(deadline_us=8_000_000))
    made.handle(0, [Request(1, 0, waited_us=3_000_000)])
    when = answered_at(made, 1, 9_000_000)
    assert when is not None
    assert 4_500_000 < when < 5_000_000


def test_waiting_at_a_call_and_joined_requests_are_answered_in_time() -> None:
    made = controller(KEYED, MUST_CALL, dependency_concurrency_quota=1.0, dependency_window_us=5_000_000)
    made.dependency.excess_us = 1e12
    made.handle(0, [Request(1, 1), Request(2, 0)])
    made.handle(0, [CallNeeded(1), Request(3, 0, original_id=2)])
    failed: list[int] = []
    for now in range(PERIOD, 8_000_000, PERIOD):
        made.dependency.excess_us = 1e12
        failed += ids(tick(made, now, 0.0, 99), FailRequest)
    assert sorted(failed) == [1, 2, 3]


def test_no_answer_is_owed_once_the_caller_has_gone() -> None:
    made = controller()
    made.handle(0, [Request(n, 0) for n in (1, 2, 3)])
    made.handle(1, [ClientDisconnected(1), ClientDisconnected(3)])
    assert answered_at(made, 1, 9_000_000) is None
    assert 3 not in made.in_flight.by_id


def test_a_request_and_its_abandonment_in_one_batch() -> None:
    assert not of(controller().handle(1, [Request(1, 0), ClientDisconnected(1)]), Run, Reject, FailRequest)


def test_events_for_finished_or_unknown_work_are_harmless() -> None:
    made = controller()
    events: list[Event] = [
        ClientDisconnected(7),
        CallNeeded(7),
        CallEnded(7, Outcome.OK),
        RunEnded(7, Outcome.OK),
    ]
    assert made.handle(1, events) == []
    made.handle(2, [Request(1, 0)])
    assert made.handle(3, [RunEnded(1, Outcome.NOT_STARTED), *events]) == []


def test_a_keyed_request_is_kept_for_its_whole_window_before_it_runs() -> None:
    made = controller(KEYED)
    actions = of(made.handle(5, [Request(1, 0, waited_us=1_000)]), RememberKey, Run)
    assert [type(action) for action in actions] == [RememberKey, Run]
    assert actions[0].ttl_us >= KEYED.idempotency_window_us - 1_000


def test_without_memory_for_its_entry_a_keyed_request_does_not_run() -> None:
    made = controller(KEYED, memory_kb=40.0)
    assert ids(made.handle(0, [Request(1, 0)]), Reject, Run, RememberKey) == [1]
    assert of(made.actions, Reject)


def test_a_repeat_joins_and_is_never_run_or_turned_away() -> None:
    made = controller(KEYED)
    actions = made.handle(0, [Request(1, 0), Request(2, 0, original_id=1)])
    assert ids(actions, Run) == [1]
    assert ids(actions, AttachToOriginal) == [2]
    made.admission.rejection_probability = 1.0
    actions = made.handle(1, [RunEnded(1, Outcome.OK), Request(3, 0, original_id=1)])
    assert ids(actions, AttachToOriginal) == [3]
    assert not of(actions, Reject)


def test_a_keyed_request_that_never_ran_frees_its_entry() -> None:
    made = controller(KEYED)
    made.handle(0, [Request(n, 0) for n in (1, 2, 3)])
    assert ids(made.handle(1, [ClientDisconnected(3)]), ForgetKey) == [3]
    assert set(made.remembered_keys) == {1, 2}


def test_unsafe_work_that_ran_is_failed_not_turned_away_nor_stopped() -> None:
    made = controller(UNSAFE, preemption=PreemptionMode.DROP)
    made.handle(0, [Request(1, 0)])
    assert answered_at(made, 1, 9_000_000) is not None
    assert of(made.actions, FailRequest) == [FailRequest(1)]
    assert not of(made.actions, Preempt, Reject)


def test_a_call_is_repeated_only_when_it_never_ran() -> None:
    for outcome in Outcome:
        made = controller(MUST_CALL)
        made.handle(0, [Request(1, 0)])
        made.handle(1, [CallNeeded(1)])
        actions = made.handle(2, [CallEnded(1, outcome)])
        actions += tick(made, 2 + PERIOD) + tick(made, 2 + 2 * PERIOD)
        repeated = bool(of(actions, Call))
        assert repeated == (outcome in (Outcome.REJECTED, Outcome.UNREACHABLE))
        assert bool(of(actions, FailRequest)) == (not repeated and outcome is not Outcome.OK)


def test_calls_end_before_their_request_is_due() -> None:
    made = controller(MUST_CALL)
    made.handle(0, [Request(1, 0)])
    (call,) = of(made.handle(1, [CallNeeded(1)]), Call)
    assert 1 < call.until_us < 8_000_000


def test_after_the_notice_health_is_bad_from_store_and_late_arrivals_do_not_run() -> None:
    made = controller()
    assert of(made.handle(0, [Drain(5_000_000)]), ReportHealth) == [ReportHealth(False, True)]
    assert ids(made.handle(2_100_000, [Request(1, 0, waited_us=100_000)]), Run) == [1]
    actions = made.handle(2_100_001, [Request(2, 0, waited_us=100_000)])
    assert ids(actions, Reject) == [2]
    assert not of(actions, Run)


def test_everything_is_answered_before_the_stop() -> None:
    made = controller()
    made.handle(0, [Request(n, 0) for n in range(1, 6)])
    answered = ids(made.handle(1, [Drain(1_000_000)]), FailRequest, Reject)
    for now in range(PERIOD, 1_000_000 - PERIOD // 2, PERIOD):
        answered += ids(tick(made, now), FailRequest, Reject)
    assert sorted(answered) == [1, 2, 3, 4, 5]
    assert ids(made.handle(999_000, [Request(9, 0)]), Reject) == [9]


def test_runs_start_only_while_memory_lasts() -> None:
    made = controller(memory_kb=1_000.0, cores=8)
    made.handle(0, [Request(n, 0, held_kb=30.0) for n in range(1, 9)])
    running = sum(work.state is RequestState.RUNNING for work in made.in_flight.by_id.values())
    assert running == 2
    assert made.memory_kb() <= MAX_RUN_MEMORY_FRACTION * 1_000


def test_arrivals_that_do_not_fit_the_memory_are_turned_away() -> None:
    made = controller(memory_kb=100.0, cores=1)
    actions = made.handle(0, [Request(1, 0, held_kb=60.0), Request(2, 0, held_kb=60.0)])
    assert ids(actions, Reject) == [2]
    assert made.memory_kb() <= 100


def calls_in_hand_mean(share: float, spans_us: int) -> float:
    """Feed calls that never end by themselves and return the worst mean of those in hand over the span."""
    made = controller(
        MUST_CALL,
        dependency_concurrency_quota=share,
        dependency_window_us=5_000_000,
        abandoned_call_us=200_000,
        cores=8,
    )
    busy: list[tuple[int, int]] = []
    ends: dict[int, int] = {}
    ref = 0
    for now in range(0, spans_us, 10_000):
        events: list[Event] = []
        for key in [key for key, end in ends.items() if end <= now]:
            del ends[key]
            events.append(CallEnded(key, Outcome.TIMEOUT, 1_000_000))
            events.append(RunEnded(key, Outcome.CANCELLED))
        if len(made.in_flight.by_id) < 8:
            ref += 1
            events.append(Request(ref, 0))
        if now % PERIOD == 0:
            events.append(Tick(0, Gauges(0.5, 1)))
        actions = made.handle(now, events)
        actions += made.handle(now, [CallNeeded(key) for key in ids(actions, Run)])
        for call in of(actions, Call):
            ends[call.id] = call.until_us
            busy.append((now, call.until_us + 200_000))
    steps = range(5_000_000, spans_us, 100_000)
    return max(
        sum(max(0, min(end, now) - max(start, now - 5_000_000)) for start, end in busy) / 5_000_000
        for now in steps
    )


def test_calls_in_hand_stay_under_our_share_also_below_one() -> None:
    for share in (0.3, 0.9, 1.7, 5.4):
        assert 0 < calls_in_hand_mean(share, 40_000_000) <= share


def test_a_full_level_skips_where_allowed_else_waits() -> None:
    made = controller(
        SAFE, MUST_CALL, dependency_concurrency_quota=0.4, dependency_window_us=5_000_000, cores=4
    )
    made.dependency.mean_duration_us = 400_000.0
    made.handle(0, [Request(1, 1), Request(2, 1), Request(3, 0)])
    actions = made.handle(1, [CallNeeded(1), CallNeeded(2), CallNeeded(3)])
    assert ids(actions, Call) == [1]
    assert ids(actions, SkipCall) == [3]
    assert made.in_flight.by_id[2].state is RequestState.AWAITING_CALL


def test_calls_of_answered_requests_count_until_their_end_is_told() -> None:
    """A caller that has gone leaves its call below; freeing the place at once would overload that."""
    made = controller(MUST_CALL, dependency_concurrency_quota=0.4, dependency_window_us=5_000_000)
    made.dependency.mean_duration_us = 400_000.0
    made.handle(0, [Request(1, 0), Request(2, 0)])
    made.handle(1, [CallNeeded(1), CallNeeded(2)])
    actions = made.handle(2, [ClientDisconnected(1)])
    assert not of(actions, Call)
    assert made.dependency.in_flight(made.now_us, len(made.in_flight.calling)) == 1


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
def test_odd_settings_neither_raise_nor_lock_a_worker_out(changes: dict[str, Any]) -> None:
    made = controller(SAFE, **changes)
    served = []
    for n in range(1, 300):
        actions = made.handle(n * PERIOD, [Request(n, 0, caller=n, held_kb=10.0)])
        actions += made.handle(made.now_us, [CallNeeded(ref) for ref in ids(actions, Run)])
        called = ids(actions, Call)
        actions += made.handle(made.now_us, [CallEnded(ref, Outcome.OK, 9) for ref in called])
        made.handle(made.now_us, [RunEnded(ref, Outcome.OK, 50_000) for ref in ids(actions, Run)])
        made.handle(made.now_us, [Tick(0, Gauges(0.5, 1, 0.2, 10_000.0))])
        served += ids(actions, Run)
    assert served == list(range(1, 300))


@pytest.mark.parametrize("busy", [0.0, 1.0])
@pytest.mark.parametrize("runnable", [0.0, 1e9])
def test_stuck_gauges_neither_lock_a_worker_out_nor_let_it_crowd_its_cores(
    busy: float, runnable: float
) -> None:
    made = controller(MUST_CALL, cores=2, max_runnable_per_core=4)
    served: list[int] = []
    running: list[tuple[int, int]] = []
    for n in range(1, 1_000):
        now = n * PERIOD
        done = [ref for ref, end in running if end <= now]
        running = [(ref, end) for ref, end in running if end > now]
        events: list[Event] = [RunEnded(ref, Outcome.OK, 400_000) for ref in done]
        started = ids(made.handle(now, [*events, Request(n, 0)]), Run)
        started += ids(tick(made, now, busy, runnable), Run)
        running += [(ref, now + 400_000) for ref in started]
        served += started
        assert len(running) < 4 * 2
    assert len(served) > 400
