"""Exponential backoff with jitter."""

from itertools import count
from random import Random

from helpers import max_count
from hypothesis import given
from hypothesis import strategies as st

from reelusher.pacing.backoff import Backoff


@given(st.integers(0, 2**32), st.floats(0.001, 10), st.floats(1, 50), st.integers(1, 60))
def test_backoff_stays_between_base_and_cap(seed: int, base: float, times: float, n: int) -> None:
    backoff = Backoff(Random(seed), base, base * times)
    waits = [backoff.next_s() for _ in range(n)]
    assert max(waits) <= base * times
    assert min(waits) >= min(base, base * times / 2)
    assert waits[0] <= 1.5 * base
    backoff.reset()
    assert backoff.next_s() <= 1.5 * base


def test_nodes_that_failed_at_one_instant_are_apart_after_one_backoff() -> None:
    at = []
    for seed in range(200):
        backoff, now = Backoff(Random(seed), 0.02, 0.25), 0.0
        for number in count():
            now += backoff.next_s()
            if number and now > 4:
                break
            at.append(now)
    later = [time for time in at if 2 < time < 4]
    assert max_count(later, 0.01) < 3 * len(later) / 200  # against the mean of 10 ms
