"""The decision module, fed scripted events: the design's steps."""

import math
from dataclasses import replace

import pytest
from helpers import MUST_CALL, SAFE, controller, ids, of, settings, tick

from reelusher.policy.actions import (
    Action,
    AdvertiseCapacity,
    Call,
    CloseIdleConnections,
    Reject,
    ReportHealth,
    Run,
    SkipCall,
)
from reelusher.policy.admission import MAX_REJECTION_PROBABILITY, MIN_RETRY_AFTER_US
from reelusher.policy.client_hints import MAX_ADVERTISED_PER_CORE, MAX_CALLERS, MIN_IDLE_TIMEOUT_US
from reelusher.policy.concurrency_limiter import SAFE_RUNNABLE_FRACTION
from reelusher.policy.controller import MAX_CALL_RETRIES, Controller
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Event,
    Gauges,
    Outcome,
    Request,
    RunEnded,
    Tick,
)
from reelusher.policy.in_flight import RequestState
from reelusher.policy.settings import CapacityHint
from reelusher.policy.timing import PERIOD_US
from reelusher.policy.utilization_loop import (
    EFFECTIVENESS_RECOVERY,
    INTEGRAL_GAIN,
    MIN_EFFECTIVENESS,
    PROPORTIONAL_GAIN,
    TARGET_BUSY_FRACTION,
    client_hash,
)


def test_the_loop_matches_values_computed_by_hand() -> None:
    made = controller()
    total = 0.0
    for step, busy in enumerate([1.0, 0.95, 0.9], 1):
        tick(made, step * PERIOD_US, busy)
        total += busy - TARGET_BUSY_FRACTION
        assert made.utilization.degraded_fraction == pytest.approx(
            PROPORTIONAL_GAIN * (busy - TARGET_BUSY_FRACTION) + INTEGRAL_GAIN * total
        )


def test_the_sum_stays_inside_the_clamp_and_lets_go_at_once() -> None:
    made = controller()
    for step in range(1, 2_000):
        tick(made, step * PERIOD_US, 1.0)
    assert made.utilization.degraded_fraction == 1.0
    assert made.utilization.error_sum == pytest.approx(1 / INTEGRAL_GAIN)
    tick(made, 2_000 * PERIOD_US, 0.2)
    assert made.utilization.degraded_fraction < 1.0
    for step in range(2_001, 2_100):
        tick(made, step * PERIOD_US, 0.2)
    assert made.utilization.degraded_fraction == 0.0
    assert made.utilization.error_sum == 0.0


def test_callers_that_come_and_go_are_not_all_remembered() -> None:
    made = controller(idle_timeout_us=30_000_000)
    for caller in range(3 * MAX_CALLERS):
        made.handle(caller + 1, [Request(caller + 1, 0, caller, 0, 0, 1.0, 1, 0, 0, 0)])
        if caller % 100 == 99:
            tick(made, caller + 1)
    assert len(made.idle_timeout.last_heard_us) <= MAX_CALLERS
    assert made.idle_timeout.last_heard_us[3 * MAX_CALLERS - 1] == 3 * MAX_CALLERS  # the newest is known


@pytest.mark.parametrize("reading", [None, math.nan, math.inf, -math.inf])
def test_a_bad_reading_is_left_out_of_the_loop(reading: float | None) -> None:
    made = controller()
    tick(made, PERIOD_US, 1.0)
    before = made.utilization.degraded_fraction
    tick(made, 2 * PERIOD_US, reading, reading)
    assert made.utilization.degraded_fraction == before > 0


def test_the_hash_is_stable_and_even() -> None:
    points = [client_hash(Request(1, 0, subject=n)) for n in range(1, 10_001)]
    assert points[:2] == [client_hash(Request(9, 0, subject=n, caller=5)) for n in (1, 2)]
    assert all(0 < point <= 1 for point in points)
    for decile in range(10):
        inside = sum(decile / 10 < point <= (decile + 1) / 10 for point in points)
        assert 900 < inside < 1_100


def test_the_caller_number_stands_in_for_a_missing_subject() -> None:
    assert client_hash(Request(1, 0, caller=3)) == client_hash(Request(2, 0, caller=3, tenant=1))
    assert client_hash(Request(1, 0, caller=3)) != client_hash(Request(1, 0, caller=4))


def at_call(made: Controller, now_us: int, request: Request) -> list[Action]:
    """Bring a request to its first call."""
    assert ids(made.handle(now_us, [request]), Run) == [request.id]
    return made.handle(now_us, [CallNeeded(request.id)])


def test_g_at_0_degrades_nobody_and_g_at_1_everybody() -> None:
    for degraded, expected in ((0.0, Call), (1.0, SkipCall)):
        for subject in range(1, 200):
            made = controller()
            made.utilization.degraded_fraction = degraded
            assert of(at_call(made, 0, Request(subject, 0, subject=subject)), Call, SkipCall) == of(
                made.actions, expected
            )


def test_a_class_that_keeps_no_worth_is_never_skipped() -> None:
    made = controller(MUST_CALL)
    made.utilization.degraded_fraction = 1.0
    assert ids(at_call(made, 0, Request(1, 0)), Call) == [1]


def test_g_loses_its_weight_while_it_frees_no_core_and_wins_it_back() -> None:
    made = controller()
    for step in range(1, 400):
        tick(made, step * PERIOD_US, 1.0)
    assert made.utilization.effectiveness == pytest.approx(MIN_EFFECTIVENESS)
    for step in range(400, 400 + math.ceil(1 / EFFECTIVENESS_RECOVERY)):
        tick(made, step * PERIOD_US, 0.5)
    assert made.utilization.effectiveness == pytest.approx(1.0)


def test_the_cap_starts_at_the_core_count() -> None:
    actions = Controller(settings(), 1).handle(0, [Request(n, 0) for n in range(1, 5)])
    assert ids(actions, Run) == [1, 2]


def test_the_cap_grows_while_cores_are_free_and_work_is_held_up_to_the_crowd() -> None:
    made = controller(cores=2, max_runnable_per_core=4)
    made.handle(0, [Request(n, 0, time_left_us=60_000_000) for n in range(1, 60)])
    for step in range(1, 16):
        tick(made, step * PERIOD_US, 0.5, 0)
    running = sum(work.state is RequestState.RUNNING for work in made.in_flight.by_id.values())
    assert running == int(SAFE_RUNNABLE_FRACTION * 4 * 2)


def test_the_cap_falls_back_to_the_core_count_while_cores_are_crowded() -> None:
    made = controller(cores=2)
    made.concurrency.limit = 9.0
    for step in range(1, 20):
        tick(made, step * PERIOD_US, 1.0, 20)
    assert made.concurrency.limit == 2


def test_a_cold_worker_takes_a_smaller_crowd_until_it_is_surely_warm() -> None:
    made = controller(
        cold_start=True, initial_speed=0.2, warm_up_us=10_000_000, max_runnable_per_core=6, cores=2
    )
    made.concurrency.limit = 100.0
    assert made.concurrency.ceiling(made.now_us) == pytest.approx(SAFE_RUNNABLE_FRACTION * (1 + 5 * 0.2) * 2)
    made.now_us = 10_000_000
    assert made.concurrency.ceiling(made.now_us) == pytest.approx(SAFE_RUNNABLE_FRACTION * 6 * 2)


def fill(made: Controller, age_us: int) -> None:
    """Hold requests that wait ever longer."""
    for n in range(1, 12):
        made.handle(0, [Request(n, 0)])
    for step in range(1, age_us // PERIOD_US + 1):
        tick(made, step * PERIOD_US, 1.0, 2)


def test_refusals_grow_with_the_oldest_age_and_fade() -> None:
    made = controller()
    assert made.admission.rejection_probability == 0
    fill(made, 600_000)
    early = made.admission.rejection_probability
    fill(made := controller(), 1_200_000)
    assert 0 < early < made.admission.rejection_probability <= MAX_REJECTION_PROBABILITY
    for _step in range(1, 40):
        made.handle(made.now_us, [RunEnded(n, Outcome.OK, 1) for n in range(1, 12)])
        tick(made, made.now_us + PERIOD_US, 0.1, 0)
    assert made.admission.rejection_probability < 0.001


def test_idle_cores_with_a_filling_hold_refuse_too() -> None:
    """A hung worker idles its cores, so G stays at 0 while its hold fills."""
    made = controller()
    for n in range(1, 12):
        made.handle(0, [Request(n, 0)])
    made.concurrency.limit = 2.0
    for step in range(1, 9):
        tick(made, step * PERIOD_US, 0.0, 2)
    assert made.utilization.degraded_fraction == 0.0
    assert made.admission.rejection_probability > 0
    answers = [of(made.handle(made.now_us, [Request(n, 0)]), Reject) for n in range(100, 300)]
    assert 0 < sum(map(len, answers)) < 200


def test_worthier_requests_run_first_and_equal_ones_by_their_aim() -> None:
    made = controller(SAFE, MUST_CALL)
    actions = made.handle(0, [Request(1, 0), Request(2, 0, waited_us=1_000), Request(3, 1)])
    assert ids(actions, Run) == [3, 2]


def test_small_requests_do_not_swing_the_reckoning_of_a_run() -> None:
    """Fixed waits make a small request take many times its hint; large ones must not be reckoned so."""
    made = controller()
    for n, (hint, took) in enumerate([(1_000, 101_000), (400_000, 500_000)] * 200, 1):
        made.handle(n, [Request(n, 0, expected_work_us=hint)])
        made.handle(n, [RunEnded(n, Outcome.OK, took)])
    made.handle(1_000, [Request(1_001, 0, expected_work_us=400_000, waited_us=1_100_000)])
    assert ids(made.actions, Run) == [1_001]


def test_a_request_that_can_no_longer_end_within_its_aim_is_turned_away() -> None:
    made = controller()
    made.handle(0, [Request(1, 0)])
    made.handle(1, [RunEnded(1, Outcome.OK, 900_000)])
    assert ids(made.handle(2, [Request(2, 0, waited_us=1_500_000)]), Reject) == [2]
    assert ids(made.handle(3, [Request(3, 0, waited_us=700_000)]), Run) == [3]


def test_refusals_tell_the_caller_to_stay_away_no_longer_than_callers_follow() -> None:
    made = controller(max_retry_after_us=1_000_000)
    assert of(made.handle(0, [Request(1, 0, waited_us=8_000_000)]), Reject) == [
        Reject(1, MIN_RETRY_AFTER_US, False)
    ]
    fill(made := controller(max_retry_after_us=1_000_000), 1_700_000)
    made.admission.rejection_probability, made.admission.recent_rate = 1.0, 1.0
    assert of(made.handle(made.now_us, [Request(99, 0)]), Reject) == [Reject(99, 1_000_000, True)]


def test_the_room_told_is_shared_by_the_callers_heard_shrinks_with_waits_and_comes_back() -> None:
    made = controller(capacity_hint=CapacityHint.TOKENS, caller_count=900, hint_ttl_us=1_000_000)
    (most,) = of(tick(made, PERIOD_US), AdvertiseCapacity)
    assert most.value == MAX_ADVERTISED_PER_CORE * 2
    for n in range(1, 12):
        made.handle(made.now_us, [Request(n, 0, caller=n % 3)])
    (shared,) = of(tick(made, 2 * PERIOD_US), AdvertiseCapacity)
    assert shared.value == most.value / 3
    for step in range(3, 10):
        tick(made, step * PERIOD_US)
    (least,) = of(made.actions, AdvertiseCapacity)
    assert least.value < shared.value / 2
    made.handle(made.now_us, [ClientDisconnected(n) for n in range(1, 12)])
    for _ in range(100):
        tick(made, made.now_us + PERIOD_US)
    assert of(made.actions, AdvertiseCapacity) == [most]


def test_a_worker_slow_by_itself_leaves_the_list_for_a_while_and_a_full_fleet_does_not() -> None:
    """Where reading itself is late nothing can be served; health answers send callers elsewhere."""
    for more, expected in ((1, [False, True]), (4, [])):
        made, ref, told = controller(), 0, []
        for step in range(1, 600):
            slow = 200 < step < 250
            for _ in range(more if 180 < step < 250 else 1):
                ref += 1
                tried = ids(made.handle(made.now_us, [Request(ref, 0, waited_us=1_800_000 * slow)]), Run)
                made.handle(made.now_us, [RunEnded(n, Outcome.OK, 100) for n in tried])
            told += [a.healthy for a in of(tick(made, step * PERIOD_US, 0.5, 1), ReportHealth)]
        assert told == expected


def test_calls_are_made_again_after_a_slow_spell_at_a_share_under_one() -> None:
    """Once the mean call is longer than any that can be granted, no call would bring it down again."""
    made = controller(
        SAFE, dependency_concurrency_quota=0.1, dependency_window_us=5_000_000, abandoned_call_us=200_000
    )
    made.dependency.mean_duration_us = 1_900_000.0
    kinds = []
    for n in range(1, 600):
        kinds += of(at_call(made, n * PERIOD_US, Request(n, 0)), Call, SkipCall)
        outcome = [CallEnded(n, Outcome.OK, 20_000)] if isinstance(kinds[-1], Call) else []
        made.handle(made.now_us, [*outcome, RunEnded(n, Outcome.OK, 200_000)])
        tick(made, made.now_us, 0.5, 1)
    assert isinstance(kinds[0], SkipCall)
    assert all(isinstance(kind, Call) for kind in kinds[-100:])


def test_connections_are_closed_sooner_while_many_are_open_and_left_alone_when_few() -> None:
    made = controller(idle_timeout_us=30_000_000)
    for n in range(1, 40):  # callers that have not been here before
        made.handle(0, [Request(n, 0, caller=n), RunEnded(n, Outcome.OK, 1), ClientDisconnected(n)])
    gauges = Gauges(0.5, 1, None, 100.0)
    spans = [
        a.idle_timeout_us
        for n in range(1, 20)
        for a in of(made.handle(n * PERIOD_US, [Tick(0, gauges)]), CloseIdleConnections)
    ]
    assert spans == sorted(spans, reverse=True)
    assert spans[-1] == MIN_IDLE_TIMEOUT_US
    gauges = Gauges(0.5, 1, None, 3.0)
    spans = [
        a.idle_timeout_us
        for n in range(20, 60)
        for a in of(made.handle(n * PERIOD_US, [Tick(0, gauges)]), CloseIdleConnections)
    ]
    assert spans[-1] == 30_000_000
    assert not of(controller(idle_timeout_us=30_000_000).handle(1, [Tick(0, gauges)]), CloseIdleConnections)


def test_a_worker_slow_by_itself_sends_its_callers_on_and_a_full_fleet_does_not() -> None:
    """Walks over refusals raise what comes to every worker; one that is slow sees no more than usual."""
    for more, expected in ((1, False), (3, True)):
        made = controller()
        ref = 0
        for step in range(1, 400):
            slow = step > 200
            events: list[Event] = []
            for _ in range(more if slow else 1):
                ref += 1
                events.append(Request(ref, 0, waited_us=1_000_000 if slow else 0))
            tick(made, step * PERIOD_US, 0.5, 1)
            actions = made.handle(made.now_us, events)
            made.handle(made.now_us, [RunEnded(n, Outcome.OK, 100) for n in ids(actions, Run)])
        declined = of([*actions, *made.handle(made.now_us, [Request(0, 0, waited_us=9_000_000)])], Reject)
        assert declined[-1].no_retry is expected


def test_marked_retries_are_refused_while_waits_are_long() -> None:
    fill(made := controller(), 600_000)
    made.admission.rejection_probability = 0.0
    assert of(made.handle(made.now_us, [Request(99, 0, is_retry=True)]), Reject)
    assert not of(made.handle(made.now_us, [Request(98, 0)]), Reject)
    made = controller()
    assert not of(made.handle(0, [Request(99, 0, is_retry=True)]), Reject)


def test_connections_are_left_alone_where_callers_come_back() -> None:
    """Twenty callers with a connection each pass the mark on two cores, yet every one is used again."""
    made = controller(idle_timeout_us=30_000_000)
    for n in range(1, 400):
        made.handle(n * PERIOD_US, [Request(n, 0, caller=n % 20)])
        made.handle(made.now_us, [RunEnded(n, Outcome.OK, 1_000)])
        made.handle(made.now_us, [Tick(0, Gauges(0.5, 1, None, 20.0))])
        if n > 150:
            assert made.idle_timeout.timeout_us == 30_000_000


def test_the_memory_of_callers_is_bounded() -> None:
    made = controller(idle_timeout_us=30_000_000)
    for n in range(MAX_CALLERS + 100):
        made.handle(n, [Request(n, 0, caller=n), ClientDisconnected(n)])
    tick(made, 2_000_000)
    tick(made, 4_000_000)
    assert len(made.idle_timeout.last_heard_us) <= MAX_CALLERS
    assert not made.advertised.heard_us


def test_an_optional_call_that_never_ran_is_made_again_twice_before_it_is_left_out() -> None:
    """A node below that turns one call away has room a moment later; a poorer answer loses half its worth."""
    made = controller(replace(SAFE, degraded_value_fraction=0.5, makes_calls=True))
    made.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 1, 0, 0, 0)])
    now, calls = 2, of(made.handle(2, [CallNeeded(1)]), Call)
    assert len(calls) == 1
    for _ in range(MAX_CALL_RETRIES):
        assert not of(made.handle(now, [CallEnded(1, Outcome.REJECTED, 5)]), Call, SkipCall)
        now += PERIOD_US
        assert ids(tick(made, now), Call) == [1]
    assert ids(made.handle(now, [CallEnded(1, Outcome.REJECTED, 5)]), SkipCall) == [1]


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.ERROR, Outcome.TIMEOUT])
def test_an_optional_call_that_may_have_run_is_not_made_again(outcome: Outcome) -> None:
    made = controller(replace(SAFE, degraded_value_fraction=0.5, makes_calls=True))
    made.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 1, 0, 0, 0)])
    made.handle(2, [CallNeeded(1)])
    assert ids(made.handle(3, [CallEnded(1, outcome, 5)]), SkipCall) == [1]
