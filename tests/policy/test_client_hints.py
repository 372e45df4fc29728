"""Advertised capacity, health status and idle time-outs."""

from helpers import ids, select_actions, started_controller, tick

from reelusher.policy.actions import (
    AdvertiseCapacity,
    CloseIdleConnections,
    ReportHealth,
    Run,
)
from reelusher.policy.client_hints import MAX_ADVERTISED_PER_CORE, MAX_CALLERS, MIN_IDLE_TIMEOUT_US
from reelusher.policy.events import (
    ClientDisconnected,
    Gauges,
    Outcome,
    Request,
    RunEnded,
    Tick,
)
from reelusher.policy.settings import CapacityHint
from reelusher.policy.timing import PERIOD_US


def test_number_of_remembered_callers_is_bounded() -> None:
    controller = started_controller(idle_timeout_us=30_000_000)
    for caller in range(3 * MAX_CALLERS):
        controller.handle(caller + 1, [Request(caller + 1, 0, caller, 0, 0, 1.0, 1, 0, 0, 0)])
        if caller % 100 == 99:
            tick(controller, caller + 1)
    assert len(controller.idle_timeout.last_seen_us) <= MAX_CALLERS
    # the newest caller is still known
    assert controller.idle_timeout.last_seen_us[3 * MAX_CALLERS - 1] == 3 * MAX_CALLERS


def test_advertised_capacity_is_shared_by_callers_shrinks_with_waits_and_recovers() -> None:
    controller = started_controller(
        capacity_hint=CapacityHint.TOKENS, caller_count=900, hint_ttl_us=1_000_000
    )
    (largest,) = select_actions(tick(controller, PERIOD_US), AdvertiseCapacity)
    assert largest.value == MAX_ADVERTISED_PER_CORE * 2
    for n in range(1, 12):
        controller.handle(controller.now_us, [Request(n, 0, caller=n % 3)])
    (shared,) = select_actions(tick(controller, 2 * PERIOD_US), AdvertiseCapacity)
    assert shared.value == largest.value / 3
    for step in range(3, 10):
        tick(controller, step * PERIOD_US)
    (smallest,) = select_actions(controller.actions, AdvertiseCapacity)
    assert smallest.value < shared.value / 2
    controller.handle(controller.now_us, [ClientDisconnected(n) for n in range(1, 12)])
    for _ in range(100):
        tick(controller, controller.now_us + PERIOD_US)
    assert select_actions(controller.actions, AdvertiseCapacity) == [largest]


def test_health_fails_while_this_worker_alone_is_slow_not_in_a_full_fleet() -> None:
    """A worker that reads requests late can serve none in time; failing checks send callers elsewhere."""
    for arrivals_when_busy, expected in ((1, [False, True]), (4, [])):
        controller, request_id, reported = started_controller(), 0, []
        for step in range(1, 600):
            slow = 200 < step < 250
            for _ in range(arrivals_when_busy if 180 < step < 250 else 1):
                request_id += 1
                started = ids(
                    controller.handle(
                        controller.now_us, [Request(request_id, 0, waited_us=1_800_000 * slow)]
                    ),
                    Run,
                )
                controller.handle(controller.now_us, [RunEnded(n, Outcome.OK, 100) for n in started])
            reported += [
                a.healthy for a in select_actions(tick(controller, step * PERIOD_US, 0.5, 1), ReportHealth)
            ]
        assert reported == expected


def test_idle_timeout_shrinks_while_many_connections_are_open() -> None:
    controller = started_controller(idle_timeout_us=30_000_000)
    for n in range(1, 40):  # each caller is new
        controller.handle(0, [Request(n, 0, caller=n), RunEnded(n, Outcome.OK, 1), ClientDisconnected(n)])
    gauges = Gauges(0.5, 1, None, 100.0)
    timeouts_us = [
        a.idle_timeout_us
        for n in range(1, 20)
        for a in select_actions(controller.handle(n * PERIOD_US, [Tick(0, gauges)]), CloseIdleConnections)
    ]
    assert timeouts_us == sorted(timeouts_us, reverse=True)
    assert timeouts_us[-1] == MIN_IDLE_TIMEOUT_US
    gauges = Gauges(0.5, 1, None, 3.0)
    timeouts_us = [
        a.idle_timeout_us
        for n in range(20, 60)
        for a in select_actions(controller.handle(n * PERIOD_US, [Tick(0, gauges)]), CloseIdleConnections)
    ]
    assert timeouts_us[-1] == 30_000_000
    assert not select_actions(
        started_controller(idle_timeout_us=30_000_000).handle(1, [Tick(0, gauges)]), CloseIdleConnections
    )


def test_idle_timeout_stays_while_callers_reuse_connections() -> None:
    """The twenty connections exceed the limit for two cores, but each of them is reused."""
    controller = started_controller(idle_timeout_us=30_000_000)
    for n in range(1, 400):
        controller.handle(n * PERIOD_US, [Request(n, 0, caller=n % 20)])
        controller.handle(controller.now_us, [RunEnded(n, Outcome.OK, 1_000)])
        controller.handle(controller.now_us, [Tick(0, Gauges(0.5, 1, None, 20.0))])
        if n > 150:
            assert controller.idle_timeout.timeout_us == 30_000_000


def test_callers_are_forgotten_with_the_hint() -> None:
    controller = started_controller(idle_timeout_us=30_000_000)
    for n in range(MAX_CALLERS + 100):
        controller.handle(n, [Request(n, 0, caller=n), ClientDisconnected(n)])
    tick(controller, 2_000_000)
    tick(controller, 4_000_000)
    assert len(controller.idle_timeout.last_seen_us) <= MAX_CALLERS
    assert not controller.advertised.last_seen_us
