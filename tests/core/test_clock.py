"""The clock of the node."""

from reelusher.core.clock import Clock


def test_clock_ignores_steps_of_the_system_clock_and_reports_its_offset() -> None:
    unix, monotonic = 5_000_000, 1_000
    clock = Clock(lambda: unix, lambda: monotonic)
    assert (clock.now(), clock.unix_ahead_us()) == (5_000, 0)
    unix, monotonic = 2_000_000, 9_000  # the system clock steps back while 8 us pass
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, -3_008)
    unix = 9_000_000
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, 3_992)


def test_clock_offset_is_kept_when_the_clocks_were_not_read_together() -> None:
    """A delay of the thread between the two reads is not a step, and must not shift the expiry of keys."""
    times = iter([0, 0, 5_000_000])
    clock = Clock(lambda: 0, lambda: next(times))
    assert clock.unix_ahead_us() == 0
