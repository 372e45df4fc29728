"""Timers."""

from reelusher.core.timers import Timers


def test_timers_run_in_order_and_those_set_meanwhile_wait_for_the_next_batch() -> None:
    timers, ran = Timers(), list[int]()
    for due_us in (3, 1, 2, 9):
        timers.call_at(due_us, lambda due_us=due_us: ran.append(due_us))  # type: ignore[misc]
    timers.call_at(2, lambda: timers.call_at(0, lambda: ran.append(0)))
    timers.run_due(3, lambda action: action())
    assert ran == [1, 2, 3]
    assert timers.next_due_us() == 0
