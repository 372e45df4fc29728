"""The schedule of a drain and the phases of connections."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reelusher.drain.schedule import (
    ConnectionPhase,
    ConnectionState,
    DrainObservation,
    DrainSchedule,
    QuietPeriod,
    make_schedule,
    next_phase,
    shutdown_cost,
)

SCHEDULE = DrainSchedule(0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0)


def times(schedule: DrainSchedule) -> list[float]:
    """Return the times of a schedule in the order of its phases."""
    return [
        schedule.signal_s,
        schedule.notify_s,
        schedule.reject_s,
        schedule.answered_s,
        schedule.shutdown_s,
        schedule.exit_s,
        schedule.stop_s,
    ]


@given(st.floats(0, 1e6), st.floats(0.05, 60), st.floats(0, 20), st.floats(-1, 100), st.floats(0, 100))
def test_drain_phases_are_in_order_and_never_later_with_more_scheduling_lag(
    signal_s: float, duration_s: float, grace_s: float, lag_s: float, other_lag_s: float
) -> None:
    schedule = make_schedule(signal_s, duration_s, grace_s, lag_s)
    assert times(schedule) == sorted(times(schedule))
    assert schedule.stop_s == signal_s + duration_s
    assert schedule.exit_s < schedule.stop_s or duration_s < 1e-6 * signal_s
    assert schedule.notify_s - signal_s <= min(grace_s, duration_s / 2) + 1e-6 * (1 + signal_s)
    with_more_lag = make_schedule(signal_s, duration_s, grace_s, max(lag_s, other_lag_s))
    assert all(
        a <= b + 1e-9 * (1 + signal_s) for a, b in zip(times(with_more_lag), times(schedule), strict=True)
    )
    earlier = with_more_lag.no_later_than(schedule)
    assert times(earlier) == sorted(times(earlier))
    completed = schedule.completed_at(schedule.notify_s)
    assert times(completed) == sorted(times(completed))
    assert completed.exit_s <= schedule.exit_s


@pytest.mark.parametrize(
    ("phase", "state", "now_s", "expected"),
    [
        (ConnectionPhase.SERVING, ConnectionState(0, 0, 0), 0.5, ConnectionPhase.SERVING),
        (ConnectionPhase.SERVING, ConnectionState(3, 0, 0), 1.0, ConnectionPhase.NOTIFIED),
        # before `shutdown_s`, a request may still arrive that was sent before the caller was notified
        (ConnectionPhase.NOTIFIED, ConnectionState(0, 0, 0), 3.9, ConnectionPhase.NOTIFIED),
        (ConnectionPhase.NOTIFIED, ConnectionState(0, 0, 0), 4.0, ConnectionPhase.SHUT_DOWN),
        (ConnectionPhase.NOTIFIED, ConnectionState(1, 0, 0), 4.5, ConnectionPhase.NOTIFIED),
        (ConnectionPhase.NOTIFIED, ConnectionState(0, 9, 0), 4.5, ConnectionPhase.NOTIFIED),
        # from `exit_s` on, no time is left for open requests and unsent answers
        (ConnectionPhase.NOTIFIED, ConnectionState(1, 9, 0), 5.0, ConnectionPhase.SHUT_DOWN),
        # a connection with unread bytes is never shut down
        (ConnectionPhase.NOTIFIED, ConnectionState(0, 0, 1), 5.0, ConnectionPhase.NOTIFIED),
        (ConnectionPhase.SHUT_DOWN, ConnectionState(0, 0, 0), 4.9, ConnectionPhase.SHUT_DOWN),
        (ConnectionPhase.SHUT_DOWN, ConnectionState(0, 0, 0), 5.0, ConnectionPhase.SHUT_DOWN),
    ],
)
def test_connection_is_shut_down_once_nothing_is_pending_on_it(
    phase: ConnectionPhase, state: ConnectionState, now_s: float, expected: ConnectionPhase
) -> None:
    assert next_phase(phase, state, now_s, SCHEDULE) is expected


def test_cheapest_connections_come_first_when_time_is_short() -> None:
    states = [
        ConnectionState(1, 5000, 0),
        ConnectionState(0, 0, 900),
        ConnectionState(2, 0, 0),
        ConnectionState(0, 0, 0),
        ConnectionState(0, 0, 40),
    ]
    assert [states.index(state) for state in sorted(states, key=shutdown_cost)] == [3, 2, 4, 1, 0]


def test_drain_ends_early_only_after_all_front_ends_were_idle_while_requests_could_arrive() -> None:
    quiet_period = QuietPeriod()

    def idle(observed_s: float) -> DrainObservation:
        return DrainObservation(True, observed_s)

    unread = DrainObservation(False, 1.1)
    assert not quiet_period.is_over([idle(1.0)], 1.0, SCHEDULE)
    assert not quiet_period.is_over([idle(1.1), unread], 1.1, SCHEDULE)
    assert not quiet_period.is_over([idle(1.25)], 1.25, SCHEDULE)
    # None: a front end that has made no observation yet
    assert not quiet_period.is_over([idle(1.25), None], 1.32, SCHEDULE)
    assert not quiet_period.is_over([idle(1.3)], 1.5, SCHEDULE)  # the observation is too old
    assert not quiet_period.is_over([idle(1.69)], 1.69, SCHEDULE)
    assert quiet_period.is_over([idle(1.71)], 1.71, SCHEDULE)
