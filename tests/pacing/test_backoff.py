"""Exponential backoff with jitter."""

from itertools import count
from random import Random

from helpers import max_count
from hypothesis import given
from hypothesis import strategies as st

from reelusher.pacing.backoff import Backoff


@given(st.integers(0, 2**32), st.floats(0.001, 10), st.floats(1, 50), st.integers(1, 60))
def test_backoff_stays_between_base_and_cap(
    seed: int, base_s: float, cap_factor: float, delay_count: int
) -> None:
    backoff = Backoff(Random(seed), base_s, base_s * cap_factor)
    delays_s = [backoff.next_s() for _ in range(delay_count)]
    assert max(delays_s) <= base_s * cap_factor
    assert min(delays_s) >= min(base_s, base_s * cap_factor / 2)
    assert delays_s[0] <= 1.5 * base_s
    backoff.reset()
    assert backoff.next_s() <= 1.5 * base_s


def test_attempts_of_nodes_that_failed_at_one_instant_are_spread_by_backoff() -> None:
    attempt_times_s = []
    for seed in range(200):
        backoff, now_s = Backoff(Random(seed), 0.02, 0.25), 0.0
        for number in count():
            now_s += backoff.next_s()
            if number and now_s > 4:
                break
            attempt_times_s.append(now_s)
    later_times_s = [time_s for time_s in attempt_times_s if 2 < time_s < 4]
    assert max_count(later_times_s, 0.01) < 3 * len(later_times_s) / 200  # three times the mean in 10 ms
